#include "decisions/engine_capacity.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <string>
#include <vector>

#include "decisions/simulated_engines.h"

namespace corianderpost {
namespace {

using std::chrono::milliseconds;

const TimePoint kStart(std::chrono::seconds(100));
constexpr int kEngines = 4;
constexpr std::size_t kRouters = 3;

// Routers that report their loads every 100 ms; reports are 200 ms old.
class CapacityFleet {
 public:
  CapacityFleet() : tables_(kRouters), capacities_(kRouters) {
    for (TargetTable& it : tables_) {
      for (int i = 0; i < kEngines; ++i) {
        TargetEntry entry;
        entry.id = "t" + std::to_string(i);
        entry.service = "engines";
        entry.address = "10.0.0.1:" + std::to_string(1000 + i);
        entry.slots = 10;
        entry.incarnation = 1;
        it.ApplyEntry(kStart, entry);
      }
    }
  }
  // Plays 100 ms in which `in_flight` requests run at each router's part of
  // each engine.
  void Step(double demand, double admitted, int in_flight) {
    now_ += milliseconds(100);
    reports_.push_back(in_flight + static_cast<int>(reports_.size() % 2));
    for (std::size_t i = 0; i < kRouters; ++i) {
      std::map<TargetId, TargetLoad> peers;
      for (TargetState* it : tables_[i].OfService("engines")) {
        it->local_load.in_flight = in_flight;
        TargetLoad& peer = peers[it->id];
        peer.in_flight =
            reports_.size() < 3 ? 0 : 2 * reports_[reports_.size() - 3];
      }
      tables_[i].SetPeerLoad(now_, peers);
      EngineCapacityInputs inputs;
      inputs.configured_rate = 1000;
      // The routers' meters differ.
      inputs.demand = demand * (1.0 + 0.02 * static_cast<double>(i));
      inputs.admitted = admitted * (1.0 + 0.02 * static_cast<double>(i));
      inputs.engine = EngineProfile{10, 100'000};
      inputs.goal_seconds = 0.5;
      inputs.is_measured = true;
      capacities_[i].Update(now_, "engines", inputs, tables_[i]);
    }
  }
  void Play(double seconds, double demand, double admitted, int in_flight) {
    for (int i = 0; i < static_cast<int>(10 * seconds); ++i) {
      Step(demand, admitted, in_flight);
      CHECK(Highest() <= 1.1 * Lowest());
    }
  }
  double Highest() const {
    return std::max_element(capacities_.begin(), capacities_.end(), IsLess)
        ->Factor("engines");
  }
  double Lowest() const {
    return std::min_element(capacities_.begin(), capacities_.end(), IsLess)
        ->Factor("engines");
  }
  const EngineCapacity& first() const { return capacities_.front(); }

 private:
  static bool IsLess(const EngineCapacity& a, const EngineCapacity& b) {
    return a.Factor("engines") < b.Factor("engines");
  }
  TimePoint now_ = kStart;
  std::vector<TargetTable> tables_;
  std::vector<EngineCapacity> capacities_;
  std::vector<int> reports_;
};

// Guards against routers whose share levels differ, and against a level that
// stays up while requests queue.
TEST_CASE("Routers agree on a factor that rises slowly and falls fast") {
  CapacityFleet fleet;
  fleet.Play(1, 2000, 1200, 1);
  CHECK(fleet.Highest() < 1.4);
  fleet.Play(4, 2000, 1600, 1);
  CHECK(fleet.Lowest() > 1.5);
  CHECK(fleet.first().HasHeadroom("engines"));
  CHECK(*fleet.first().UnitsPerSecond() > 1500);
  // All slots are taken.
  fleet.Play(0.9, 2000, 1600, 4);
  CHECK(fleet.Highest() < 1.1);
  CHECK_FALSE(fleet.first().HasHeadroom("engines"));
  CHECK(fleet.first().Limit("engines") == CapacityLimit::kSlots);
  fleet.Play(3, 2000, 1600, 1);
  CHECK(fleet.Lowest() > 1.3);
  fleet.Play(2, 800, 800, 1);
  CHECK(fleet.Highest() == doctest::Approx(1.0).epsilon(0.001));
  CHECK(fleet.first().Limit("engines") == CapacityLimit::kDemand);
}

// Customers ask for nearly five times the configured throughput, and the
// engines can serve twice of it. The last customer asks for less than its
// share.
SimulatedLoad ExcessLoad(std::uint64_t seed, AdaptiveMode mode) {
  SimulatedLoad load;
  load.engines = 18;
  load.has_two_regions = true;
  load.routers = 7;
  load.seed = seed;
  load.seconds = 14;
  load.kinds = {{330, 4, 2520, 40, 3780, 2890, 52, 0.4, 0},
                {360, 10, 341, 60, 227, 1800, 23, 0.8, 0},
                {60, 10, 103, 20, 69, 543, 280, 1.0, 0}};
  load.capacity_units_per_second = 20'000.0 * load.engines;
  for (int i = 0; i < 15; ++i) {
    load.customers.push_back({std::pow(i + 1, -0.8), 0, 0});
  }
  load.customers.push_back({0.04, 0, 0});
  load.patience_seconds = 2;
  load.adaptive_placement = mode;
  return load;
}

// Returns what each customer asked for and got in the last six seconds, in
// which shares must be fair.
std::vector<SimulatedCustomerSecond> LastSeconds(const SimulatedLoad& load) {
  std::vector<SimulatedCustomerSecond> sums;
  for (const auto& seconds : PlayCustomers(load)) {
    SimulatedCustomerSecond& sum = sums.emplace_back();
    for (std::size_t i = seconds.size() - 6; i < seconds.size(); ++i) {
      sum.asked += seconds[i].asked;
      sum.begun += seconds[i].begun;
    }
  }
  return sums;
}

// In simulated heavy load nine tenths of the rejections were over_share while
// engines were idle.
TEST_CASE("Engines that can serve more than configured are used in fairness") {
  for (const std::uint64_t seed : {1, 2, 3}) {
    INFO("seed ", seed);
    const SimulatedLoad load = ExcessLoad(seed, AdaptiveMode::kOn);
    const SimulatedLoad before = ExcessLoad(seed, AdaptiveMode::kOff);
    const SimulatedResult result = PlayLoad(load).back();
    const SimulatedResult result_before = PlayLoad(before).back();
    INFO(ToString(result), "; before: ", ToString(result_before));
    CHECK(result.in_goal > 1.5 * result_before.in_goal);
    CHECK(2 * result.rejected_with_free_engines <
          result_before.rejected_with_free_engines);
    CHECK(result.late < 0.02 * result.in_goal);
    const auto sums = LastSeconds(load);
    double best = 0;
    for (const SimulatedCustomerSecond& it : sums) {
      best = std::max(best, it.begun);
    }
    for (const SimulatedCustomerSecond& it : sums) {
      INFO("customer ", &it - sums.data());
      CHECK(it.begun >= 0.5 * std::min(it.asked, best));
    }
    const SimulatedCustomerSecond small_before = LastSeconds(before).back();
    CHECK(sums.back().begun / sums.back().asked >=
          0.95 * small_before.begun / small_before.asked);
  }
}

}  // namespace
}  // namespace corianderpost
