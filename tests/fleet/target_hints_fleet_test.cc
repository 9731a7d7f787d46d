// Plays load before engines that say in their answers that they leave, or that
// they want no requests for a while.
#include <doctest/doctest.h>

#include <map>

#include "fleet/engine_fleet.h"
#include "fleet/random_load.h"
#include "platform/standin_wire.h"

namespace corianderpost::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kRouters = 6;
constexpr int kEngines = 8;
constexpr double kRequestsPerSecond = 150;
const std::vector<std::string> kCustomers = {"c0", "c1", "c2"};

RandomLoad MakeLoad(EngineFleet& fleet, std::uint64_t seed) {
  return {fleet, kCustomers, kRequestsPerSecond, 40, seed};
}

// Times of the requests that reached an engine, by the router that sent them.
std::map<std::size_t, std::vector<TimePoint>> ArrivalsByRouter(
    const EngineFleet& fleet, const Engine& engine) {
  std::map<std::size_t, std::vector<TimePoint>> arrivals;
  for (const Arrival& it : engine.arrivals()) {
    arrivals[fleet.RouterOf(it)].push_back(it.at);
  }
  return arrivals;
}

TEST_CASE("A target that says that it leaves gets no requests") {
  constexpr Duration kDrainBound = seconds(3);
  const std::uint64_t seed = 1;
  INFO("seed ", seed);
  EngineFleet fleet(216, kRouters, kEngines, kCustomers);
  fleet.Start();
  RandomLoad load = MakeLoad(fleet, seed);
  fleet.PlayFor(seconds(2), std::ref(load));
  fleet.store().SetDown(true);
  const TimePoint left_at = fleet.Now();
  for (const std::size_t i : {0, 3}) {
    fleet.engines()[i]->extra_headers = platform::FormatStandinLeaving();
  }
  fleet.PlayFor(kDrainBound, std::ref(load));
  // A router that starts learns it from its peers.
  fleet.routers()[2]->Kill();
  fleet.routers()[2]->Start();
  fleet.PlayFor(seconds(4), std::ref(load));
  const auto late = [&](std::size_t engine) {
    return std::count_if(
        fleet.engines()[engine]->arrivals().begin(),
        fleet.engines()[engine]->arrivals().end(),
        [&](const Arrival& it) { return it.at >= left_at + kDrainBound; });
  };
  CHECK(late(0) == 0);
  CHECK(late(3) == 0);
  CHECK(late(1) > 0);
}

TEST_CASE("A target that asks for a pause gets no requests of that router") {
  constexpr Duration kPause = seconds(4);
  constexpr Duration kNoticeTime = milliseconds(500);
  constexpr std::ptrdiff_t kMaxRequests = 2;
  const std::uint64_t seed = 2;
  INFO("seed ", seed);
  EngineFleet fleet(217, kRouters, kEngines, kCustomers);
  fleet.Start();
  RandomLoad load = MakeLoad(fleet, seed);
  fleet.PlayFor(seconds(2), std::ref(load));
  const TimePoint refused_at = fleet.Now();
  for (std::size_t i = 0; i < 5; ++i) {
    fleet.engines()[i]->is_refusing = true;
    fleet.engines()[i]->refusal_headers = "Retry-After: 4\r\n";
  }
  fleet.PlayFor(seconds(9), std::ref(load));
  for (std::size_t i = 0; i < 5; ++i) {
    fleet.engines()[i]->is_refusing = false;
  }
  const TimePoint accepted_at = fleet.Now();
  fleet.PlayFor(seconds(6), std::ref(load));
  std::size_t returned = 0;
  for (std::size_t i = 0; i < 5; ++i) {
    INFO("engine ", i);
    for (const auto& it : ArrivalsByRouter(fleet, *fleet.engines()[i])) {
      INFO("router ", it.first);
      const std::vector<TimePoint>& arrivals = it.second;
      const auto first =
          std::lower_bound(arrivals.begin(), arrivals.end(), refused_at);
      if (first == arrivals.end()) {
        continue;
      }
      const auto begin = std::lower_bound(arrivals.begin(), arrivals.end(),
                                          *first + kNoticeTime);
      const auto end =
          std::lower_bound(arrivals.begin(), arrivals.end(), *first + kPause);
      CHECK(end - begin <= kMaxRequests);
      returned += arrivals.back() >= accepted_at ? 1 : 0;
    }
  }
  // The pause ends.
  CHECK(returned > 0);
}

}  // namespace
}  // namespace corianderpost::soak
