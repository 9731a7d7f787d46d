#include "decisions/simulated_engines.h"

#include <algorithm>
#include <cmath>
#include <sstream>
#include <unordered_map>
#include <utility>

#include "decisions/prompt_homes.h"

namespace corianderpost {
namespace {

constexpr double kWarmUpSeconds = 3.0;
constexpr double kReuseWindowSeconds = 5.0;
constexpr double kReportSeconds = 0.1;
// Reports that are this many intervals old are applied.
constexpr std::size_t kReportDelay = 2;
constexpr int kPrefillChunkTokens = 2048;
// Tokens in each event of a stream.
constexpr int kEventTokens = 5;
// Part of the interval between slow periods by which those of successive
// engines are apart (the golden ratio spreads them evenly).
constexpr double kSlowPeriodOffset = 0.618;
// Work of an engine before a request's first step.
constexpr double kSetupSeconds = 0.025;
constexpr double kNetworkSeconds = 0.002;
constexpr double kRegionSeconds = 0.060;

const TimePoint kStart(std::chrono::seconds(1000));

TimePoint At(double seconds) {
  return kStart + Duration(static_cast<std::int64_t>(seconds * 1e6));
}

struct Call {
  ScheduledRequest request;
  std::size_t kind = 0;
  std::size_t customer = 0;
  std::size_t router = 0;
  double first_arrived_at = 0;
  double arrived_at = 0;
  Assignment assignment;
  double prefill_tokens_left = 0;
  int output_tokens_left = 0;
  int output_tokens = 0;
  bool has_started = false;
  bool is_counted = false;
};

// The prompt parts that one engine keeps.
class PartCache {
 public:
  explicit PartCache(double capacity) : capacity_(capacity) {}
  bool Use(std::uint64_t chain) {
    const auto it = entries_.find(chain);
    if (it == entries_.end()) {
      return false;
    }
    order_.splice(order_.end(), order_, it->second);
    return true;
  }
  void Insert(std::uint64_t chain, double tokens) {
    order_.emplace_back(chain, tokens);
    entries_[chain] = std::prev(order_.end());
    used_ += tokens;
    for (; used_ > capacity_; order_.pop_front()) {
      used_ -= order_.front().second;
      entries_.erase(order_.front().first);
    }
  }

 private:
  const double capacity_;
  double used_ = 0;
  std::list<std::pair<std::uint64_t, double>> order_;
  std::unordered_map<std::uint64_t,
                     std::list<std::pair<std::uint64_t, double>>::iterator>
      entries_;
};

struct Engine {
  explicit Engine(const SimulatedEngineOptions& options)
      : cache(options.kv_cache_tokens) {}
  PartCache cache;
  std::vector<std::shared_ptr<Call>> running;
  std::deque<std::shared_ptr<Call>> waiting;
  bool is_stepping = false;
  bool is_remote = false;
};

class Simulation {
 public:
  explicit Simulation(const SimulatedLoad& load)
      : load_(load), random_(load.seed), results_(load.kinds.size() + 1) {
    ConfigurationParts parts;
    for (std::size_t i = 0; i < load.kinds.size(); ++i) {
      Route route;
      route.name = "kind" + std::to_string(i);
      route.host = "h";
      route.prefix = "/" + std::to_string(i);
      route.kind = RequestKind::kStreaming;
      route.max_attempts = 2;
      route.latency_goal =
          Duration(static_cast<std::int64_t>(load.kinds[i].goal_seconds * 1e6));
      route.timeout = std::chrono::seconds(10);
      route.split = {{"engines", 1.0}};
      parts.AddRoute(route);
    }
    ServiceProfile service;
    service.name = "engines";
    service.engine =
        EngineProfile{load.engine.slots,
                      static_cast<std::int64_t>(load.engine.kv_cache_tokens)};
    parts.services = {service};
    std::vector<double> weights;
    for (std::size_t i = 0; i < load.customers.size(); ++i) {
      CustomerProfile profile;
      profile.name = "customer" + std::to_string(i);
      profile.id = CustomerId::FromName(profile.name);
      parts.customers.push_back(profile);
      weights.push_back(load.customers[i].weight);
    }
    customer_of_request_ = {weights.begin(), weights.end()};
    customer_seconds_.resize(
        load.customers.size(),
        std::vector<SimulatedCustomerSecond>(
            static_cast<std::size_t>(std::ceil(load.seconds))));
    parts.engine_tokens_per_second = load.capacity_units_per_second;
    configuration_ = Configuration::Create(parts);
    for (int i = 0; i < load.engines; ++i) {
      engines_.emplace_back(load.engine);
      engines_.back().is_remote = load.has_two_regions && i % 2 == 1;
    }
    for (int router = 0; router < load.routers; ++router) {
      SchedulerOptions options;
      const bool is_remote = load.has_two_regions && router % 2 == 1;
      options.zone = is_remote ? "b" : "a";
      options.region = is_remote ? "east" : "west";
      options.region_of_zone = {{"a", "west"}, {"b", "east"}};
      options.retry_budget = {0.2, std::chrono::seconds(10), 50};
      options.region_link_bytes_per_second = 18e6;
      options.adaptive_placement = load.adaptive_placement;
      routers_.push_back(std::make_unique<Scheduler>(options));
      Scheduler& scheduler = *routers_.back();
      scheduler.SetSeed(static_cast<std::uint32_t>(load.seed * 1000) +
                        static_cast<std::uint32_t>(router));
      scheduler.SetConfiguration(configuration_);
      scheduler.SetFleet(load.routers, router);
      for (std::size_t i = 0; i < engines_.size(); ++i) {
        TargetEntry entry;
        entry.id = "t" + std::to_string(i);
        entry.service = "engines";
        entry.address = "10.0.0.1:" + std::to_string(1000 + i);
        entry.zone = engines_[i].is_remote ? "b" : "a";
        entry.slots = load.engine.slots;
        entry.incarnation = 1;
        scheduler.targets().ApplyEntry(At(0), entry);
        index_of_[entry.id] = i;
      }
    }
    reports_.resize(routers_.size());
  }

  const std::vector<std::vector<SimulatedCustomerSecond>>& customer_seconds()
      const {
    return customer_seconds_;
  }

  std::vector<SimulatedResult> Run() {
    for (std::size_t i = 0; i < load_.kinds.size(); ++i) {
      ScheduleArrival(0, i);
    }
    Schedule(0, [this](double now) { Report(now); });
    while (!events_.empty()) {
      // A priority queue gives no mutable access to its top.
      const Event event = events_.top();
      events_.pop();
      event.action(event.at);
    }
    for (std::size_t i = 0; i < results_.size(); ++i) {
      std::vector<double>& errors = errors_[i];
      std::sort(errors.begin(), errors.end());
      results_[i].median_prediction_error =
          errors.empty() ? 0.0 : errors[errors.size() / 2];
    }
    return results_;
  }

 private:
  struct Event {
    double at = 0;
    std::uint64_t order = 0;
    std::function<void(double)> action;
  };
  struct IsLater {
    bool operator()(const Event& a, const Event& b) const {
      return std::tie(a.at, a.order) > std::tie(b.at, b.order);
    }
  };

  void Schedule(double at, std::function<void(double)> action) {
    events_.push({at, next_order_++, std::move(action)});
  }
  template <typename Function>
  void ForResults(const Call& call, Function function) {
    if (call.is_counted) {
      function(results_[call.kind]);
      function(results_.back());
    }
  }
  double Exponential(double mean) {
    return std::exponential_distribution<double>(1.0 / mean)(random_);
  }

  void ScheduleArrival(double now, std::size_t kind) {
    const double factor = now >= load_.burst_at ? load_.burst_factor : 1.0;
    const double at =
        now + Exponential(1.0 / (factor * load_.kinds[kind].per_second));
    if (at < load_.seconds) {
      Schedule(at, [this, kind](double time) {
        Arrive(time, kind);
        ScheduleArrival(time, kind);
      });
    }
  }

  void Arrive(double now, std::size_t kind_index) {
    const SimulatedKind& kind = load_.kinds[kind_index];
    const auto call = std::make_shared<Call>();
    call->kind = kind_index;
    call->router = random_() % routers_.size();
    if (!load_.customers.empty()) {
      call->customer = customer_of_request_(random_);
    }
    call->first_arrived_at = now;
    call->is_counted = now >= kWarmUpSeconds;
    ScheduledRequest& request = call->request;
    request.route = configuration_->routes()[kind_index].get();
    request.service = "engines";
    const std::uint64_t base = 1'000'000'000 * (kind_index + 1);
    std::uint64_t second = random_() % kind.second_parts;
    if (std::uniform_real_distribution<double>()(random_) < kind.hot_fraction) {
      second = 0;
    }
    const std::uint64_t first = second % kind.first_parts;
    // A part's size is a property of the part.
    const auto tokens_of = [](double mean, std::uint64_t part) {
      return static_cast<std::int64_t>(
          mean * (0.5 + static_cast<double>(part * 7919 % 101) / 100.0));
    };
    const auto unshared = static_cast<std::int64_t>(
        std::min(Exponential(kind.unshared_tokens), 10 * kind.unshared_tokens) +
        1);
    request.prompt = {
        {base + first, tokens_of(kind.first_part_tokens, first)},
        {base + 1000 + second, tokens_of(kind.second_part_tokens, second)},
        {base + 1'000'000 + next_order_, unshared}};
    for (const PromptPart& part : request.prompt) {
      request.prompt_tokens += part.tokens;
    }
    call->output_tokens =
        1 + static_cast<int>(std::min(Exponential(kind.output_tokens),
                                      4 * kind.output_tokens));
    request.max_output_tokens =
        load_.declared_factor > 0
            ? 1 + static_cast<int>(load_.declared_factor * kind.output_tokens)
            : call->output_tokens;
    request.body_bytes = static_cast<std::size_t>(request.prompt_tokens);
    request.remaining = std::chrono::seconds(10);
    ForResults(*call, [](SimulatedResult& it) { ++it.requests; });
    Send(now, call);
  }

  // Returns the router that the customer's caller uses at `now`.
  std::size_t RouterOf(double now, std::size_t customer_index) {
    const SimulatedCustomer& customer = load_.customers[customer_index];
    const std::size_t n = customer.routers == 0
                              ? routers_.size()
                              : static_cast<std::size_t>(customer.routers);
    const std::size_t moves =
        customer.moves_after_seconds <= 0
            ? 0
            : static_cast<std::size_t>(now / customer.moves_after_seconds);
    return (customer_index + moves * n + random_() % n) % routers_.size();
  }

  void ForCustomer(double now, const Call& call,
                   const std::function<void(SimulatedCustomerSecond&)>& apply) {
    const auto second = static_cast<std::size_t>(now);
    if (!customer_seconds_.empty() &&
        second < customer_seconds_[call.customer].size()) {
      apply(customer_seconds_[call.customer][second]);
    }
  }

  static double TokensOf(const Call& call) {
    return static_cast<double>(call.request.prompt_tokens +
                               std::int64_t{2} * call.output_tokens);
  }

  void Send(double now, const std::shared_ptr<Call>& call) {
    ScheduledRequest& request = call->request;
    call->arrived_at = now;
    if (!load_.customers.empty()) {
      request.customer = &configuration_->customers()[call->customer];
      call->router = RouterOf(now, call->customer);
    }
    ForCustomer(now, *call, [&call](SimulatedCustomerSecond& it) {
      it.asked += TokensOf(*call);
      it.largest = std::max(it.largest, TokensOf(*call));
    });
    Scheduler& scheduler = *routers_[call->router];
    scheduler.RecordRequest(At(now), request);
    const Decision decision = scheduler.Place(At(now), request);
    if (const auto* assignment = std::get_if<Assignment>(&decision)) {
      call->assignment = *assignment;
      const std::size_t engine = index_of_.at(assignment->target_id);
      Schedule(
          now + kNetworkSeconds + RegionSeconds(*call, engine),
          [this, call, engine](double time) { Admit(time, call, engine); });
      return;
    }
    std::size_t taken = 0;
    for (const Engine& it : engines_) {
      taken += it.running.size() + it.waiting.size();
    }
    const bool has_free_engines =
        2 * taken <
        engines_.size() * static_cast<std::size_t>(load_.engine.slots);
    ForResults(*call, [has_free_engines](SimulatedResult& it) {
      ++it.rejected;
      it.rejected_with_free_engines += has_free_engines ? 1 : 0;
    });
    ForCustomer(now, *call, [](SimulatedCustomerSecond& it) { ++it.rejected; });
    const double again_at = now + std::chrono::duration<double>(
                                      std::get<Rejection>(decision).retry_after)
                                      .count();
    if (again_at < std::min(load_.seconds,
                            call->first_arrived_at + load_.patience_seconds)) {
      Schedule(again_at, [this, call](double time) { Send(time, call); });
    }
  }

  double RegionSeconds(const Call& call, std::size_t engine) const {
    const bool is_remote_router = load_.has_two_regions && call.router % 2 == 1;
    return engines_[engine].is_remote == is_remote_router ? 0.0
                                                          : kRegionSeconds / 2;
  }

  void Admit(double now, const std::shared_ptr<Call>& call,
             std::size_t engine_index) {
    Engine& engine = engines_[engine_index];
    if (engine.waiting.size() >= static_cast<std::size_t>(load_.engine.queue)) {
      routers_[call->router]->Finish(At(now), call->assignment,
                                     AttemptOutcome::kCompleted);
      ForResults(*call, [](SimulatedResult& it) { ++it.bounced; });
      return;
    }
    engine.waiting.push_back(call);
    if (!engine.is_stepping) {
      Step(now, engine_index);
    }
  }

  // Determines what the engine has to read of the call's prompt.
  void Start(double now, Engine& engine, Call& call) {
    call.has_started = true;
    ForCustomer(now, call, [&call](SimulatedCustomerSecond& it) {
      it.begun += TokensOf(call);
    });
    std::uint64_t chain = 0;
    double reread = 0;
    for (std::size_t i = 0; i < call.request.prompt.size(); ++i) {
      const PromptPart& part = call.request.prompt[i];
      const auto tokens = static_cast<double>(part.tokens);
      chain = ExtendChain(chain, part);
      if (engine.cache.Use(chain)) {
        used_at_[chain] = now;
        continue;
      }
      engine.cache.Insert(chain, tokens);
      call.prefill_tokens_left += tokens;
      if (i + 1 < call.request.prompt.size()) {
        const auto it = used_at_.find(chain);
        reread += it != used_at_.end() && now - it->second < kReuseWindowSeconds
                      ? tokens
                      : 0.0;
        used_at_[chain] = now;
      }
    }
    call.output_tokens_left = call.output_tokens;
    const double prefill = call.prefill_tokens_left;
    ForResults(call, [reread, prefill](SimulatedResult& it) {
      it.reread_tokens += reread;
      it.prefill_tokens += prefill;
    });
  }

  double SpeedOf(double now, std::size_t engine_index) const {
    const SimulatedEngineOptions& engine = load_.engine;
    const double speed = engine.speeds[engine_index % engine.speeds.size()];
    const double offset = kSlowPeriodOffset * static_cast<double>(engine_index);
    const double intervals = now / engine.slow_interval_seconds + offset;
    const bool is_slow =
        (intervals - std::floor(intervals)) * engine.slow_interval_seconds <
        engine.slow_seconds;
    return is_slow ? speed / engine.slow_factor : speed;
  }

  void Step(double now, std::size_t engine_index) {
    Engine& engine = engines_[engine_index];
    while (!engine.waiting.empty() &&
           engine.running.size() <
               static_cast<std::size_t>(load_.engine.slots)) {
      engine.running.push_back(engine.waiting.front());
      engine.waiting.pop_front();
      Start(now, engine, *engine.running.back());
    }
    engine.is_stepping = !engine.running.empty();
    if (!engine.is_stepping) {
      return;
    }
    double chunk = kPrefillChunkTokens;
    double read = 0;
    std::vector<std::shared_ptr<Call>> decoding;
    for (const auto& it : engine.running) {
      if (it->prefill_tokens_left > 0) {
        const double tokens = std::min(chunk, it->prefill_tokens_left);
        it->prefill_tokens_left -= tokens;
        chunk -= tokens;
        read += tokens;
      }
      if (it->prefill_tokens_left <= 0) {
        decoding.push_back(it);
      }
    }
    const double duration = (load_.engine.step_seconds +
                             load_.engine.step_seconds_per_request *
                                 static_cast<double>(engine.running.size()) +
                             read / load_.engine.prefill_tokens_per_second) /
                            SpeedOf(now, engine_index);
    Schedule(now + duration,
             [this, engine_index, decoding = std::move(decoding)](double time) {
               for (const auto& it : decoding) {
                 Emit(time, engine_index, it);
               }
               Step(time, engine_index);
             });
  }

  // One output token of a call.
  void Emit(double now, std::size_t engine_index,
            const std::shared_ptr<Call>& call) {
    --call->output_tokens_left;
    const int made = call->output_tokens - call->output_tokens_left;
    if (made % kEventTokens == 0 || call->output_tokens_left == 0) {
      routers_[call->router]->RecordEvent(call->assignment);
    }
    if (made == std::min(kEventTokens, call->output_tokens)) {
      Schedule(now + kSetupSeconds + kNetworkSeconds +
                   RegionSeconds(*call, engine_index),
               [this, call](double time) { FirstEvent(time, *call); });
    }
    if (call->output_tokens_left == 0) {
      std::erase(engines_[engine_index].running, call);
      Schedule(now + kSetupSeconds + kNetworkSeconds +
                   RegionSeconds(*call, engine_index),
               [this, call](double time) {
                 routers_[call->router]->Finish(At(time), call->assignment,
                                                AttemptOutcome::kCompleted);
                 const double seconds = time - call->arrived_at;
                 ForResults(*call, [seconds](SimulatedResult& it) {
                   ++it.ended;
                   it.run_seconds += seconds;
                 });
               });
    }
  }

  void FirstEvent(double now, Call& call) {
    const double seconds = now - call.arrived_at;
    const double predicted =
        std::chrono::duration<double>(call.assignment.predicted).count();
    routers_[call.router]->RecordFirstEvent(At(now), call.assignment,
                                            call.request);
    const bool is_in_goal = seconds <= load_.kinds[call.kind].goal_seconds;
    ForResults(call, [is_in_goal](SimulatedResult& it) {
      it.in_goal += is_in_goal ? 1 : 0;
      it.late += is_in_goal ? 0 : 1;
    });
    if (call.is_counted && predicted > 0) {
      errors_[call.kind].push_back(std::abs(seconds / predicted - 1));
      errors_[results_.size() - 1].push_back(std::abs(seconds / predicted - 1));
    }
  }

  void Report(double now) {
    for (std::size_t i = 0; i < routers_.size(); ++i) {
      reports_[i].push_back({routers_[i]->targets().LocalLoad(At(now)),
                             routers_[i]->fair_share().LocalRates(At(now))});
      if (reports_[i].size() > kReportDelay + 1) {
        reports_[i].pop_front();
      }
    }
    const auto first = static_cast<std::size_t>(load_.cut_off_routers);
    for (std::size_t i = first; i < routers_.size(); ++i) {
      std::map<TargetId, TargetLoad> load;
      for (std::size_t j = first; j < routers_.size(); ++j) {
        if (j == i || reports_[j].size() <= kReportDelay) {
          continue;
        }
        for (const auto& [id, it] : reports_[j].front().first) {
          TargetLoad& total = load[id];
          total.in_flight += it.in_flight;
          total.pending_prefill_tokens += it.pending_prefill_tokens;
          total.kv_cache_tokens += it.kv_cache_tokens;
          total.ended_attempts += it.ended_attempts;
          total.failed_attempts += it.failed_attempts;
          total.first_events += it.first_events;
          total.log_slowness += it.log_slowness;
          total.speed_observations += it.speed_observations;
          total.log_speed += it.log_speed;
          total.output_tokens_left += it.output_tokens_left;
        }
      }
      routers_[i]->targets().SetPeerLoad(At(now), load);
      for (std::size_t j = first; j < routers_.size(); ++j) {
        for (const auto& it : routers_[j]->costs().EventSizes(At(now))) {
          routers_[i]->costs().MergeEventSize(At(now), it);
        }
      }
      RatesByCustomer peer_rates;
      for (std::size_t j = first; j < routers_.size(); ++j) {
        if (j == i || reports_[j].size() <= kReportDelay) {
          continue;
        }
        for (const auto& [customer, it] : reports_[j].front().second) {
          CustomerRates& total = peer_rates[customer];
          total.demand += it.demand;
          total.admitted += it.admitted;
          total.current_demand += it.current_demand;
        }
      }
      routers_[i]->fair_share().SetPeerRates(std::move(peer_rates));
    }
    if (now < load_.seconds) {
      Schedule(now + kReportSeconds, [this](double time) { Report(time); });
    }
  }

  const SimulatedLoad load_;
  std::mt19937_64 random_;
  std::shared_ptr<const Configuration> configuration_;
  std::deque<Engine> engines_;
  std::vector<std::unique_ptr<Scheduler>> routers_;
  std::vector<
      std::deque<std::pair<std::map<TargetId, TargetLoad>, RatesByCustomer>>>
      reports_;
  std::map<std::string, std::size_t> index_of_;
  std::unordered_map<std::uint64_t, double> used_at_;
  std::priority_queue<Event, std::vector<Event>, IsLater> events_;
  std::uint64_t next_order_ = 0;
  std::vector<SimulatedResult> results_;
  std::map<std::size_t, std::vector<double>> errors_;
  std::discrete_distribution<std::size_t> customer_of_request_;
  std::vector<std::vector<SimulatedCustomerSecond>> customer_seconds_;
};

}  // namespace

std::vector<SimulatedResult> PlayLoad(const SimulatedLoad& load) {
  return Simulation(load).Run();
}

std::vector<std::vector<SimulatedCustomerSecond>> PlayCustomers(
    const SimulatedLoad& load) {
  Simulation simulation(load);
  simulation.Run();
  return simulation.customer_seconds();
}

std::string ToString(const SimulatedResult& result) {
  std::ostringstream out;
  out << result.requests << " requests, " << result.in_goal << " in goal, "
      << result.late << " late, " << result.rejected << " rejected ("
      << result.rejected_with_free_engines << " with free engines), "
      << result.bounced << " turned away, " << result.prefill_tokens
      << " tokens read, " << result.reread_tokens
      << " again, mean time to the end "
      << result.run_seconds / std::max(1, result.ended)
      << ", median prediction error " << result.median_prediction_error;
  return out.str();
}

}  // namespace corianderpost
