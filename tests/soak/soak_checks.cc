#include "dataplane/event_splitter.h"
#include "dataplane/upstream.h"
#include "soak/soak.h"

namespace corianderpost::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Required bound for a configuration change to reach all routers, plus the
// longest outage of the store that a single fault causes.
constexpr Duration kMaxPropagationDelay = seconds(5) + milliseconds(2800);
// Required bound for losses at sound routers and targets without planned work.
constexpr std::size_t kMaxUnplannedLosses = 3;
constexpr double kMinServedRatioAfterFaults = 0.9;

std::int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<milliseconds>(duration).count();
}

}  // namespace

void Soak::RecordViolation(const Call& call, const std::string& what) {
  violations_.push_back("request " + call.id + ": " + what);
}

void Soak::CheckStream(const Call& call, const std::string& body) {
  std::string expected;
  bool is_prefix = body.empty();
  for (int i = 1; i <= Target::kEventsPerStream; ++i) {
    expected += FormatChunk("id: " + std::to_string(i) + "\ndata: x\n\n");
    is_prefix = is_prefix || body == expected;
  }
  const bool is_complete = body.ends_with(kLastChunk);
  if (is_complete && body != expected + std::string(kLastChunk)) {
    RecordViolation(
        call,
        "stream ended with the last chunk but its events are wrong: " + body);
  }
  // If the connection broke, the last chunk may be incomplete, so any prefix of
  // the expected body is valid.
  if (!is_complete && !expected.starts_with(body)) {
    RecordViolation(call, "stream has missing or repeated events: " + body);
  }
}

void Soak::CheckExecutions(const Call& call) {
  for (const Execution& it : executions_[call.id].executions) {
    const std::optional<std::size_t> target = TargetIndex(it.target_address);
    if (target && IsLateAtLeavingTarget(call.router, *target, it.began_at,
                                        impairments_)) {
      RecordViolation(call, "was passed on to t" + std::to_string(*target) +
                                " after the drain time");
    }
  }
}

void Soak::CheckLoss(const Call& call) {
  const auto& executions = executions_[call.id].executions;
  LostRequest lost = {call.router, call.sent_at, call.ended_at, {}};
  if (!executions.empty()) {
    lost.target = TargetIndex(executions.back().target_address);
  }
  const Loss loss = JudgeLoss(lost, targets_.size(), impairments_);
  const std::string what =
      "router " + routers_[call.router]->address() + " ended it with a " +
      (call.end == CallEnd::kReset ? "reset" : "close") + " after " +
      std::to_string(ToMilliseconds(call.ended_at - call.sent_at)) + " ms, " +
      std::to_string(ToMilliseconds(call.ended_at - start_)) +
      " ms into the run; " + std::to_string(executions.size()) +
      " executions, response: \"" +
      call.response.substr(0, call.response.find("\r\n")) + "\"";
  switch (loss) {
    case Loss::kCrossed:
      ++crossed_calls_;
      break;
    case Loss::kExcused:
      ++excused_losses_;
      break;
    case Loss::kPlanned:
      ++planned_losses_;
      RecordViolation(call, "lost in planned work: " + what);
      break;
    case Loss::kUnplanned:
      unplanned_losses_.push_back("request " + call.id + " was lost: " + what);
      break;
  }
}

void Soak::FinishCall(Call call) {
  const ResponseFrame frame =
      ParseResponseFrame(call.response, call.end == CallEnd::kClosed);
  if (!frame.is_complete &&
      (call.end == CallEnd::kClosed || call.end == CallEnd::kReset)) {
    CheckLoss(call);
  }
  CheckExecutions(call);
  const std::size_t head_end = call.response.find("\r\n\r\n");
  if (call.response.starts_with("HTTP/1.1 ") && head_end != std::string::npos) {
    const int status = std::stoi(call.response.substr(9, 3));
    const std::string body = call.response.substr(head_end + 4);
    if (status == 200 && call.kind == CallKind::kStreaming) {
      CheckStream(call, body);
      call.was_served = body.ends_with(kLastChunk);
    } else if (status == 200) {
      call.was_served = body == "ran:" + call.id;
      if (!call.was_served &&
          ("ran:" + call.id).compare(0, body.size(), body) != 0) {
        RecordViolation(
            call, "response body is not the one for this request: " + body);
      } else if (!call.was_served && frame.is_complete) {
        RecordViolation(call, "truncated body looks complete: " + body);
      }
    }
    ++response_counts_[status];
    call.was_rejected = status == 503 || status == 429;
    if (status == 200 && call.api_key == kRevokedApiKey && revoked_at_ &&
        call.sent_at > *revoked_at_ + kMaxPropagationDelay) {
      RecordViolation(call, "got a 200 response with a revoked API key");
    }
  }
  if (call.kind == CallKind::kNonIdempotent && executions_[call.id].count > 1) {
    RecordViolation(call, "non-idempotent request was executed more than once");
  }
  served_calls_ += call.was_served ? 1 : 0;
  if (call.sent_at >= recovery_check_start_ && call.api_key == kValidApiKey) {
    ++recovery_calls_;
    recovery_served_calls_ += call.was_served ? 1 : 0;
  }
  if (call.was_rejected && call.kind == CallKind::kNonIdempotent) {
    rejected_calls_.push_back(std::move(call));
  }
}

void Soak::CheckWholeRun() {
  for (const auto& it : routers_) {
    for (const ProcessEnd& end : it->ends()) {
      if (end.is_failure()) {
        violations_.push_back("router " + it->address() +
                              " ended by itself: " + ToString(end));
      }
    }
  }
  for (const Call& it : rejected_calls_) {
    if (executions_[it.id].count > 0) {
      RecordViolation(it,
                      "was rejected with 503 or 429, but a target executed it");
    }
  }
  if (unplanned_losses_.size() > kMaxUnplannedLosses) {
    violations_.insert(violations_.end(), unplanned_losses_.begin(),
                       unplanned_losses_.end());
  }
  if (recovery_served_calls_ < kMinServedRatioAfterFaults * recovery_calls_ ||
      recovery_calls_ == 0) {
    violations_.push_back(
        "after the last fault only " + std::to_string(recovery_served_calls_) +
        " of " + std::to_string(recovery_calls_) + " requests were served");
  }
}

}  // namespace corianderpost::soak
