#include "decisions/request_cost.h"

#include <algorithm>

#include "decisions/scheduler.h"

namespace corianderpost {
namespace {

OutputTraits TraitsOf(const ScheduledRequest& request) {
  return {RouteId::FromName(request.route->name),
          request.customer == nullptr ? CustomerId() : request.customer->id,
          request.max_output_tokens, request.output_hint};
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
  if (is_adaptive && IsStream(request) &&
      IsEventSizeKnown(ServiceId::FromName(request.service))) {
    cost.output_tokens = estimates_.Predict(TraitsOf(request));
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
      std::min(event_tokens * output.events,
               static_cast<double>(output.traits.max_tokens));
  // A stream that goes on has at least one more event.
  output.tokens_left =
      std::max(event_tokens, output.expected_tokens - output.generated_tokens);
  return std::max(0.0, output.generated_tokens - output.expected_tokens) -
         excess_before;
}

double RequestCosts::RecordEnd(TimePoint now, const AttemptOutput& output,
                               bool has_completed) {
  if (output.is_whole && output.events > 0 && output.traits.max_tokens > 0) {
    EventSize& event_size = event_sizes_[output.service];
    if (has_completed) {
      event_size.RecordStream(output.traits.max_tokens, output.events);
    }
    if (event_size.is_known()) {
      const double tokens =
          std::min(event_size.tokens_per_event() * output.events,
                   static_cast<double>(output.traits.max_tokens));
      if (has_completed) {
        estimates_.RecordCompleted(now, output.traits, tokens);
      } else {
        estimates_.RecordInterrupted(now, output.traits, tokens);
      }
    }
  }
  return output.is_settled
             ? 2.0 * (output.generated_tokens - output.charged_tokens)
             : 0.0;
}

double RequestCosts::TokensPerEvent(ServiceId service) const {
  const auto it = event_sizes_.find(service);
  return it == event_sizes_.end() ? 1.0 : it->second.tokens_per_event();
}

bool RequestCosts::IsEventSizeKnown(ServiceId service) const {
  const auto it = event_sizes_.find(service);
  return it != event_sizes_.end() && it->second.is_known();
}

}  // namespace corianderpost
