// Router processes of two regions before engines that crash or limit their
// load, with callers at all routers. The engines and callers run in the test's
// event loop.
#ifndef CORIANDERPOST_TESTS_FLEET_ENGINE_FLEET_H_
#define CORIANDERPOST_TESTS_FLEET_ENGINE_FLEET_H_

#include <sys/types.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fleet/engine_memory.h"
#include "fleet/engine_queue.h"
#include "platform/platform_deployment.h"
#include "platform/standin_wire.h"
#include "soak/router_process.h"
#include "soak/standins.h"

namespace corianderpost::soak {

// One request that reached an engine.
struct Arrival {
  TimePoint at;
  std::string request_id;
  // Id of the first part of the prompt that crashes engines; zero if none does.
  std::uint64_t crashing_part = 0;
};

// The start of a request's answer.
struct Run {
  TimePoint began_at;
  std::string request_id;
};

// The events of each stream that an engine writes.
struct StreamShape {
  int events = 4;
  std::chrono::milliseconds interval{20};
};

// A response that goes on until its receiver closes the connection: `begin`
// follows the status line and the signature, then `part` is repeated.
struct EndlessResponse {
  std::string begin;
  std::string part;
};

// An engine that answers with a stream of events. It crashes when it begins to
// answer a prompt with a certain part, and starts again as a new incarnation.
// Not thread-safe.
class Engine final : public StandinHandler {
 public:
  Engine(boost::asio::io_context& loop, std::string address,
         const Deployment& deployment, const Clock& clock);
  void OnRequest(const std::shared_ptr<CallerConnection>& caller,
                 ReceivedRequest request) override;
  // Closes all connections and stops listening. Restarts after `down_time`.
  void Crash(Duration down_time = kDefaultDownTime);
  // Like `Crash`, but without a restart.
  void Stop();
  void Restart();
  // Breaks off all responses in progress.
  void BreakStreams();
  // Restarts the engine and releases closed connections when it is time.
  void Tick(TimePoint now);

  bool is_running() const { return listener_.has_value(); }
  std::int64_t incarnation() const { return incarnation_; }
  const std::vector<Arrival>& arrivals() const { return arrivals_; }
  const std::vector<TimePoint>& crashes() const { return crashes_; }
  const std::vector<Run>& runs() const { return runs_; }
  // Limits what the engine serves from now on; by default, it answers each
  // request at once. Streams then have the events that their request asks for,
  // and the pace of the engine.
  void LimitCapacity(const EngineCapacity& capacity) {
    capacity_ = capacity;
    queue_.emplace(loop_, capacity);
  }

  // Returns what the data of each event names: the version, or this run of the
  // engine if its entry states no version.
  std::string writer() const;

  // Version of the software as stated in the engine's entry; empty if it states
  // none. A new version takes a new run of the engine.
  std::string version = "v1";
  StreamShape stream;
  // Prompt parts that crash the engine.
  std::set<std::uint64_t> crashing_parts;
  // Header lines added to each response.
  std::string extra_headers;
  // Sent instead of a stream.
  std::optional<EndlessResponse> endless_response;
  // Whether requests are answered with 503, as not executed, and the header
  // lines of these responses.
  bool is_refusing = false;
  std::string refusal_headers;
  // Whether the routers' questions stay without a response.
  bool ignores_questions = false;
  // Every n-th request that begins loses its connection after its first event
  // was made and before it is sent; none if zero.
  std::size_t lost_start_interval = 0;

 private:
  static constexpr Duration kDefaultDownTime = std::chrono::milliseconds(1500);

  void Begin(const std::shared_ptr<CallerConnection>& caller,
             const RequestMeta& meta, std::uint64_t crashing_part,
             const EngineQueue::Slot& slot = nullptr);
  // Adds a request to the queue of an engine with limited capacity.
  void Queue(const std::shared_ptr<CallerConnection>& caller,
             const RequestMeta& meta, std::uint64_t crashing_part);
  // Answers with 503, as not executed.
  static void Refuse(CallerConnection& caller, const RequestMeta& meta,
                     const std::string& headers);
  // A stream whose events are being sent.
  struct RunningStream {
    std::shared_ptr<CallerConnection> caller;
    RequestMeta request;
    std::int64_t incarnation = 0;
    // Number of the last event.
    int last = 0;
    EngineQueue::Slot slot;
  };
  // Sends event `number` and the following ones.
  void SendEventsFrom(const std::shared_ptr<const RunningStream>& run,
                      int number);
  void SendEndlessly(const std::shared_ptr<CallerConnection>& caller,
                     const std::string& part);
  boost::asio::io_context& loop_;
  const std::string address_;
  const Deployment& deployment_;
  const Clock& clock_;
  std::optional<Listener> listener_;
  std::vector<std::weak_ptr<CallerConnection>> open_;
  std::int64_t incarnation_ = 1;
  TimePoint restart_at_;
  std::vector<Arrival> arrivals_;
  std::vector<TimePoint> crashes_;
  std::vector<Run> runs_;
  EngineCapacity capacity_;
  // Empty if the capacity is not limited.
  std::optional<EngineQueue> queue_;
  EngineMemory memory_;
};

// A complete event that a caller received.
struct CallEvent {
  // Zero if the event has no number.
  std::int64_t number = 0;
  // The `Engine::writer` that wrote it.
  std::string writer;
};

// One request of a call.
struct CallTry {
  std::string request_id;
  std::size_t router = 0;
  // Process id of the router when the try began; zero if it was not running.
  pid_t router_pid = 0;
  TimePoint began_at;
  // Zero until the connection has ended, like the following members.
  TimePoint ended_at = {};
  // The router process ended during the try.
  bool has_lost_router = false;
  // The caller's side closed the connection.
  bool has_caller_left = false;
  // Zero if no response arrived.
  int status = 0;
  std::vector<CallEvent> events = {};
  // The last chunk arrived.
  bool is_complete = false;
};

// How callers continue streams that were broken off.
struct ResumePolicy {
  // Number of tries after the first one that a call may have.
  int max_resumptions = 0;
  // Whether a caller tries again after its resumption was refused.
  bool retries_refused = false;
  // Each try begins this long at least, and less than `max_delay`, after the
  // last one has ended.
  Duration min_delay{0};
  Duration max_delay = std::chrono::milliseconds(100);
  std::uint64_t seed = 1;
};

// How a caller sends its request.
struct CallOptions {
  // Selects the route; by default, that of the first configuration.
  std::string path = "/stream/";
  // Time that the caller waits in all tries together.
  Duration timeout = std::chrono::seconds(4);
  std::int64_t max_output_tokens = 20;
};

// A caller's request and its result. If it resumes its stream, it has several
// tries.
struct EngineCall {
  TimePoint began_at;
  // When the last part of the response arrived.
  TimePoint answered_at = {};
  // Router of the last try.
  std::size_t router = 0;
  std::string customer = {};
  std::vector<PromptPart> prompt = {};
  // Response of the last try.
  std::string response = {};
  // Empty for a readiness check.
  std::vector<CallTry> tries = {};
  CallOptions options = {};

  bool is_served() const {
    return response.starts_with("HTTP/1.1 200") &&
           response.find("\r\n0\r\n") != std::string::npos;
  }
  bool is_rejected() const { return response.starts_with("HTTP/1.1 503"); }
};

// Not thread-safe.
class EngineFleet {
 public:
  // Half of the routers and engines are in each region.
  EngineFleet(int network, int routers, int engines,
              const std::vector<std::string>& customers);

  // Starts the routers, and waits until they have found each other.
  void Start(const platform::StandinRules& rules = {});
  // Plays until `duration` from now. `on_step` is called every few milliseconds
  // and may call `Send`.
  void PlayFor(Duration duration,
               const std::function<void(TimePoint)>& on_step = {});
  // Plays until all calls have ended, so that none resumes its stream.
  void PlayUntilCallsEnd();
  // Sends a request to a router.
  std::shared_ptr<const EngineCall> Send(std::size_t router,
                                         const std::string& customer,
                                         std::vector<PromptPart> prompt,
                                         const CallOptions& options);
  std::shared_ptr<const EngineCall> Send(std::size_t router,
                                         const std::string& customer,
                                         std::vector<PromptPart> prompt,
                                         const std::string& path = "/stream/") {
    CallOptions options;
    options.path = path;
    return Send(router, customer, std::move(prompt), options);
  }
  // Asks a router whether it is ready.
  std::shared_ptr<const EngineCall> SendReadinessCheck(std::size_t router);
  // Applies to the calls that begin later.
  void SetResumePolicy(const ResumePolicy& policy);
  // Closes a share of the callers' connections to streams that have begun and
  // not ended.
  void BreakCallerConnections(double share);
  // Sets the streams of all engines, also of those that are added later.
  void SetStreamShape(const StreamShape& stream);
  // Lets running engines write their entries at this interval, with a new
  // sequence number; zero if only when they have started.
  void SetHeartbeatInterval(Duration interval) {
    heartbeat_interval_ = interval;
  }
  // Adds an engine, which is in the target list soon after. Returns its index.
  std::size_t AddEngine(const std::string& version);
  // Removes the engine from the target list and stops it.
  void RemoveEngine(std::size_t index);
  // Writes a version of the configuration with this many added routes.
  void PublishConfiguration(std::uint64_t version, int added_routes,
                            const platform::StandinRules& rules = {});
  // The throughput that the next version of the configuration states.
  void SetTokensPerSecond(double tokens) { tokens_per_second_ = tokens; }
  // The customers of the next version of the configuration.
  void SetCustomers(std::vector<std::string> customers) {
    customers_ = std::move(customers);
  }
  // Writes the engine's entry of the target list again.
  void PublishEngine(std::size_t index, bool is_draining = false);
  // Writes all entries that are missing from the store or outdated in it, as
  // the engines do some time after the store has returned.
  void PublishAllEngines();
  // Lets each router run for this fraction of the time only; 1 removes the
  // limit.
  void Throttle(double fraction) { run_fraction_ = fraction; }

  TimePoint Now() const { return clock_.Now(); }
  boost::asio::io_context& loop() { return loop_; }
  std::vector<std::unique_ptr<Engine>>& engines() { return engines_; }
  std::vector<std::unique_ptr<RouterProcess>>& routers() { return routers_; }
  Store& store() { return store_; }
  const Deployment& deployment() const { return deployment_; }
  const std::vector<std::shared_ptr<EngineCall>>& calls() const {
    return calls_;
  }
  // Times of all crashes, in order.
  std::vector<TimePoint> Crashes() const;
  // Returns the index of the router that a request was sent to.
  std::size_t RouterOf(const Arrival& arrival) const;

 private:
  struct OpenCall;
  // Sends the next try of a call.
  void SendTry(const std::shared_ptr<EngineCall>& call, std::size_t router,
               const std::string& path);
  // Records the result of the last try, and sends the next one if the policy
  // allows one.
  void EndTry(OpenCall& open);
  void ResumeLater(const OpenCall& open);
  void Start(const std::shared_ptr<OpenCall>& open, const std::string& address);
  void Read(const std::shared_ptr<OpenCall>& open);
  void ApplyThrottle(TimePoint now);

  const LoopbackNetwork network_;
  std::vector<std::string> customers_;
  boost::asio::io_context loop_;
  SystemClock clock_;
  platform::PlatformDeployment deployment_;
  Store store_;
  std::vector<std::unique_ptr<Engine>> engines_;
  // By engine; the incarnation that the store lists.
  std::vector<std::int64_t> listed_incarnations_;
  std::set<std::size_t> draining_engines_;
  Duration heartbeat_interval_{0};
  TimePoint next_heartbeat_;
  std::uint64_t sequence_ = 0;
  double tokens_per_second_ = 4e6;
  std::vector<std::unique_ptr<RouterProcess>> routers_;
  std::vector<std::shared_ptr<EngineCall>> calls_;
  std::vector<std::weak_ptr<OpenCall>> open_calls_;
  ResumePolicy resume_policy_;
  std::mt19937_64 random_;
  StreamShape stream_;
  double run_fraction_ = 1;
  std::vector<bool> is_stopped_;
};

}  // namespace corianderpost::soak

#endif  // CORIANDERPOST_TESTS_FLEET_ENGINE_FLEET_H_
