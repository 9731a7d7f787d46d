// Plays load against router processes before engines that name a rate limit.
#include <doctest/doctest.h>

#include <random>

#include "fleet/engine_fleet.h"
#include "platform/standin_wire.h"

namespace corianderpost::soak {
namespace {

using std::chrono::seconds;

// The requirement: from this time after an engine first named its limit, it
// gets in each window at most one and a half times what the limit allows, plus
// a few requests.
constexpr Duration kContactTime = seconds(4);
constexpr Duration kLimitWindow = seconds(4);
constexpr double kMaxExcess = 1.5;
constexpr double kExcessRequests = 5;
constexpr double kLimitPerSecond = 4;
// Part of the limit that is used while there is enough demand.
constexpr double kMinUse = 0.8;
constexpr double kRequestsPerSecond = 220;

// Returns the largest number of arrivals in a window that ends in [from, to).
std::size_t MaxArrivals(const Engine& engine, TimePoint from, TimePoint to) {
  const std::vector<Arrival>& arrivals = engine.arrivals();
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t i = 0; i < arrivals.size(); ++i) {
    while (arrivals[i].at - arrivals[first].at >= kLimitWindow) {
      ++first;
    }
    if (arrivals[i].at >= from && arrivals[i].at < to) {
      most = std::max(most, i - first + 1);
    }
  }
  return most;
}

double ArrivalsPerSecond(const Engine& engine, TimePoint from, TimePoint to) {
  const auto n = std::count_if(
      engine.arrivals().begin(), engine.arrivals().end(),
      [from, to](const Arrival& it) { return it.at >= from && it.at < to; });
  return static_cast<double>(n) /
         std::chrono::duration<double>(to - from).count();
}

TEST_CASE("Engines that name a rate limit get no more from all routers") {
  const std::uint64_t seed = 1;
  INFO("seed ", seed);
  std::mt19937_64 random(seed);
  const std::vector<std::string> customers = {"c0", "c1", "c2", "c3", "c4"};
  EngineFleet fleet(204, 6, 12, customers);
  fleet.Start();
  // Router 0 gets half of the requests, router 1 a quarter, and so on.
  TimePoint next = fleet.Now();
  double requests_per_second = kRequestsPerSecond;
  const auto load = [&](TimePoint now) {
    std::exponential_distribution<double> gap(requests_per_second);
    std::geometric_distribution<std::size_t> router(0.5);
    for (; next <= now;
         next += Duration(static_cast<std::int64_t>(1e6 * gap(random)))) {
      fleet.Send(std::min(router(random), fleet.routers().size() - 1),
                 customers[random() % customers.size()],
                 {{1 + random() % 3, 300},
                  {10 + random() % 60, 200},
                  {random(), 300}});
    }
  };
  fleet.PlayFor(seconds(2), load);
  const TimePoint named_at = fleet.Now();
  const std::size_t limited_engines = 8;
  for (std::size_t i = 0; i < limited_engines; ++i) {
    fleet.engines()[i]->extra_headers =
        platform::FormatStandinRateLimit(kLimitPerSecond);
  }
  fleet.PlayFor(seconds(5), load);
  // A router that returns has to learn of the limits from its peers.
  fleet.routers()[2]->Kill();
  fleet.PlayFor(Duration(seconds(1)) / 2, load);
  fleet.routers()[2]->Start();
  fleet.PlayFor(seconds(7), load);
  const TimePoint end = fleet.Now();
  for (const auto& it : fleet.engines()) {
    it->extra_headers.clear();
  }
  // Prompts have homes, which some engines have few of. With this load, each
  // engine is asked for much more than its former limit.
  requests_per_second *= 2;
  fleet.PlayFor(seconds(5), load);

  double used = 0;
  for (std::size_t i = 0; i < limited_engines; ++i) {
    INFO("engine ", i);
    const Engine& engine = *fleet.engines()[i];
    CHECK(static_cast<double>(
              MaxArrivals(engine, named_at + kContactTime, end)) <=
          kMaxExcess * kLimitPerSecond * 4 + kExcessRequests);
    used += ArrivalsPerSecond(engine, named_at + kContactTime, end);
    // The limit ends when answers no longer name it.
    CHECK(ArrivalsPerSecond(engine, end + seconds(3), end + seconds(5)) >
          kMaxExcess * kLimitPerSecond);
  }
  CHECK(used >= kMinUse * kLimitPerSecond * limited_engines);
}

}  // namespace
}  // namespace corianderpost::soak
