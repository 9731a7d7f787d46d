// Handles one request from its arrival to the end of its response, with retries
// at other targets.
#ifndef CORIANDERPOST_DATAPLANE_EXCHANGE_H_
#define CORIANDERPOST_DATAPLANE_EXCHANGE_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "dataplane/caller.h"
#include "dataplane/event_splitter.h"
#include "dataplane/rejection_tally.h"
#include "dataplane/stream_directory.h"
#include "dataplane/upstream.h"
#include "decisions/drain_schedule.h"
#include "decisions/processor_admission.h"
#include "decisions/scheduler.h"
#include "runtime/json_log.h"
#include "runtime/metrics.h"

namespace corianderpost {

// State shared by all exchanges of a router. Not thread-safe: used on the event
// loop thread only.
struct DataPlane {
  const Clock& clock;
  const Dialect& dialect;
  Scheduler& scheduler;
  UpstreamPool& pool;
  internal::Metrics& metrics;
  // Null until the first configuration has been received.
  std::shared_ptr<const Configuration> configuration = nullptr;
  // Longest caller timeout received, by route name. A caller that retries sends
  // a shorter one; the difference is the time it has waited so far.
  std::map<std::string, Duration> max_caller_timeout_by_route = {};
  // Time of the last response of the store for the target list, or of newer
  // data from a peer.
  TimePoint target_list_read_at = {};
  // Set while the router shuts down: responses close their connections, and
  // requests that may not end in time are rejected.
  std::optional<DrainSchedule> drain = std::nullopt;
  // Divides the requests that the processor can handle between the customers.
  ProcessorAdmission processor_admission = {};
  // Requests that this router rejected since the last line on them.
  RejectionTally rejections = {};
  // Called when a request became a suspect for a crash of its target, so that
  // peers learn of it. May be empty.
  std::function<void()> on_crash = {};
  // Called when a target said that it leaves, so that peers learn of it. May be
  // empty.
  std::function<void()> on_target_leaving = {};
  // Called with the id of a target to which no connection could be made, so
  // that peers learn of it. May be empty.
  std::function<void(const std::string&)> on_unreachable = {};
  // Knows which software version began a stream. Null if nothing knows.
  StreamDirectory* stream_directory = nullptr;
  // Limits the memory of requests and responses. Null if there is no limit.
  MemoryBudget* memory = nullptr;
};

// One request and its response. Not thread-safe: use on the event loop thread
// only.
class Exchange final : public UpstreamListener,
                       public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(DataPlane& plane, std::shared_ptr<CallerConnection> caller,
           ReceivedRequest request);
  ~Exchange() override;

  // Routes the request and sends it to a target, or sends a local reply. The
  // exchange must be owned by a shared_ptr.
  void Start();
  void HandleCallerDisconnected();
  void HandleOutputFlushed();
  // Ends the request at the caller's deadline or the route's timeout, and
  // retries an attempt that has stalled if another target has room.
  void Tick(TimePoint now);
  // Call before `Tick` if the event loop ran `lag` late: the responses of that
  // time have not been read yet, so it does not count as time without progress.
  void ExcuseLag(TimePoint now, Duration lag);
  // Ends an attempt that has no answer yet if its request has a trait that is
  // blamed for crashes of targets.
  void CancelIfBlamed(TimePoint now);
  // Ends the request because the process is about to exit. Its caller gets a
  // truthful reply unless a stream has begun.
  void AbortForShutdown();

  bool is_done() const { return is_done_; }
  // Empty if the request has none, or was rejected before it was decoded.
  const std::string& request_id() const { return meta_.request_id; }
  CallerConnection& caller() { return *caller_; }

  void OnSendStarted() override;
  void OnHead(const HttpResponseHeader& head) override;
  void OnBody(std::string_view data) override;
  void OnDone(bool is_framed) override;
  void OnFailed(UpstreamFailure failure) override;

 private:
  enum class ResponseKind {
    kNone,
    // Events are forwarded as they arrive.
    kStream,
    // The body is forwarded once it is complete.
    kBuffered,
    // The target did not execute the request; the body is discarded.
    kNotExecuted,
    // The response is invalid and must not be forwarded; the body is discarded.
    kUnusable,
  };

  // Returns whether an interrupted stream of the route may continue.
  // Rejects the request if the router stops and it may not end before. Returns
  // whether it did.
  bool RejectIfStopping();
  bool IsResumableStream() const;
  // Returns the service that a request with this id is sent to.
  const std::string& ServiceFor(const std::string& request_id) const;
  // Asks which version began the stream that the caller resumes, and continues
  // with `HandleOrigin`.
  void FindOrigin();
  // Continues the stream at the version that began it, or rejects the request.
  void HandleOrigin(const StreamOrigin& origin);
  // Logs and counts, once, whether the stream that the caller resumes goes on.
  void ReportResumption(std::string_view verdict);
  // Counts a retry in the middle of a stream, and logs it if it is not made.
  void ReportStreamRetry(std::string_view verdict);
  // Records which target and version wrote the stream. Call before its first
  // event is forwarded.
  void RecordStreamBegun();
  // Returns whether the stream may continue at another target: no event was
  // forwarded yet, or it is certain which version wrote them.
  bool MayContinue() const;
  // Asks the scheduler for a target.
  Decision Place(TimePoint now);
  // Places the request and starts an attempt, or ends the request if there is
  // no target.
  void Dispatch();
  // Starts an attempt.
  void SendTo(const Assignment& assignment);
  // Ends the attempt in progress and reports its outcome to the scheduler.
  void EndAttempt(AttemptOutcome outcome);
  // Retries at another target, or ends the request with `cause`.
  // `may_have_executed` is true if the failed attempt may have executed the
  // request.
  void RetryOrFail(bool may_have_executed, const char* cause);
  void Reject(const Rejection& rejection);
  // Answers without a target's response and ends the request. `reason` is also
  // logged as the outcome. No Retry-After header if `retry_after` is zero.
  void SendLocalReply(int status, std::string_view reason,
                      Duration retry_after);
  void FinishResponse();
  // Checks the event's id and forwards the event. Ends the attempt if the id
  // doesn't follow the last one.
  void ForwardEvent(const StreamEvent& event);
  // Records the rate limit that the target's response names, or that it names
  // none.
  void RecordRateLimit(const ResponseMeta& meta);
  // Records that the target's response says that it leaves.
  void RecordLeaving(const ResponseMeta& meta);
  // Records that the target rejected the request and asked for a pause.
  void RecordPause(const ResponseMeta& meta);
  // Keeps the next part of a response that is forwarded once it is complete.
  void BufferResponse(std::string_view data);
  // Ends the attempt because its response takes too much memory.
  void GiveUpResponse(const char* cause);
  // Releases the buffered response and its charge.
  void DropResponse();
  // Ends an attempt whose response is complete, or long enough, and can't be
  // forwarded.
  void EndUnusableAttempt();
  void CountMalformedHint(const char* hint);
  // Records metrics and logs the request. Does nothing if already done.
  void Finish(std::string_view outcome);
  // Time left until the caller's deadline or the route's timeout, whichever is
  // earlier.
  Duration RemainingTime(TimePoint now) const;
  // Time without progress after which the attempt counts as stalled.
  Duration StallTimeout() const;
  // Continues at another target if one has room. Otherwise the attempt goes on,
  // unless nothing can come of it.
  void HandleStall(TimePoint now);
  // Whether the current attempt may still give the caller its response.
  bool MayStillComplete() const;
  // Decides whether the connection closes after the response, whose head is
  // written next. It then stays open unless the head says so, since the caller
  // may send another request meanwhile.
  bool DecideClose();
  void Log(internal::LogLevel level, const char* message,
           std::vector<internal::LogField> fields);

  DataPlane& plane_;
  std::shared_ptr<CallerConnection> caller_;
  HttpRequest request_;
  std::shared_ptr<const std::string> body_;
  // When the request's first byte was read. Start of all time limits below.
  const TimePoint first_byte_at_;
  std::shared_ptr<const Configuration> configuration_;
  RequestMeta meta_;
  ScheduledRequest scheduled_;
  Duration caller_timeout_{0};
  // Zero if the route has none.
  Duration route_timeout_{0};

  std::shared_ptr<UpstreamConnection> upstream_;
  std::optional<Assignment> assignment_;
  // The current attempt has started to write its request.
  bool has_send_started_ = false;
  // Some attempt may have executed the request, so it must not be answered with
  // a status that says it was not executed.
  bool may_have_executed_ = false;
  // Attempts that count against the route's maximum.
  int attempts_ = 0;
  // HTTP status of the response to the caller; zero before it is known.
  int status_ = 0;
  Duration retry_after_{0};
  // Predicted time to the first event at the last target; if the scheduler
  // rejected the request, the lowest prediction of all targets.
  Duration predicted_latency_{0};
  // For the log: prefill tokens expected at the last target, tokens of other
  // requests queued there, and whether it was the home of the prompt's chain.
  double prefill_tokens_ = 0;
  double waiting_tokens_ = 0;
  double slot_wait_seconds_ = 0;
  // Output of the last attempt, the predicted time to its end, the actual one
  // so far, and the expected remaining output of the other streams at its
  // target when it was sent.
  AttemptOutput output_;
  Duration predicted_completion_{0};
  Duration attempt_time_{0};
  double target_output_left_ = 0;
  bool was_home_ = false;
  // Time from the request's first byte to the first event; zero before it.
  Duration first_event_latency_{0};
  // Max-min fair share level, in units per second, if the scheduler rejected
  // the request; otherwise zero.
  double share_level_ = 0;
  // Targets that the limits ruled out, if the scheduler rejected the request.
  ExcludedTargets excluded_;
  // Set if the request was rejected because such requests crash targets.
  std::optional<BlamedTrait> blamed_;
  // Last time that the attempt started, began to send, or received bytes, plus
  // the lag of the event loop since then.
  TimePoint last_progress_at_;
  // When the current attempt was last found to have stalled, and when to look
  // for another target next.
  std::optional<TimePoint> stalled_at_;
  TimePoint next_stall_retry_at_;
  // Target that the current attempt took the request over from, since it was
  // silent; else empty.
  std::string silent_target_;
  // The event loop lagged during the current attempt.
  bool has_loop_lagged_ = false;
  ResponseKind response_kind_ = ResponseKind::kNone;
  std::optional<HttpResponseHeader> response_head_;
  std::string response_body_;
  MemoryCharge request_memory_;
  MemoryCharge response_memory_;
  // Bytes of the current attempt's response that were not kept.
  std::size_t discarded_bytes_ = 0;
  EventSplitter splitter_;
  // The response head and at least one event were sent to the caller.
  bool has_stream_begun_ = false;
  // The response's head says that the connection closes after it.
  bool announces_close_ = false;
  // The current attempt continues a stream that an earlier one of this request
  // began.
  bool is_resuming_ = false;
  // The caller resumes a stream of an earlier request.
  bool is_resumption_ = false;
  // The caller resumes a stream, and the version that began it is being looked
  // up.
  bool awaits_origin_ = false;
  // Set once the origin of the stream that the caller resumes is known.
  std::optional<StreamOrigin> origin_;
  bool is_resumption_reported_ = false;
  // Runs of targets whose events were forwarded.
  struct StreamWriter {
    std::string target_id;
    std::int64_t incarnation = 0;
  };
  std::vector<StreamWriter> stream_writers_;
  // When the last event was forwarded.
  TimePoint last_event_at_;
  // Events of the current attempt that were forwarded.
  std::uint64_t attempt_events_ = 0;
  // Id of the last event forwarded to the caller; before that, the caller's own
  // Last-Event-Id.
  std::string last_event_id_;
  std::uint64_t events_forwarded_ = 0;
  bool is_done_ = false;
  bool is_log_suppressed_ = false;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_DATAPLANE_EXCHANGE_H_
