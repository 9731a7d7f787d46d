// One request from a caller to its answer, over as many targets as it takes.
#ifndef CORIANDERPOST_DATAPLANE_EXCHANGE_H_
#define CORIANDERPOST_DATAPLANE_EXCHANGE_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "dataplane/caller.h"
#include "dataplane/event_splitter.h"
#include "dataplane/upstream.h"
#include "decisions/scheduler.h"
#include "runtime/json_log.h"
#include "runtime/metrics.h"

namespace corianderpost {

// What exchanges share; owned by the router's event loop.
struct DataPlane {
  const Clock& clock;
  const Dialect& dialect;
  Scheduler& scheduler;
  UpstreamPool& pool;
  internal::Metrics& metrics;
  // Null until a configuration is known.
  std::shared_ptr<const Configuration> configuration = nullptr;
  // Longest deadline that callers of a route sent; tells how long the caller
  // of a later attempt has waited already.
  std::map<std::string, Duration> max_caller_timeout_by_route = {};
  // When the target list was last read.
  TimePoint target_list_read_at = {};
  bool is_draining = false;
  // No requests that may outlast the process are taken any more.
  bool rejects_streaming = false;
  // No requests are taken any more.
  bool rejects_all = false;
  // The processor is nearly used up: connections should move to other routers.
  bool is_busy = false;
  // The processor can't keep up: new requests are refused at once.
  bool is_overloaded = false;
  // Reports that requests crashed a target, for peers.
  std::function<void(const CrashReport&)> on_crash = {};
  // A target refused connections, for peers.
  std::function<void(const std::string&)> on_unreachable = {};
};

// Used from the event loop only.
class Exchange final : public UpstreamListener,
                       public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(DataPlane& plane, std::shared_ptr<CallerConnection> caller,
           ReceivedRequest request);
  ~Exchange() override;

  // Routes the request. The exchange must be owned by a shared_ptr.
  void Start();
  void HandleCallerDisconnected();
  void HandleOutputFlushed();
  // Ends what took too long.
  void Tick(TimePoint now);
  // Ends the request because the process ends.
  void AbortForShutdown();

  bool is_done() const { return is_done_; }
  CallerConnection& caller() { return *caller_; }

  void OnSent() override;
  void OnHead(const HttpResponseHeader& head) override;
  void OnBody(std::string_view data) override;
  void OnDone(bool is_framed) override;
  void OnFailed(UpstreamFailure failure) override;

 private:
  enum class ResponseKind {
    kNone,
    // Events are passed on as they arrive.
    kStream,
    // The body is passed on once it is whole.
    kBuffered,
    // The target did not run the request; the body is dropped.
    kNotExecuted,
    // The answer can't be used; the body is dropped.
    kUnusable,
  };

  void Dispatch();
  void SendTo(const Assignment& assignment);
  // Ends the attempt in progress and tells the scheduler.
  void EndAttempt(AttemptOutcome outcome);
  // Tries another target, or ends the request. `may_have_executed` tells
  // whether the attempt that ended may have run.
  void RetryOrFail(bool may_have_executed, const char* cause);
  void Reject(const Rejection& rejection);
  void SendLocalReply(int status, std::string_view reason,
                      Duration retry_after);
  void FinishResponse();
  void ForwardEvent(const StreamEvent& event);
  void ReportCrash();
  void Finish(std::string_view outcome);
  Duration RemainingTime(TimePoint now) const;
  Duration StallTimeout() const;
  bool ShouldCloseConnection() const;
  void Log(internal::LogLevel level, const char* message,
           std::vector<internal::LogField> fields);

  DataPlane& plane_;
  std::shared_ptr<CallerConnection> caller_;
  HttpRequest request_;
  std::shared_ptr<const std::string> body_;
  const TimePoint first_byte_at_;
  std::shared_ptr<const Configuration> configuration_;
  RequestMeta meta_;
  ScheduledRequest scheduled_;
  Duration caller_timeout_{0};
  Duration route_timeout_{0};

  std::shared_ptr<UpstreamConnection> upstream_;
  std::optional<Assignment> assignment_;
  bool was_sent_ = false;
  // Some attempt may have run, so a refusal would not be true.
  bool may_have_executed_ = false;
  int attempts_ = 0;
  int status_ = 0;
  Duration retry_after_{0};
  Duration predicted_latency_{0};
  // What the last target was expected to read, what others had waiting there,
  // and whether it was the home of the prompt's chain.
  double prefill_tokens_ = 0;
  double waiting_tokens_ = 0;
  bool was_home_ = false;
  // From the request's arrival; zero if there was none.
  Duration first_event_latency_{0};
  double share_level_ = 0;
  TimePoint last_progress_at_;
  ResponseKind response_kind_ = ResponseKind::kNone;
  std::optional<HttpResponseHeader> response_header_;
  std::string response_body_;
  EventSplitter splitter_;
  // The head and at least one event were passed to the caller.
  bool has_stream_begun_ = false;
  std::string last_event_id_;
  std::uint64_t events_forwarded_ = 0;
  bool is_done_ = false;
  bool is_log_suppressed_ = false;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_DATAPLANE_EXCHANGE_H_
