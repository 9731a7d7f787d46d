#include "router/router.h"

#include <malloc.h>
#include <sys/resource.h>
#include <time.h>

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <charconv>
#include <fstream>
#include <limits>
#include <map>
#include <set>
#include <sstream>
#include <unordered_map>

#include "dataplane/exchange.h"
#include "dataplane/fetch.h"
#include "peers/fleet_stream_directory.h"
#include "peers/peer_messenger.h"
#include "peers/replica_batch.h"
#include "peers/store_reader.h"
#include "router/engine_report.h"
#include "router/listener.h"
#include "router/load_control.h"
#include "router/share_log.h"
#include "router/target_survey.h"
#include "runtime/json_log.h"
#include "runtime/metrics.h"
#include "runtime/signal_mask.h"

namespace corianderpost {
namespace {

namespace asio = boost::asio;
using internal::Log;
using internal::LogLevel;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Deadlines are checked at this interval, so they are enforced up to 25 ms
// late, plus the few milliseconds by which timers fire late on this platform.
constexpr Duration kTickInterval = milliseconds(25);
// A tick that is later than this may run before responses that arrived in time
// are read.
constexpr Duration kMaxOnTimeLag = milliseconds(40);
constexpr Duration kHousekeepingInterval = milliseconds(250);
constexpr Duration kSettingsCheckInterval = seconds(1);
// Interval at which the versions of the known targets count as in use.
constexpr Duration kTargetRecordInterval = milliseconds(500);
// Interval of the log lines that summarise rejections and the share level.
constexpr Duration kSummaryInterval = seconds(1);
// Malformed store items with a line of their own in one summary interval; the
// others are counted.
constexpr std::uint64_t kMaxMalformedItemLines = 8;
// Customers named in a line on rejections.
constexpr std::size_t kMaxCustomersPerLine = 8;
// In a fleet that uses relays, number of routers per zone that read the store;
// the others copy from them. In a smaller fleet every router reads the store.
constexpr int kRoutersReadingStorePerZone = 1;
// If a zone's replicas become stale, its other routers start to read the store
// in the order of their relay rank, each later than the one before, so that one
// takes over and the others copy from it. Ranks beyond the maximum wait equally
// long.
constexpr Duration kTakeoverDelayPerRank = milliseconds(250);
constexpr int kMaxTakeoverRanks = 4;
// Pause between two watches of the target list. It changes often, so its
// changes are read in batches. The users require that a draining target gets no
// new requests later than 3 s after it starts to drain; the pause must be short
// enough for this.
constexpr Duration kTargetListWatchPause = milliseconds(700);
// Pause between two watches of the operators' keys, which rarely change.
constexpr Duration kOperatorWatchPause = milliseconds(100);
// Maximum time that a watch waits for a change. A connection that has become
// silent is noticed after this time and the reader's margin; see the time
// bounds in DESIGN.md.
constexpr Duration kOperatorWatchTimeout = milliseconds(1500);
constexpr Duration kTargetListWatchTimeout = milliseconds(1000);
// A replica is stale this long after its last update (target list) or after a
// peer last verified it (operators' keys). A router with a stale replica reads
// the store even if another router of its zone should do so. A router that
// reads the store also copies a stale target list from a peer whose list is
// newer.
constexpr Duration kTargetListStaleAfter = milliseconds(2600);
constexpr Duration kOperatorStaleAfter = milliseconds(2200);
// A router that lacks a change of the operators' keys for this long reads the
// store itself, whatever its role.
constexpr Duration kMaxOperatorReplicaLag = milliseconds(1000);
constexpr Duration kOperatorPeerRequestInterval = milliseconds(100);
// A router that could not copy a newer target list from its peers for this long
// reads the store itself, whatever its role.
constexpr Duration kMaxTargetListLag = milliseconds(1000);
// Routes that are parsed in one turn of the event loop.
constexpr std::size_t kRoutesPerDecodingStep = 256;
// A router that has started is not ready before its copy of the operators' keys
// is known to have been current at most this long ago. It doesn't wait for that
// while the store fails, nor longer than the second time.
constexpr Duration kMaxOperatorReplicaAgeAtStart = milliseconds(1000);
constexpr Duration kMaxStartVerification = milliseconds(3000);
// Interval of the log lines of a router that lacks a change.
constexpr Duration kBehindLogInterval = seconds(1);
// A router that reads the store waits this long for its own watch to deliver a
// change of the operators' keys that a peer already has, before it copies from
// the peer.
constexpr Duration kPeerFetchDelay = milliseconds(150);
// Entries that expired during an outage of the store, or that a restored store
// lacks, are written again within about two seconds of its return.
constexpr Duration kOutageRemovalGrace = milliseconds(2200);
// Smallest increase of CLOCK_BOOTTIME over CLOCK_MONOTONIC that is treated as a
// suspension of the VM.
constexpr Duration kMinSuspension = milliseconds(700);
// Time for the last written responses to reach their callers before the process
// exits.
constexpr Duration kFlushTime = milliseconds(150);
// File descriptors reserved for files and internal sockets.
constexpr int kReservedDescriptors = 300;

Duration MonotonicNow() {
  timespec ts{};
  clock_gettime(CLOCK_MONOTONIC, &ts);
  return seconds(ts.tv_sec) + Duration(ts.tv_nsec / 1000);
}

// Part of the VM's memory that messages may take. The rest is for the program,
// its tables, and buffers while they grow.
constexpr double kMessageMemoryShare = 0.5;

// Connections of probes, operators and peers to each internal listener. A relay
// in the largest fleets has a few of these at a time.
constexpr std::size_t kMaxInternalConnections = 64;

// Largest body of a request to the readiness and control addresses.
constexpr std::size_t kMaxInternalBodyBytes = std::size_t{16} * 1024;

std::size_t MessageMemoryOf(const RouterSettings& settings) {
  return static_cast<std::size_t>(kMessageMemoryShare * settings.memory_mb *
                                  1024 * 1024);
}

std::string ReadFile(const std::string& path) {
  std::ifstream in(path);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

SchedulerOptions SchedulerOptionsOf(const RouterSettings& settings) {
  return {settings.zone,
          settings.region,
          settings.region_of_zone,
          settings.retry_budget,
          settings.region_link_bytes_per_second,
          settings.adaptive_placement};
}

// Returns the value of a query parameter, or an empty string if it is missing.
std::string QueryValue(std::string_view request_target, std::string_view name) {
  std::size_t pos = request_target.find('?');
  while (pos != std::string_view::npos) {
    const std::string_view rest = request_target.substr(pos + 1);
    const std::string_view pair = rest.substr(0, rest.find('&'));
    if (pair.starts_with(name) && pair.substr(name.size()).starts_with("=")) {
      return std::string(pair.substr(name.size() + 1));
    }
    const std::size_t next = rest.find('&');
    pos = next == std::string_view::npos ? next : pos + 1 + next;
  }
  return "";
}

// Returns 0 if `text` does not begin with an unsigned number.
std::uint64_t ParseNumber(std::string_view text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

std::vector<std::uint64_t> ParseNumbers(std::string_view list) {
  std::vector<std::uint64_t> numbers;
  while (!list.empty()) {
    const std::size_t comma = list.find(',');
    numbers.push_back(ParseNumber(list.substr(0, comma)));
    list.remove_prefix(comma == std::string_view::npos ? list.size()
                                                       : comma + 1);
  }
  return numbers;
}

}  // namespace

class Router::Impl {
 public:
  Impl(const RouterSettings& settings, std::string settings_path,
       std::string settings_text, const Deployment& deployment);
  void Run();

 private:
  // Handles callers' requests.
  class CallerRequestHandler final : public CallerHandler {
   public:
    explicit CallerRequestHandler(Impl& router) : router_(router) {}
    void OnRequest(const std::shared_ptr<CallerConnection>& caller,
                   ReceivedRequest request) override {
      auto exchange = std::make_shared<Exchange>(router_.plane_, caller,
                                                 std::move(request));
      router_.exchanges_[caller.get()] = exchange;
      exchange->Start();
      caller->SetRequestId(exchange->request_id());
    }
    void OnCallerDisconnected(CallerConnection& caller) override {
      if (const auto it = router_.exchanges_.find(&caller);
          it != router_.exchanges_.end()) {
        const std::shared_ptr<Exchange> exchange = it->second;
        exchange->HandleCallerDisconnected();
      }
    }
    void OnOutputFlushed(CallerConnection& caller) override {
      if (const auto it = router_.exchanges_.find(&caller);
          it != router_.exchanges_.end()) {
        it->second->HandleOutputFlushed();
      }
    }
    const CallerLimits& Limits() const override {
      return router_.plane_.configuration
                 ? router_.plane_.configuration->limits()
                 : default_limits_;
    }
    bool IsDraining() const override {
      return router_.plane_.drain.has_value();
    }
    MemoryBudget* Memory() override { return &router_.memory_; }
    void OnBadRequest(int status, const std::string& reason) override {
      router_.metrics_.IncrementCounter(
          "corianderpost_bad_requests_total",
          "status=\"" + std::to_string(status) + "\"");
      Log(LogLevel::kWarning, "bad request from a caller",
          {{"status", status}, {"reason", reason}});
    }
    void OnUnansweredClose(const UnansweredClose& close) override {
      router_.RecordUnansweredClose(close);
    }

   private:
    Impl& router_;
    const CallerLimits default_limits_;
  };

  // Handles requests of the load balancer, operators and peers.
  class InternalRequestHandler final : public CallerHandler {
   public:
    using Responder = std::function<TextReply(const HttpRequest&)>;
    InternalRequestHandler(Responder respond, MemoryBudget& memory)
        : respond_(std::move(respond)), memory_(memory) {}
    void OnRequest(const std::shared_ptr<CallerConnection>& caller,
                   ReceivedRequest request) override {
      const bool closes = caller->wants_close();
      const TextReply reply = respond_(request.message);
      caller->Write(FormatTextReply(reply, closes));
      caller->FinishResponse(closes);
    }
    void OnCallerDisconnected(CallerConnection& caller) override {
      static_cast<void>(caller);
    }
    void OnOutputFlushed(CallerConnection& caller) override {
      static_cast<void>(caller);
    }
    const CallerLimits& Limits() const override { return limits_; }
    bool IsDraining() const override { return false; }
    MemoryBudget* Memory() override { return &memory_; }
    void OnBadRequest(int status, const std::string& reason) override {
      Log(LogLevel::kWarning, "bad request to an internal port",
          {{"status", status}, {"reason", reason}});
    }

   private:
    Responder respond_;
    MemoryBudget& memory_;
    // These requests have no body.
    const CallerLimits limits_{.max_body_bytes = kMaxInternalBodyBytes};
  };

  // How a change of the store came about.
  struct ChangeOrigin {
    // The store was restored from an older copy, which differs in this from
    // what was known.
    bool is_restored = false;
    // How much longer a removal may be an effect of an outage of the store.
    Duration outage_effects{0};
  };
  // A configuration that waits to be decoded.
  struct WrittenConfiguration {
    std::string value;
    std::string key;
    std::uint64_t revision = 0;
    TimePoint received_at;
  };

  TextReply HandleReadiness();
  TextReply HandleControl(const HttpRequest& request);
  // Whether the router could serve if it is not saturated.
  bool CanServe() const;
  bool IsReady() const { return CanServe() && load_control_.is_in_rotation(); }
  void RecordUnansweredClose(const UnansweredClose& close);
  void SetMemoryMetrics();
  // Returns freed memory to the system if memory was short since the last call.
  void TrimMemory();

  void ScheduleTick();
  void Tick();
  void TickExchanges(TimePoint now);
  void TickReaders(TimePoint now);
  void TickOperatorReader(TimePoint now, bool reads_store,
                          Duration takeover_delay);
  void TickTargetListReader(TimePoint now, bool reads_store,
                            Duration takeover_delay);
  OperatorKeysState LocalOperatorKeys(TimePoint now) const;
  // Exports, and logs at intervals, for how long a change has been missing.
  void ReportLag(TimePoint now, const OperatorKeysState& keys,
                 Duration behind_for);
  void TickStreamDirectory(TimePoint now);
  // Returns the longest time after which callers may resume a stream.
  Duration MaxStreamAge() const;
  void TickDrain(TimePoint now);
  void CheckLoad(TimePoint now);
  void CheckSuspension(TimePoint now);
  void CheckSettings();
  // Logs what began or changed since the last call: ejected targets, rejected
  // requests and the share level.
  void LogEjections();
  void LogSummaries(TimePoint now);
  void LogCrashReports();
  // Logs which traits are blamed for crashes since the last call or no longer,
  // and cancels requests with them that targets have not begun to answer.
  void ApplyBlame(TimePoint now);
  // Returns the customer's name, or its id if it has none.
  std::string CustomerName(CustomerId id) const;
  void AwaitSignal();
  void BeginDrain();

  void ApplyChanges(const std::vector<StoreItem>& items,
                    Duration outage_effects);
  // A configuration is decoded over several turns of the event loop. Of those
  // that arrive meanwhile, the last one is decoded next.
  void QueueConfiguration(WrittenConfiguration written, ChangeOrigin origin);
  void StartDecoding();
  void ContinueDecoding();
  bool is_decoding() const { return decoding_ != nullptr; }
  void ApplyConfiguration(std::shared_ptr<const Configuration> configuration);
  void Apply(const ZoneChanged& change, ChangeOrigin origin);
  void Apply(const TargetListed& change, ChangeOrigin origin);
  void Apply(const TargetRemoved& change, ChangeOrigin origin);
  void Apply(const MalformedItem& change, ChangeOrigin origin);
  void Apply(const UnknownItem& change, ChangeOrigin origin);
  // Copies the evacuated zones to the scheduler if they have changed.
  void ApplyEvacuations();
  // Ends evacuations that were not written again after a restore, and what the
  // replicas retain.
  void SettleRestore(TimePoint now);

  // Adds to a report the revisions of both replicas of this router, and the age
  // of its replica of the operators' keys.
  void AddReplicaState(TimePoint now, PeerReport& report) const;
  // Returns the control address of the router at IPv4 address `ip`.
  std::string ControlAddressOf(const std::string& ip) const;

  // Before the event loop, whose handlers own charges.
  MemoryBudget memory_;
  std::uint64_t trimmed_at_count_ = 0;
  asio::io_context loop_{1};
  SystemClock clock_;
  RouterSettings settings_;
  const std::string settings_path_;
  std::string settings_text_;
  const Deployment& deployment_;
  internal::Metrics metrics_;
  Scheduler scheduler_;
  UpstreamPool pool_;
  EngineReport engine_report_;
  Fetcher fetcher_;
  DataPlane plane_;
  PeerMessenger messenger_;
  FleetStreamDirectory stream_directory_;
  TargetSurvey target_survey_;
  StoreReader operator_reader_;
  StoreReader target_list_reader_;
  std::unordered_map<CallerConnection*, std::shared_ptr<Exchange>> exchanges_;
  CallerRequestHandler caller_handler_;
  InternalRequestHandler readiness_handler_;
  InternalRequestHandler control_handler_;
  Listener caller_listener_;
  Listener readiness_listener_;
  Listener control_listener_;
  asio::steady_timer tick_timer_;
  asio::signal_set signals_;

  TimePoint tick_due_;
  LoadControl load_control_;
  TimePoint next_housekeeping_at_;
  TimePoint next_target_record_at_;
  TimePoint next_settings_check_at_;
  TimePoint next_summary_at_;
  TimePoint operator_replica_behind_since_;
  bool is_operator_replica_behind_ = false;
  // Since when a peer has a newer target list than this router.
  std::optional<TimePoint> target_list_behind_since_;
  // When the replica of the operators' keys was last known to be current.
  TimePoint operator_replica_verified_at_;
  TimePoint next_behind_log_at_;
  const TimePoint started_at_ = clock_.Now();
  // The operators' keys were current, as far as can be known, at some time
  // since the start.
  bool has_verified_operator_keys_ = false;
  std::optional<WrittenConfiguration> queued_configuration_;
  std::unique_ptr<ConfigurationDecoding> decoding_;
  // What is being decoded.
  struct DecodedConfiguration {
    std::size_t bytes = 0;
    std::uint64_t hash = 0;
    std::string key;
    std::uint64_t revision = 0;
    TimePoint received_at;
    TimePoint started_at;
  };
  DecodedConfiguration decoded_;
  // Store key of the configuration in force.
  std::string configuration_key_;
  // When the evacuation of zones ends that a restored store lacks, unless it is
  // written again before.
  std::map<std::string, TimePoint> evacuation_ends_;
  TimePoint last_open_request_at_;
  Duration total_suspended_{0};
  std::set<std::string> evacuated_zones_;
  // `evacuated_zones_` has changed since the scheduler got a copy.
  bool has_new_evacuations_ = false;
  // Since the last summary.
  std::uint64_t malformed_items_ = 0;
  std::vector<BlamedTrait> blamed_traits_;
};

Router::Impl::Impl(const RouterSettings& settings, std::string settings_path,
                   std::string settings_text, const Deployment& deployment)
    : memory_(MessageMemoryOf(settings)),
      settings_(settings),
      settings_path_(std::move(settings_path)),
      settings_text_(std::move(settings_text)),
      deployment_(deployment),
      scheduler_(SchedulerOptionsOf(settings)),
      pool_(loop_, clock_),
      fetcher_(pool_, deployment.dialect()),
      plane_{clock_, deployment.dialect(), scheduler_, pool_, metrics_},
      messenger_(loop_, clock_,
                 {settings.ip, settings.zone, settings.region,
                  settings.cpu_millicores, Duration(0)},
                 settings.peer_port, scheduler_, metrics_,
                 [this](TimePoint now, PeerReport& report) {
                   AddReplicaState(now, report);
                   report.sender.left_rotation =
                       CanServe() ? load_control_.left_rotation()
                                  : kOutForOtherReason;
                   report.version_uses = stream_directory_.ReportedUses(now);
                 }),
      stream_directory_(messenger_.peers().self(), clock_, messenger_, metrics_,
                        [this] { messenger_.ReportAtNextTick(); }),
      target_survey_(fetcher_, deployment, stream_directory_, metrics_),
      operator_reader_(
          {deployment.operator_prefix(), settings.store_address,
           kOperatorWatchPause, kOperatorWatchTimeout, /*logs_changes=*/true,
           kOperatorPeerRequestInterval},
          deployment.store_protocol(), fetcher_, clock_,
          [this](const std::vector<StoreItem>& items, Duration outage_effects) {
            ApplyChanges(items, outage_effects);
          }),
      target_list_reader_(
          {deployment.target_prefix(), settings.store_address,
           kTargetListWatchPause, kTargetListWatchTimeout},
          deployment.store_protocol(), fetcher_, clock_,
          [this](const std::vector<StoreItem>& items, Duration outage_effects) {
            ApplyChanges(items, outage_effects);
          }),
      caller_handler_(*this),
      readiness_handler_(
          [this](const HttpRequest&) { return HandleReadiness(); }, memory_),
      control_handler_(
          [this](const HttpRequest& request) { return HandleControl(request); },
          memory_),
      caller_listener_(loop_, settings.callers_address, caller_handler_,
                       clock_),
      readiness_listener_(loop_, settings.readiness_address, readiness_handler_,
                          clock_),
      control_listener_(loop_, settings.control_address, control_handler_,
                        clock_),
      tick_timer_(loop_),
      signals_(loop_, SIGTERM, SIGINT, SIGHUP),
      load_control_(plane_.processor_admission, caller_listener_,
                    messenger_.peers(), metrics_) {
  plane_.stream_directory = &stream_directory_;
  plane_.memory = &memory_;
  pool_.SetMemoryBudget(&memory_);
  messenger_.SetStreamDirectory(stream_directory_);
  plane_.on_crash = [this] { messenger_.ReportAtNextTick(); };
  plane_.on_target_leaving = [this] { messenger_.ReportAtNextTick(); };
  plane_.on_unreachable = [this](const std::string& id) {
    messenger_.ReportUnreachable(clock_.Now(), id);
  };
  scheduler_.SetSeed(static_cast<std::uint32_t>(clock_.WallMicros()));
  // Leaves two fifths of the unreserved descriptors for connections to targets.
  caller_listener_.SetMaxConnections(static_cast<std::size_t>(std::max(
      64, (settings_.max_descriptors - kReservedDescriptors) * 3 / 5)));
  for (Listener* it : {&readiness_listener_, &control_listener_}) {
    it->SetMaxConnections(kMaxInternalConnections);
  }
  total_suspended_ = clock_.Now().time_since_epoch() - MonotonicNow();
  for (const std::string& it : settings_.seeds) {
    messenger_.AddSeed(it.substr(0, it.find(':')));
  }
}

bool Router::Impl::CanServe() const {
  return plane_.configuration != nullptr && has_verified_operator_keys_ &&
         target_list_reader_.replica().is_loaded() && !plane_.drain;
}

TextReply Router::Impl::HandleReadiness() {
  const bool is_ready = IsReady();
  return {is_ready ? 200 : 503, "text/plain", is_ready ? "ready\n" : "wait\n"};
}

TextReply Router::Impl::HandleControl(const HttpRequest& request) {
  const std::string_view request_target = ToView(request.target());
  const std::string_view path = PathOf(request_target);
  if (path == "/metrics") {
    metrics_.SetGauge("corianderpost_open_requests",
                      static_cast<double>(exchanges_.size()));
    SetMemoryMetrics();
    SetEngineMetrics(scheduler_, pool_, metrics_);
    metrics_.SetGauge("corianderpost_callers",
                      static_cast<double>(caller_listener_.size()));
    metrics_.SetGauge("corianderpost_peers",
                      messenger_.peers().FleetSize(clock_.Now()) - 1);
    const ShareState share = scheduler_.CurrentShareState(clock_.Now());
    metrics_.SetGauge("corianderpost_capacity_units_per_second",
                      share.capacity);
    metrics_.SetGauge("corianderpost_configured_capacity_units_per_second",
                      share.configured_capacity);
    metrics_.SetGauge("corianderpost_share_level_units_per_second",
                      share.level);
    double output_tokens_left = 0;
    for (const auto& [id, it] : scheduler_.targets().LocalLoad(clock_.Now())) {
      output_tokens_left += it.output_tokens_left;
    }
    metrics_.SetGauge("corianderpost_output_tokens_left", output_tokens_left);
    metrics_.SetGauge("corianderpost_store_era",
                      static_cast<double>(operator_reader_.replica().era()));
    metrics_.SetGauge("corianderpost_store_restores",
                      static_cast<double>(operator_reader_.restore_count()));
    metrics_.SetGauge(
        "corianderpost_retained_items",
        static_cast<double>(operator_reader_.replica().retained().size() +
                            target_list_reader_.replica().retained().size()));
    metrics_.SetGauge("corianderpost_configuration_version",
                      plane_.configuration
                          ? static_cast<double>(plane_.configuration->version())
                          : 0.0);
    return {200, "text/plain; version=0.0.4", metrics_.ToText()};
  }
  if (path == "/mirror") {
    // Peers request one of two prefixes; any other is treated as the target
    // list's.
    const std::string prefix = QueryValue(request_target, "prefix");
    const StoreReader& reader = prefix == deployment_.operator_prefix()
                                    ? operator_reader_
                                    : target_list_reader_;
    const StorePosition after = {
        ParseNumber(QueryValue(request_target, "era")),
        ParseNumber(QueryValue(request_target, "after"))};
    if (QueryValue(request_target, "format") == "binary") {
      return {
          200, "application/msgpack",
          EncodeReplicaBatch(reader.replica(), after,
                             ParseNumbers(QueryValue(request_target, "bases")),
                             reader.OutageEffects(clock_.Now()))};
    }
    return {200, "application/json",
            deployment_.store_protocol().EncodeBatch(
                reader.replica().ChangesSince(after.revision))};
  }
  return {404, "text/plain", "not found\n"};
}

void Router::Impl::TrimMemory() {
  const std::uint64_t count = memory_.evicted_count() + memory_.refused_count();
  if (count != trimmed_at_count_) {
    trimmed_at_count_ = count;
    // The allocator keeps the pages of the many small blocks that were freed.
    malloc_trim(0);
  }
}

void Router::Impl::SetMemoryMetrics() {
  metrics_.SetGauge("corianderpost_message_bytes",
                    static_cast<double>(memory_.used()));
  metrics_.SetGauge("corianderpost_message_bytes_peak",
                    static_cast<double>(memory_.peak()));
  metrics_.SetGauge("corianderpost_message_bytes_limit",
                    static_cast<double>(memory_.limit()));
  metrics_.SetGauge("corianderpost_messages_without_memory",
                    static_cast<double>(memory_.refused_count()));
  metrics_.SetGauge("corianderpost_messages_reclaimed",
                    static_cast<double>(memory_.reclaimed_count()));
  metrics_.SetGauge("corianderpost_clients_evicted",
                    static_cast<double>(memory_.evicted_count()));
  metrics_.SetGauge("corianderpost_exceptions",
                    static_cast<double>(internal::LoggedExceptions()));
}

void Router::Impl::RecordUnansweredClose(const UnansweredClose& close) {
  metrics_.IncrementCounter("corianderpost_unanswered_closes_total",
                            "reason=\"" + std::string(ToString(close.reason)) +
                                "\",stage=\"" +
                                std::string(ToString(close.stage)) + "\"");
  // A caller that leaves during the response has a line in `request ended`.
  if (close.reason == CloseReason::kCallerClosed &&
      close.stage == RequestStage::kResponding) {
    return;
  }
  Log(LogLevel::kWarning, "connection closed with an unanswered request",
      {{"request",
        close.header != nullptr
            ? deployment_.dialect().DecodeRequest(*close.header).request_id
            : std::string(close.request_id)},
       {"reason", ToString(close.reason)},
       {"stage", ToString(close.stage)},
       {"unwritten_bytes", close.unwritten_bytes},
       {"age_ms",
        std::chrono::duration_cast<milliseconds>(close.age).count()}});
}

void Router::Impl::Run() {
  Log(LogLevel::kInfo, "router started",
      {{"vm", settings_.vm},
       {"zone", settings_.zone},
       {"callers", settings_.callers_address},
       {"seeds", settings_.seeds}});
  AwaitSignal();
  internal::UnblockHandledSignals();
  messenger_.Start();
  ScheduleTick();
  Tick();
  // An exception ends the handler that threw it, not the requests of others.
  for (bool has_ended = false; !has_ended;) {
    try {
      loop_.run();
      has_ended = true;
    } catch (const std::exception& ex) {
      internal::LogException("event loop", ex);
    }
  }
  caller_listener_.CloseForExit();
  Log(LogLevel::kInfo, "router stopped", {{"vm", settings_.vm}});
}

void Router::Impl::AwaitSignal() {
  signals_.async_wait([this](boost::system::error_code ec, int signal) {
    if (ec) {
      return;
    }
    // First, so that an exception below does not end the handling of signals.
    AwaitSignal();
    if (signal == SIGHUP) {
      Log(LogLevel::kInfo, "SIGHUP received; checking settings for changes");
      CheckSettings();
    } else {
      BeginDrain();
    }
  });
}

void Router::Impl::BeginDrain() {
  if (plane_.drain) {
    return;
  }
  plane_.drain.emplace(clock_.Now(), settings_.shutdown_grace);
  messenger_.ReportAtNextTick();
  Log(LogLevel::kInfo, "router is draining",
      {{"open_requests", exchanges_.size()},
       {"callers", caller_listener_.size()}});
}

void Router::Impl::CheckSettings() {
  std::string text = ReadFile(settings_path_);
  // The text is empty if the file can't be read.
  if (text == settings_text_ || text.empty()) {
    return;
  }
  settings_text_ = text;
  try {
    RouterSettings settings =
        RouterSettings::FromYaml(CheckedYaml::FromText(text, settings_path_));
    // The listen addresses, the peer port, the limit on connections and this
    // router's description in peer reports change only with a restart.
    for (const std::string& it : settings.seeds) {
      messenger_.AddSeed(it.substr(0, it.find(':')));
    }
    scheduler_.SetOptions(SchedulerOptionsOf(settings));
    operator_reader_.SetAddress(settings.store_address);
    target_list_reader_.SetAddress(settings.store_address);
    memory_.SetLimit(MessageMemoryOf(settings));
    settings_ = std::move(settings);
    Log(LogLevel::kInfo, "settings reloaded");
  } catch (const YamlError& ex) {
    Log(LogLevel::kError, "invalid settings; previous settings stay in use",
        {{"reason", ex.what()}});
  }
}

void Router::Impl::CheckLoad(TimePoint now) {
  const Duration lag = now - tick_due_;
  if (lag >= kMaxOnTimeLag) {
    for (const auto& [caller, exchange] : exchanges_) {
      exchange->ExcuseLag(now, lag);
    }
    pool_.ExcuseLag(lag);
    fetcher_.ExcuseLag(lag);
  }
  if (load_control_.RecordTick(now, lag, exchanges_.size())) {
    messenger_.ReportAtNextTick();
  }
  scheduler_.SetEventLoopLagging(load_control_.has_unreliable_timing());
}

void Router::Impl::ScheduleTick() {
  tick_due_ = clock_.Now() + kTickInterval;
  tick_timer_.expires_after(kTickInterval);
  tick_timer_.async_wait([this](boost::system::error_code ec) {
    if (!ec) {
      CheckLoad(clock_.Now());
      ScheduleTick();
      Tick();
    }
  });
}

void Router::Impl::CheckSuspension(TimePoint now) {
  const Duration total_suspended = now.time_since_epoch() - MonotonicNow();
  if (total_suspended - total_suspended_ >= kMinSuspension) {
    Log(LogLevel::kWarning, "VM was suspended",
        {{"for_ms", std::chrono::duration_cast<milliseconds>(total_suspended -
                                                             total_suspended_)
                        .count()}});
    pool_.CloseIdle();
    operator_reader_.Restart();
    target_list_reader_.Restart();
  }
  total_suspended_ = total_suspended;
}

void Router::Impl::Tick() {
  const TimePoint now = clock_.Now();
  CheckSuspension(now);
  ApplyBlame(now);
  TickExchanges(now);
  fetcher_.Tick(now);
  TickReaders(now);
  // Before the messenger, so that a report on a new version is sent at once.
  TickStreamDirectory(now);
  messenger_.Tick(now);
  if (now >= next_housekeeping_at_) {
    next_housekeeping_at_ = now + kHousekeepingInterval;
    pool_.Tick();
    caller_listener_.Tick(now);
    readiness_listener_.Tick(now);
    control_listener_.Tick(now);
    TrimMemory();
    scheduler_.targets().Expire(now);
    scheduler_.suspects().Expire(now);
    messenger_.Expire(now);
  }
  LogEjections();
  if (now >= next_summary_at_) {
    next_summary_at_ = now + kSummaryInterval;
    LogSummaries(now);
  }
  if (now >= next_settings_check_at_) {
    next_settings_check_at_ = now + kSettingsCheckInterval;
    CheckSettings();
  }
  if (plane_.drain) {
    TickDrain(now);
  }
}

void Router::Impl::LogEjections() {
  for (const Ejection& it : scheduler_.targets().TakeEjections()) {
    metrics_.IncrementCounter(
        "corianderpost_ejections_total",
        "cause=\"" + std::string(ToString(it.cause)) + "\"");
    Log(LogLevel::kWarning, "target ejected",
        {{"target", it.target_id},
         {"cause", ToString(it.cause)},
         {"for_ms", it.duration.count() / 1000},
         {"local_ended", it.local_ended},
         {"local_failed", it.local_failed},
         {"peer_ended", it.peer_ended},
         {"peer_failed", it.peer_failed}});
  }
}

void Router::Impl::LogSummaries(TimePoint now) {
  const RejectionTally::Counts counts = plane_.rejections.Take();
  std::uint64_t total = 0;
  std::vector<std::pair<std::uint64_t, const RejectionTally::Key*>> ranked;
  for (const auto& [key, count] : counts) {
    total += count;
    ranked.emplace_back(count, &key);
    metrics_.IncrementCounter(
        "corianderpost_customer_rejections_total",
        "customer=\"" + key.customer + "\",reason=\"" + key.reason + "\"",
        count);
  }
  if (total > 0) {
    const std::size_t n = std::min(ranked.size(), kMaxCustomersPerLine);
    std::partial_sort(
        ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(n),
        ranked.end(),
        [](const auto& a, const auto& b) { return a.first > b.first; });
    nlohmann::json largest = nlohmann::json::array();
    for (std::size_t i = 0; i < n; ++i) {
      largest.push_back({{"customer", ranked[i].second->customer},
                         {"reason", ranked[i].second->reason},
                         {"count", ranked[i].first}});
    }
    Log(LogLevel::kInfo, "requests rejected since the last line",
        {{"total", total}, {"largest", std::move(largest)}});
  }
  if (malformed_items_ > kMaxMalformedItemLines) {
    Log(LogLevel::kWarning, "malformed store items since the last line",
        {{"total", malformed_items_}});
  }
  malformed_items_ = 0;
  LogCrashReports();
  engine_report_.LogChanges(scheduler_);
  const std::size_t accepts = caller_listener_.TakeMaxAcceptsPerTurn();
  const ShareState share = scheduler_.CurrentShareState(now);
  if (share.level > 0) {
    Log(LogLevel::kInfo, "demand exceeds the capacity",
        {{"share_level", static_cast<std::int64_t>(share.level)},
         {"capacity", static_cast<std::int64_t>(share.capacity)},
         {"configured_capacity",
          static_cast<std::int64_t>(share.configured_capacity)},
         {"capacity_limit", ToString(share.capacity_limit)},
         {"demand", static_cast<std::int64_t>(share.demand)},
         {"admitted", static_cast<std::int64_t>(share.admitted)},
         {"customers", share.customers},
         {"customers_above_level", share.customers_above_level},
         {"usable_engines", share.usable_engines},
         {"peak_engines", share.peak_engines},
         {"max_accepts_per_turn", accepts},
         {"shares", DescribeShares(now, scheduler_.fair_share(),
                                   *plane_.configuration, counts)}});
  }
}

void Router::Impl::ApplyBlame(TimePoint now) {
  scheduler_.ConfirmCrashes(now);
  const std::vector<BlamedTrait>& blamed = scheduler_.suspects().Blamed();
  if (blamed == blamed_traits_) {
    return;
  }
  const auto contains = [](const std::vector<BlamedTrait>& list,
                           const BlamedTrait& blamed_trait) {
    return std::any_of(list.begin(), list.end(), [&](const BlamedTrait& it) {
      return it.trait == blamed_trait.trait &&
             it.companions == blamed_trait.companions &&
             it.customer == blamed_trait.customer;
    });
  };
  for (const BlamedTrait& it : blamed) {
    if (contains(blamed_traits_, it)) {
      continue;
    }
    nlohmann::json companions = nlohmann::json::array();
    for (const RequestTrait& companion : it.companions) {
      companions.push_back(ToString(companion));
    }
    Log(LogLevel::kWarning, "trait is blamed for crashes; rejecting requests",
        {{"trait", ToString(it.trait)},
         {"companions", std::move(companions)},
         {"customer", it.customer ? CustomerName(*it.customer) : ""},
         {"crashes", it.crash_ids}});
  }
  for (const BlamedTrait& it : blamed_traits_) {
    if (!contains(blamed, it)) {
      Log(LogLevel::kInfo, "trait is no longer blamed for crashes",
          {{"trait", ToString(it.trait)}});
    }
  }
  blamed_traits_ = blamed;
  metrics_.SetGauge("corianderpost_blamed_traits",
                    static_cast<double>(blamed_traits_.size()));
  for (const auto& [caller, exchange] : exchanges_) {
    exchange->CancelIfBlamed(now);
  }
  messenger_.ReportAtNextTick();
}

std::string Router::Impl::CustomerName(CustomerId id) const {
  if (plane_.configuration) {
    for (const CustomerProfile& it : plane_.configuration->customers()) {
      if (it.id == id) {
        return it.name;
      }
    }
  }
  return std::to_string(id.value());
}

void Router::Impl::LogCrashReports() {
  const CrashReportCounts counts = scheduler_.suspects().TakeCounts();
  if (counts == CrashReportCounts{}) {
    return;
  }
  const auto count = [this](const char* result, std::uint64_t n) {
    metrics_.IncrementCounter("corianderpost_crash_reports_total",
                              "result=\"" + std::string(result) + "\"", n);
  };
  count("recorded", counts.recorded);
  count("refuted", counts.refuted);
  count("dropped", counts.dropped);
  count("left_out", counts.left_out);
  Log(LogLevel::kInfo, "crash reports since the last line",
      {{"recorded", counts.recorded},
       {"refuted", counts.refuted},
       {"dropped", counts.dropped},
       {"left_out", counts.left_out}});
}

void Router::Impl::TickExchanges(TimePoint now) {
  for (auto it = exchanges_.begin(); it != exchanges_.end();) {
    const std::shared_ptr<Exchange> exchange = it->second;
    exchange->Tick(now);
    it = exchange->is_done() ? exchanges_.erase(it) : std::next(it);
  }
}

void Router::Impl::TickDrain(TimePoint now) {
  const DrainSchedule& drain = *plane_.drain;
  if (drain.HasLeftRotation(now)) {
    caller_listener_.CloseIdle();
  }
  if (now >= drain.abort_at()) {
    caller_listener_.RejectUnfinished("this router is stopping");
  }
  if (!exchanges_.empty() && now >= drain.abort_at()) {
    Log(LogLevel::kInfo, "aborting open requests before the exit",
        {{"open_requests", exchanges_.size()}});
    for (auto& [caller, exchange] : exchanges_) {
      exchange->AbortForShutdown();
    }
  }
  const bool has_left = drain.HasLeftRotation(now);
  if (!exchanges_.empty() || (has_left && caller_listener_.HasOpenRequests())) {
    last_open_request_at_ = now;
  }
  if (now >= drain.exit_at()) {
    loop_.stop();
  } else if (has_left && now - last_open_request_at_ >= kFlushTime) {
    caller_listener_.AcceptAll();
    if (caller_listener_.HasOpenRequests()) {
      last_open_request_at_ = now;
    } else {
      loop_.stop();
    }
  }
}

void Router::Impl::TickStreamDirectory(TimePoint now) {
  if (now >= next_target_record_at_) {
    next_target_record_at_ = now + kTargetRecordInterval;
    for (const auto& [id, target] : scheduler_.targets().targets()) {
      stream_directory_.RecordTarget(now, target.entry);
    }
    stream_directory_.SetMaxStreamAge(MaxStreamAge());
  }
  stream_directory_.NoticeDelay(now);
  if (target_list_reader_.replica().is_loaded()) {
    const StoreReader::Confirmation& confirmation =
        target_list_reader_.confirmation();
    stream_directory_.ConfirmList(confirmation.called_at,
                                  confirmation.applied_at);
    scheduler_.targets().ConfirmList(confirmation.called_at);
  }
  stream_directory_.Tick(now);
  if (target_list_reader_.replica().is_loaded() &&
      plane_.configuration != nullptr) {
    target_survey_.Tick(now, *plane_.configuration, scheduler_.targets());
  }
}

Duration Router::Impl::MaxStreamAge() const {
  if (plane_.configuration == nullptr) {
    return kStreamRetention;
  }
  Duration max_age{0};
  for (const auto& route : plane_.configuration->routes()) {
    if (route->kind != RequestKind::kStreaming || !route->is_resumable) {
      continue;
    }
    const auto caller_timeout =
        plane_.max_caller_timeout_by_route.find(route->name);
    max_age = std::max(
        {max_age,
         route->timeout > Duration(0) ? route->timeout : kStreamRetention,
         caller_timeout == plane_.max_caller_timeout_by_route.end()
             ? Duration(0)
             : caller_timeout->second});
  }
  return max_age;
}

void Router::Impl::TickReaders(TimePoint now) {
  const PeerTable& peers = messenger_.peers();
  const int rank = peers.UsesRelays(now) ? peers.LocalRelayRank(now) : 0;
  const bool reads_store = rank < kRoutersReadingStorePerZone;
  const Duration takeover_delay =
      kTakeoverDelayPerRank *
      std::clamp(rank - kRoutersReadingStorePerZone, 0, kMaxTakeoverRanks);
  TickOperatorReader(now, reads_store, takeover_delay);
  TickTargetListReader(now, reads_store, takeover_delay);
  SettleRestore(now);
  plane_.target_list_read_at = target_list_reader_.updated_at();
}

void Router::Impl::TickTargetListReader(TimePoint now, bool reads_store,
                                        Duration takeover_delay) {
  const bool is_target_list_stale =
      target_list_reader_.is_failing() ||
      !target_list_reader_.replica().is_loaded() ||
      now - target_list_reader_.updated_at() >
          kTargetListStaleAfter + takeover_delay;
  std::vector<std::string> sources = messenger_.peers().TargetListSources(
      now, target_list_reader_.replica().position());
  if (sources.empty()) {
    target_list_behind_since_.reset();
  } else if (!target_list_behind_since_) {
    target_list_behind_since_ = now;
  }
  // Peers go on to newer positions, so each update counts as catching up.
  const Duration behind_for =
      target_list_behind_since_
          ? now - std::max(*target_list_behind_since_,
                           target_list_reader_.updated_at())
          : Duration(0);
  metrics_.SetGauge("corianderpost_target_list_behind_seconds",
                    std::chrono::duration<double>(behind_for).count());
  if (reads_store && !is_target_list_stale) {
    sources.clear();
  }
  for (std::string& it : sources) {
    it = ControlAddressOf(it);
  }
  target_list_reader_.Tick(
      now, sources,
      reads_store || is_target_list_stale || behind_for > kMaxTargetListLag);
}

OperatorKeysState Router::Impl::LocalOperatorKeys(TimePoint now) const {
  const StoreReplica& replica = operator_reader_.replica();
  OperatorKeysState keys = messenger_.peers().OperatorKeysStateAt(
      now, {replica.era(), replica.content_revision()});
  if (plane_.configuration) {
    keys.configuration_version = plane_.configuration->version();
  }
  return keys;
}

void Router::Impl::TickOperatorReader(TimePoint now, bool reads_store,
                                      Duration takeover_delay) {
  const PeerTable& peers = messenger_.peers();
  const StoreReplica& replica = operator_reader_.replica();
  OperatorKeysState keys = LocalOperatorKeys(now);
  if (is_decoding()) {
    // The version that is being decoded may be that of the peers.
    keys.configuration_version = std::numeric_limits<std::uint64_t>::max();
  }
  std::vector<std::string> sources =
      peers.OperatorKeySources(now, keys, replica.revision());
  if (sources.empty()) {
    is_operator_replica_behind_ = false;
  } else if (!is_operator_replica_behind_) {
    is_operator_replica_behind_ = true;
    operator_replica_behind_since_ = now;
  }
  const Duration behind_for = is_operator_replica_behind_
                                  ? now - operator_replica_behind_since_
                                  : Duration(0);
  ReportLag(now, keys, behind_for);
  if (reads_store && behind_for < kPeerFetchDelay && replica.is_loaded()) {
    // This router's own watch usually delivers the change in time.
    sources.clear();
  }
  for (std::string& it : sources) {
    it = ControlAddressOf(it);
  }
  // A newer change does not undo that the replica was current before.
  operator_replica_verified_at_ = std::max(
      {operator_replica_verified_at_, operator_reader_.store_verified_at(),
       peers.OperatorReplicaVerifiedAt(now, keys, replica.revision())});
  const TimePoint verified_at = operator_replica_verified_at_;
  if (!has_verified_operator_keys_ && plane_.configuration != nullptr) {
    has_verified_operator_keys_ =
        now - started_at_ > kMaxStartVerification ||
        (!is_operator_replica_behind_ && !is_decoding() &&
         (operator_reader_.is_failing() ||
          now - verified_at <= kMaxOperatorReplicaAgeAtStart));
  }
  operator_reader_.Tick(
      now, sources,
      reads_store || behind_for > kMaxOperatorReplicaLag ||
          now - verified_at > kOperatorStaleAfter + takeover_delay);
}

void Router::Impl::ReportLag(TimePoint now, const OperatorKeysState& keys,
                             Duration behind_for) {
  metrics_.SetGauge("corianderpost_operator_keys_behind_seconds",
                    std::chrono::duration<double>(behind_for).count());
  if (behind_for < kBehindLogInterval || now < next_behind_log_at_) {
    return;
  }
  next_behind_log_at_ = now + kBehindLogInterval;
  Log(LogLevel::kWarning, "a change of the operators' keys is missing",
      {{"era", keys.content.era},
       {"revision", keys.content.revision},
       {"newest_era", keys.newest.era},
       {"newest_revision", keys.newest.revision},
       {"behind_ms",
        std::chrono::duration_cast<milliseconds>(behind_for).count()},
       {"version",
        plane_.configuration ? plane_.configuration->version() : 0}});
}

std::string Router::Impl::ControlAddressOf(const std::string& ip) const {
  // All routers use the same control port.
  return ip +
         settings_.control_address.substr(settings_.control_address.find(':'));
}

void Router::Impl::AddReplicaState(TimePoint now, PeerReport& report) const {
  const StoreReplica& replica = operator_reader_.replica();
  report.operator_revision = replica.revision();
  report.target_list_revision = target_list_reader_.replica().revision();
  report.target_list_era = target_list_reader_.replica().era();
  report.operator_keys = LocalOperatorKeys(now);
  report.operator_replica_age = now - operator_replica_verified_at_;
}

void Router::Impl::ApplyChanges(const std::vector<StoreItem>& items,
                                Duration outage_effects) {
  const TimePoint now = clock_.Now();
  for (const StoreItem& it : items) {
    const bool is_operator_key =
        it.key.starts_with(deployment_.operator_prefix());
    if (is_operator_key) {
      messenger_.RecordOperatorChange(
          now, {operator_reader_.replica().era(), it.revision});
    }
    const ChangeOrigin origin = {
        it.is_restored, it.is_restored ? kOutageRemovalGrace : outage_effects};
    FleetChange change = deployment_.DecodeChange(it);
    if (!it.is_restored &&
        !std::holds_alternative<ConfigurationWritten>(change)) {
      (is_operator_key ? operator_reader_ : target_list_reader_)
          .Release(it.key);
    }
    std::visit(
        [&](auto& decoded) {
          using Change = std::decay_t<decltype(decoded)>;
          if constexpr (std::is_same_v<Change, ConfigurationWritten>) {
            QueueConfiguration(
                {std::move(decoded.value), it.key, it.revision, now}, origin);
          } else {
            Apply(decoded, origin);
          }
        },
        change);
  }
  ApplyEvacuations();
}

void Router::Impl::QueueConfiguration(WrittenConfiguration written,
                                      ChangeOrigin origin) {
  // Versions in between are not needed. One of an older copy does not replace
  // another.
  if (!origin.is_restored || !queued_configuration_) {
    queued_configuration_ = std::move(written);
  }
  if (!is_decoding()) {
    StartDecoding();
  }
}

void Router::Impl::StartDecoding() {
  decoded_ = {queued_configuration_->value.size(),
              HashOfValue(queued_configuration_->value),
              queued_configuration_->key,
              queued_configuration_->revision,
              queued_configuration_->received_at,
              clock_.Now()};
  decoding_ = deployment_.StartDecoding(std::move(queued_configuration_->value),
                                        plane_.configuration);
  queued_configuration_.reset();
  ContinueDecoding();
}

void Router::Impl::ContinueDecoding() {
  // Each step has a turn of the event loop of its own.
  asio::post(loop_, [this] {
    auto result = decoding_->Step(kRoutesPerDecodingStep);
    if (!result) {
      ContinueDecoding();
      return;
    }
    decoding_.reset();
    if (result->ok()) {
      ApplyConfiguration(**std::move(result));
    } else {
      Apply(
          MalformedItem{decoded_.key, std::string(result->status().message())},
          ChangeOrigin());
    }
    if (queued_configuration_) {
      StartDecoding();
    }
  });
}

void Router::Impl::ApplyConfiguration(
    std::shared_ptr<const Configuration> configuration) {
  const TimePoint now = clock_.Now();
  const auto to_ms = [](Duration duration) {
    return std::chrono::duration_cast<milliseconds>(duration).count();
  };
  Log(LogLevel::kInfo, "configuration decoded",
      {{"version", configuration->version()},
       {"revision", decoded_.revision},
       {"bytes", decoded_.bytes},
       {"waited_ms", to_ms(decoded_.started_at - decoded_.received_at)},
       {"decode_ms", to_ms(now - decoded_.started_at)}});
  if (plane_.configuration &&
      configuration->version() < plane_.configuration->version()) {
    Log(LogLevel::kWarning, "older configuration ignored",
        {{"version", configuration->version()},
         {"in_force", plane_.configuration->version()}});
    return;
  }
  plane_.configuration = std::move(configuration);
  scheduler_.SetConfiguration(plane_.configuration);
  messenger_.ReportAtNextTick();
  configuration_key_ = decoded_.key;
  const auto& items = operator_reader_.replica().items();
  if (const auto it = items.find(decoded_.key);
      it != items.end() && HashOfValue(it->second.value) == decoded_.hash) {
    // The store has the version in force.
    operator_reader_.Release(decoded_.key);
  }
  const OperatorKeysState keys = LocalOperatorKeys(now);
  const Duration delay = keys.newest.revision == decoded_.revision
                             ? keys.newest_age
                             : now - decoded_.received_at;
  metrics_.Observe("corianderpost_configuration_delay_seconds", delay);
  Log(LogLevel::kInfo, "configuration applied",
      {{"version", plane_.configuration->version()},
       {"revision", decoded_.revision},
       {"routes", plane_.configuration->routes().size()},
       {"customers", plane_.configuration->customers().size()},
       {"delay_ms", to_ms(delay)}});
}

void Router::Impl::Apply(const ZoneChanged& change, ChangeOrigin origin) {
  if (!change.is_evacuated && origin.is_restored) {
    // The operators may have evacuated the zone after the copy was made.
    evacuation_ends_.try_emplace(change.zone,
                                 clock_.Now() + kOutageRemovalGrace);
    return;
  }
  evacuation_ends_.erase(change.zone);
  if (evacuated_zones_.contains(change.zone) == change.is_evacuated) {
    return;
  }
  has_new_evacuations_ = true;
  if (change.is_evacuated) {
    evacuated_zones_.insert(change.zone);
  } else {
    evacuated_zones_.erase(change.zone);
    // Targets may have become cold during the evacuation, and their list
    // entries may not show it yet.
    for (auto& [id, target] : scheduler_.targets().targets()) {
      if (target.entry.zone == change.zone) {
        target.may_be_cold = true;
        target.may_be_cold_since = clock_.Now();
      }
    }
  }
  Log(LogLevel::kInfo,
      change.is_evacuated ? "zone evacuated" : "zone back in rotation",
      {{"zone", change.zone}, {"restored", origin.is_restored}});
}

void Router::Impl::SettleRestore(TimePoint now) {
  operator_reader_.ReleaseSettled(now, configuration_key_);
  target_list_reader_.ReleaseSettled(now, "");
  for (auto it = evacuation_ends_.begin(); it != evacuation_ends_.end();) {
    if (now < it->second) {
      ++it;
      continue;
    }
    const std::string zone = it->first;
    it = evacuation_ends_.erase(it);
    Apply(ZoneChanged{zone, false}, ChangeOrigin());
  }
  ApplyEvacuations();
}

void Router::Impl::ApplyEvacuations() {
  if (std::exchange(has_new_evacuations_, false)) {
    scheduler_.targets().SetEvacuatedZones(evacuated_zones_);
  }
}

void Router::Impl::Apply(const TargetListed& change, ChangeOrigin origin) {
  const TargetEntry& entry = change.entry;
  const TimePoint now = clock_.Now();
  TargetTable& targets = scheduler_.targets();
  if (origin.is_restored ? targets.ApplyRestoredEntry(now, entry)
                         : targets.ApplyEntry(now, entry)) {
    Log(LogLevel::kInfo, "target added or updated",
        {{"target", entry.id},
         {"service", entry.service},
         {"address", entry.address},
         {"zone", entry.zone},
         {"version", entry.version},
         {"draining", entry.is_draining},
         {"cold_ms", entry.cold_remaining.count() / 1000},
         {"incarnation", entry.incarnation},
         {"restored", origin.is_restored}});
    stream_directory_.RecordTarget(now, entry);
  }
}

void Router::Impl::Apply(const TargetRemoved& change, ChangeOrigin origin) {
  if (scheduler_.targets().Find(change.id) == nullptr) {
    return;
  }
  scheduler_.targets().ApplyRemoval(clock_.Now(), change.id,
                                    origin.outage_effects);
  Log(LogLevel::kInfo, "target removed",
      {{"target", change.id},
       {"after_outage", origin.outage_effects > Duration(0)}});
}

void Router::Impl::Apply(const MalformedItem& change, ChangeOrigin origin) {
  metrics_.IncrementCounter("corianderpost_malformed_store_items_total", "");
  if (++malformed_items_ <= kMaxMalformedItemLines) {
    Log(LogLevel::kWarning, "malformed store item",
        {{"key", change.key}, {"reason", change.reason}});
  }
  // A target whose list entry is malformed must no longer be used.
  const std::string prefix = deployment_.target_prefix();
  if (change.key.starts_with(prefix)) {
    scheduler_.targets().ApplyRemoval(
        clock_.Now(), change.key.substr(prefix.size()),
        origin.is_restored ? origin.outage_effects : Duration(0));
  }
}

void Router::Impl::Apply(const UnknownItem& change, ChangeOrigin origin) {
  static_cast<void>(origin);
  Log(LogLevel::kDebug, "unknown store item ignored", {{"key", change.key}});
}

Router::Router(const RouterSettings& settings, std::string settings_path,
               std::string settings_text, const Deployment& deployment)
    : impl_(std::make_unique<Impl>(settings, std::move(settings_path),
                                   std::move(settings_text), deployment)) {}

Router::~Router() = default;

void Router::Run() { impl_->Run(); }

}  // namespace corianderpost
