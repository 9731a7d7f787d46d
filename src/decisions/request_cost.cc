#include "decisions/request_cost.h"

#include <algorithm>

#include "decisions/scheduler.h"

namespace corianderpost {
namespace {

// Bounds the memory for services that peers name.
constexpr std::size_t kMaxServices = 256;

OutputTraits TraitsOf(const ScheduledRequest& request) {
  return {RouteId::FromName(request.route->name),
          request.customer == nullptr ? CustomerId() : request.customer->id,
          static_cast<double>(request.max_output_tokens),
          request.output_hint
              ? std::optional(static_cast<double>(*request.output_hint))
              : std::nullopt};
}

bool IsStream(const ScheduledRequest& request) {
  return request.route != nullptr &&
         request.route->kind == RequestKind::kStreaming;
}

}  // namespace

RequestCost RequestCosts::DeclaredCost(const ScheduledRequest& request) {
  return {static_cast<double>(request.prompt.empty()
                                  ? request.prompt_tokens
                                  : request.prompt.back().tokens),
          static_cast<double>(request.max_output_tokens)};
}

RequestCost RequestCosts::Cost(const ScheduledRequest& request,
                               bool is_adaptive) const {
  RequestCost cost = DeclaredCost(request);
  const ServiceId service = ServiceId::FromName(request.service);
  if (is_adaptive && IsStream(request) && IsEventSizeKnown(service)) {
    cost.output_tokens =
        std::min(TokensPerEvent(service) *
                     estimates_.Predict(InEvents(TraitsOf(request), service)),
                 cost.output_tokens);
  }
  return cost;
}

AttemptOutput RequestCosts::BeginAttempt(const ScheduledRequest& request,
                                         bool is_adaptive) const {
  AttemptOutput output;
  if (!IsStream(request)) {
    return output;
  }
  output.traits = TraitsOf(request);
  output.service = ServiceId::FromName(request.service);
  output.expected_tokens = Cost(request, true).output_tokens;
  output.tokens_left = output.expected_tokens;
  output.is_settled = is_adaptive && IsEventSizeKnown(output.service);
  output.charged_tokens = output.is_settled ? output.expected_tokens : 0.0;
  output.is_whole = request.tried_targets.empty() && !request.required_version;
  return output;
}

double RequestCosts::RecordEvent(AttemptOutput& output) const {
  const double event_tokens = TokensPerEvent(output.service);
  const double excess_before =
      std::max(0.0, output.generated_tokens - output.expected_tokens);
  ++output.events;
  output.generated_tokens =
      std::min(event_tokens * output.events, output.traits.max_output);
  // A stream that goes on has at least one more event.
  output.tokens_left =
      std::max(event_tokens, output.expected_tokens - output.generated_tokens);
  return std::max(0.0, output.generated_tokens - output.expected_tokens) -
         excess_before;
}

double RequestCosts::RecordEnd(TimePoint now, const AttemptOutput& output,
                               bool has_completed) {
  if (output.is_whole && output.events > 0) {
    if (has_completed) {
      event_sizes_[output.service].RecordStream(now, output.traits.max_output,
                                                output.events);
      estimates_.RecordCompleted(now, InEvents(output.traits, output.service),
                                 output.events);
    } else {
      estimates_.RecordInterrupted(now, InEvents(output.traits, output.service),
                                   output.events);
    }
  }
  return output.is_settled
             ? 2.0 * (output.generated_tokens - output.charged_tokens)
             : 0.0;
}

std::vector<SharedEventSize> RequestCosts::EventSizes(TimePoint now) const {
  std::vector<SharedEventSize> shared;
  for (const auto& [service, it] : event_sizes_) {
    if (it.is_known()) {
      shared.push_back({service, it.tokens_per_event(),
                        std::max(Duration(0), now - it.shown_at())});
    }
  }
  return shared;
}

void RequestCosts::MergeEventSize(TimePoint now,
                                  const SharedEventSize& event_size) {
  if (event_sizes_.size() < kMaxServices ||
      event_sizes_.contains(event_size.service)) {
    event_sizes_[event_size.service].Merge(now, event_size.tokens,
                                           event_size.age);
  }
}

double RequestCosts::TokensPerEvent(ServiceId service) const {
  const auto it = event_sizes_.find(service);
  return it == event_sizes_.end() ? 1.0 : it->second.tokens_per_event();
}

bool RequestCosts::IsEventSizeKnown(ServiceId service) const {
  const auto it = event_sizes_.find(service);
  return it != event_sizes_.end() && it->second.is_known();
}

OutputTraits RequestCosts::InEvents(OutputTraits traits,
                                    ServiceId service) const {
  const double event_tokens = TokensPerEvent(service);
  if (traits.max_output > 0) {
    traits.max_output = std::max(1.0, traits.max_output / event_tokens);
  }
  if (!IsEventSizeKnown(service)) {
    traits.hint.reset();
  } else if (traits.hint) {
    *traits.hint /= event_tokens;
  }
  return traits;
}

}  // namespace corianderpost
