// Plays changes of a large configuration on a fleet that uses relays, under
// load.
#include <doctest/doctest.h>
#include <signal.h>

#include "fleet/engine_fleet.h"
#include "fleet/random_load.h"

namespace corianderpost::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The requirement: every router serves with a version this long after the store
// has acknowledged it.
constexpr Duration kApplyBound = seconds(4);
// Enough routers for relays, half of them in each region.
constexpr int kRouters = 14;
constexpr int kEngines = 8;
constexpr int kLargeRouteCount = 2850;
// A response with all routes takes 2.7 s.
constexpr int kSlowBytesPerSecond = 300'000;
constexpr double kRequestsPerSecond = 150;
const std::vector<std::string> kCustomers = {"c0", "c1", "c2"};

RandomLoad MakeLoad(EngineFleet& fleet, std::uint64_t seed) {
  return {fleet, kCustomers, kRequestsPerSecond, 3, seed};
}

// Asks each router at intervals for the last of `added_routes`, until
// `duration` is over. Returns for each router the time from now until the first
// request that it did not answer with 404; `duration` if there is none.
std::vector<Duration> MeasureDelays(EngineFleet& fleet, RandomLoad& load,
                                    int added_routes, Duration duration) {
  const TimePoint start = fleet.Now();
  const std::string path = "/added-" + std::to_string(added_routes - 1) + "/";
  std::vector<std::shared_ptr<const EngineCall>> probes;
  TimePoint next = start;
  fleet.PlayFor(duration, [&](TimePoint now) {
    load(now);
    for (; next <= now; next += milliseconds(200)) {
      for (std::size_t i = 0; i < fleet.routers().size(); ++i) {
        probes.push_back(fleet.Send(i, "c0", {{7, 50}}, path));
      }
    }
  });
  std::vector<Duration> delays(fleet.routers().size(), duration);
  for (const auto& it : probes) {
    if (!it->response.empty() && !it->response.starts_with("HTTP/1.1 404")) {
      delays[it->router] = std::min(delays[it->router], it->began_at - start);
    }
  }
  return delays;
}

std::string ToText(const std::vector<Duration>& delays) {
  std::string text;
  for (const Duration it : delays) {
    text +=
        std::to_string(std::chrono::duration_cast<milliseconds>(it).count()) +
        " ms ";
  }
  return text;
}

// Waits until the store's watches have been open for a while, so that a value
// is sent in the second half of their time.
void AwaitOldWatches(EngineFleet& fleet, RandomLoad& load) {
  constexpr Duration kMinAge = milliseconds(1700);
  const std::string prefix = fleet.deployment().operator_prefix();
  for (int i = 0; i < 120 && fleet.store().YoungestWatchAge(prefix) < kMinAge;
       ++i) {
    fleet.PlayFor(milliseconds(50), std::ref(load));
  }
}

TEST_CASE(
    "A change of a large configuration is in force in time while the store "
    "sends slowly") {
  const std::uint64_t seed = 1;
  INFO("seed ", seed);
  EngineFleet fleet(205, kRouters, kEngines, kCustomers);
  fleet.Start();
  RandomLoad load = MakeLoad(fleet, seed);
  fleet.PublishConfiguration(2, kLargeRouteCount);
  fleet.PlayFor(seconds(4), std::ref(load));
  fleet.store().SetBytesPerSecond(kSlowBytesPerSecond);
  for (int change = 1; change <= 3; ++change) {
    AwaitOldWatches(fleet, load);
    fleet.PublishConfiguration(2 + static_cast<std::uint64_t>(change),
                               kLargeRouteCount + change);
    const std::vector<Duration> delays =
        MeasureDelays(fleet, load, kLargeRouteCount + change, seconds(7));
    INFO("change ", change, ": ", ToText(delays));
    CHECK(*std::max_element(delays.begin(), delays.end()) <= kApplyBound);
  }
}

TEST_CASE(
    "Routers that start together load a large configuration that the store "
    "sends slowly") {
  constexpr Duration kRecoveryBound = seconds(8);
  EngineFleet fleet(206, kRouters, kEngines, kCustomers);
  fleet.Start();
  fleet.PublishConfiguration(2, kLargeRouteCount);
  RandomLoad load = MakeLoad(fleet, 1);
  fleet.PlayFor(seconds(3), std::ref(load));
  fleet.store().SetBytesPerSecond(kSlowBytesPerSecond);
  for (const auto& it : fleet.routers()) {
    it->Kill();
  }
  for (const auto& it : fleet.routers()) {
    it->Start();
  }
  std::vector<std::shared_ptr<const EngineCall>> checks;
  fleet.PlayFor(kRecoveryBound);
  for (std::size_t i = 0; i < fleet.routers().size(); ++i) {
    checks.push_back(fleet.SendReadinessCheck(i));
  }
  fleet.PlayFor(seconds(1));
  for (const auto& it : checks) {
    INFO("router ", it->router);
    CHECK(it->response.starts_with("HTTP/1.1 200"));
  }
}

// Returns the number of readiness checks that are answered with 503.
std::size_t CountFailedChecks(EngineFleet& fleet, RandomLoad& load,
                              Duration duration) {
  std::vector<std::shared_ptr<const EngineCall>> checks;
  TimePoint next = fleet.Now();
  fleet.PlayFor(duration, [&](TimePoint now) {
    load(now);
    for (; next <= now; next += milliseconds(500)) {
      for (std::size_t i = 0; i < fleet.routers().size(); ++i) {
        checks.push_back(fleet.SendReadinessCheck(i));
      }
    }
  });
  fleet.PlayFor(milliseconds(500), std::ref(load));
  return static_cast<std::size_t>(std::count_if(
      checks.begin(), checks.end(),
      [](const auto& it) { return it->response.starts_with("HTTP/1.1 503"); }));
}

TEST_CASE("A large configuration takes no slow router out of rotation") {
  const std::uint64_t seed = 2;
  INFO("seed ", seed);
  EngineFleet fleet(207, kRouters, kEngines, kCustomers);
  fleet.Start();
  RandomLoad load = MakeLoad(fleet, seed);
  fleet.Throttle(0.25);
  fleet.PlayFor(seconds(8), std::ref(load));
  const std::size_t failed_before = CountFailedChecks(fleet, load, seconds(2));
  fleet.PublishConfiguration(2, kLargeRouteCount);
  const std::size_t failed_after = CountFailedChecks(fleet, load, seconds(5));
  fleet.Throttle(1);
  CHECK(failed_before == 0);
  CHECK(failed_after == 0);
}

// In both zones the router with the lowest address is the relay and reads the
// store.
constexpr std::size_t kReaders = 2;

// Publishes a change while the readers of both zones do not run, and returns
// the longest delay of the other routers.
Duration MaxDelayWithoutReaders(EngineFleet& fleet, RandomLoad& load,
                                std::uint64_t version, int signal) {
  for (std::size_t i = 0; i < kReaders; ++i) {
    fleet.routers()[i]->Signal(signal);
  }
  const int routes = kLargeRouteCount + static_cast<int>(version);
  fleet.PublishConfiguration(version, routes);
  const std::vector<Duration> delays =
      MeasureDelays(fleet, load, routes, seconds(6));
  MESSAGE(ToText(delays));
  return *std::max_element(delays.begin() + kReaders, delays.end());
}

TEST_CASE(
    "A change of a large configuration is in force in time while its readers "
    "are paused or killed") {
  EngineFleet fleet(208, kRouters, kEngines, kCustomers);
  fleet.Start();
  RandomLoad load = MakeLoad(fleet, 3);
  fleet.PublishConfiguration(2, kLargeRouteCount);
  fleet.PlayFor(seconds(4), std::ref(load));
  CHECK(MaxDelayWithoutReaders(fleet, load, 3, SIGSTOP) <= kApplyBound);
  for (std::size_t i = 0; i < kReaders; ++i) {
    fleet.routers()[i]->Signal(SIGCONT);
  }
  fleet.PlayFor(seconds(4), std::ref(load));
  CHECK(MaxDelayWithoutReaders(fleet, load, 4, SIGKILL) <= kApplyBound);
}

// Returns when the router answered its readiness check with 200 for the first
// time; asks every 20 ms.
std::optional<TimePoint> AwaitReady(EngineFleet& fleet, std::size_t router) {
  std::vector<std::shared_ptr<const EngineCall>> checks;
  for (int i = 0; i < 250; ++i) {
    checks.push_back(fleet.SendReadinessCheck(router));
    fleet.PlayFor(milliseconds(20));
    for (const auto& it : checks) {
      if (it->response.starts_with("HTTP/1.1 200")) {
        return it->answered_at;
      }
    }
  }
  return std::nullopt;
}

TEST_CASE(
    "A router that starts beside a change of a large configuration is ready "
    "with the change only") {
  EngineFleet fleet(209, kRouters, kEngines, kCustomers);
  fleet.Start();
  fleet.PublishConfiguration(2, kLargeRouteCount);
  fleet.PlayFor(seconds(3));
  for (int i = 0; i < 5; ++i) {
    INFO("start ", i);
    const std::size_t router = kReaders + static_cast<std::size_t>(i);
    const int routes = kLargeRouteCount + 1 + i;
    fleet.routers()[router]->Kill();
    fleet.PublishConfiguration(3 + static_cast<std::uint64_t>(i), routes);
    fleet.routers()[router]->Start();
    REQUIRE(AwaitReady(fleet, router).has_value());
    const auto call = fleet.Send(router, "c0", {{7, 50}},
                                 "/added-" + std::to_string(routes - 1) + "/");
    fleet.PlayFor(milliseconds(600));
    CHECK(call->is_served());
  }
}

}  // namespace
}  // namespace corianderpost::soak
