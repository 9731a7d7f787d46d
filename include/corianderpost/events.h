// What goes into the decision core and what comes out of it.
//
// `Event` values describe what happened; `Action` values describe what the
// runtime must do. Both are plain values, so that a run can be recorded,
// replayed and compared.
#ifndef CORIANDERPOST_EVENTS_H_
#define CORIANDERPOST_EVENTS_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "corianderpost/bundle.h"
#include "corianderpost/clock.h"
#include "corianderpost/ids.h"
#include "corianderpost/peer_message.h"

namespace corianderpost {

// Events -------------------------------------------------------------------

struct RequestArrived {
  RequestId id = 0;
  CustomerId customer;
  ServiceId service;
  bool idempotent = true;
  // Idempotency key as the caller sent it.
  std::optional<std::string> key;
  // Hash of customer, service and content; equal for a resend.
  std::uint64_t fingerprint = 0;
  // Units charged when a target begins, such as prompt tokens.
  std::uint32_t initial_units = 1;
};

// The caller hung up.
struct RequestAbandoned {
  RequestId id = 0;
};

// The target produced more units of output.
struct AttemptProgress {
  AttemptId attempt = 0;
  std::uint32_t units = 0;
};

enum class AttemptOutcome {
  // The answer is whole.
  kCompleted,
  // No byte of the request left this process.
  kNotSent,
  // The target said that it did not begin.
  kRejectedByTarget,
  // The connection was lost after the send, with or without some output.
  kLostAfterSend,
};

struct AttemptEnded {
  AttemptId attempt = 0;
  AttemptOutcome outcome = AttemptOutcome::kCompleted;
};

struct PeerMessageReceived {
  PeerEnvelope envelope;
};

struct BundleSeen {
  std::shared_ptr<const Bundle> bundle;
  // True if the configuration service itself answered, with this or no news.
  bool from_service = true;
};

struct BundleReadFailed {};

struct VmListSeen {
  std::shared_ptr<const VmList> list;
};

struct LoadReported {
  TargetId target;
  int in_flight = 0;
  bool cold = false;
  // The time in the PollLoad that this answers.
  TimePoint asked_at;
};

struct LoadReportFailed {
  TargetId target;
};

struct DrainRequested {};

// Time passed. Expected every `kTickInterval` or so.
struct Tick {};

using Event = std::variant<RequestArrived, RequestAbandoned, AttemptProgress,
                           AttemptEnded, PeerMessageReceived, BundleSeen,
                           BundleReadFailed, VmListSeen, LoadReported,
                           LoadReportFailed, DrainRequested, Tick>;

// Actions ------------------------------------------------------------------

// Sends the request to a target.
struct Dispatch {
  RequestId request = 0;
  AttemptId attempt = 0;
  TargetId target;
  // Output units that the caller has already been given.
  std::uint64_t resume_from = 0;
};

enum class RefusalReason {
  kUnknownService,
  kQueueFull,
  kWaitTooLong,
  kNotServing,
  kDraining,
  kKeyRequired,
  kKeyUnknown,
  kKeyInProgress,
  kKeyMismatch,
  kKeyHomeUnreachable,
  kQuarantined,
  kTargetFailed,
};

// Whether a target may have begun the request.
enum class RefusalOutcome { kNotRun, kUnknown };

// Ends the request without a whole answer.
struct Refuse {
  RequestId request = 0;
  RefusalReason reason = RefusalReason::kNotServing;
  RefusalOutcome outcome = RefusalOutcome::kNotRun;
  // Zero if waiting does not help.
  Duration retry_after{0};
  // With kKeyRequired, a key that the caller may use.
  std::string issued_key;
};

// The caller's answer is whole.
struct Complete {
  RequestId request = 0;
};

// Answers the request with the stored answer of an earlier one.
struct Replay {
  RequestId request = 0;
  RequestId original = 0;
};

// The stored answer of a keyed request is no longer needed.
struct ForgetAnswer {
  RequestId request = 0;
};

struct CancelAttempt {
  AttemptId attempt = 0;
};

// Hands the request to the router that its key names.
struct ForwardToHome {
  RequestId request = 0;
  VmId home;
};

struct SendToPeer {
  PeerEnvelope envelope;
};

struct PullBundle {
  VmId from;
};

struct PullVmList {
  VmId from;
};

// Reads the configuration service once, answering with BundleSeen or
// BundleReadFailed. With `watch`, waits there for a newer revision.
struct ReadConfiguration {
  std::uint64_t known_revision = 0;
  bool watch = false;
};

struct PollLoad {
  TargetId target;
  // Comes back in the report, whose state is not much older than this.
  TimePoint asked_at;
};

using Action =
    std::variant<Dispatch, Refuse, Complete, Replay, ForgetAnswer,
                 CancelAttempt, ForwardToHome, SendToPeer, PullBundle,
                 PullVmList, ReadConfiguration, PollLoad>;

// Returns the names used in problem documents, logs and metrics.
std::string_view Name(RefusalReason reason);
std::string_view Name(RefusalOutcome outcome);

}  // namespace corianderpost

#endif  // CORIANDERPOST_EVENTS_H_
