// Plays a store that comes back from an older copy, under load.
#include <doctest/doctest.h>
#include <signal.h>

#include "fleet/engine_fleet.h"
#include "fleet/random_load.h"
#include "platform/standin_wire.h"

namespace corianderpost::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The requirements: a version is in force this long after the store has
// acknowledged it, and a target that drains or whose zone is evacuated gets
// nothing this long after.
constexpr Duration kApplyBound = seconds(3);
constexpr Duration kDrainBound = seconds(3);
constexpr Duration kEvacuationBound = seconds(5);
// The store is away for this long. Owners write what was lost again this long
// after its return.
constexpr Duration kOutage = seconds(1);
constexpr Duration kRewriteDelay = milliseconds(1500);
constexpr double kRequestsPerSecond = 120;
constexpr int kEngines = 8;
const std::vector<std::string> kCustomers = {"c0", "c1", "c2"};

RandomLoad MakeLoad(EngineFleet& fleet, std::uint64_t seed) {
  return {fleet, kCustomers, kRequestsPerSecond, 3, seed};
}

// Takes the store away and lets it return from a copy.
void RestoreStore(EngineFleet& fleet, RandomLoad& load,
                  const Store::Copy& copy) {
  fleet.store().SetDown(true);
  fleet.PlayFor(kOutage, std::ref(load));
  fleet.store().Restore(copy);
  fleet.store().SetDown(false);
}

std::size_t ArrivalsAfter(const Engine& engine, TimePoint from, TimePoint to) {
  return static_cast<std::size_t>(std::count_if(
      engine.arrivals().begin(), engine.arrivals().end(),
      [from, to](const Arrival& it) { return it.at >= from && it.at < to; }));
}

std::string AddedPath(int routes) {
  return "/added-" + std::to_string(routes - 1) + "/";
}

void PlayConfigurations(int network, int routers) {
  EngineFleet fleet(network, routers, kEngines, kCustomers);
  fleet.Start();
  RandomLoad load = MakeLoad(fleet, 1);
  const Store::Copy copy = fleet.store().MakeCopy();
  fleet.PublishConfiguration(2, 1);
  fleet.PublishConfiguration(3, 2);
  fleet.PlayFor(kApplyBound, std::ref(load));
  // Requests on the route of version 3 show that no router goes back.
  load.options.path = AddedPath(2);
  const TimePoint lost_at = fleet.Now();
  RestoreStore(fleet, load, copy);
  const std::size_t requests_before = fleet.store().request_count();
  fleet.PlayFor(kRewriteDelay, std::ref(load));
  // Snapshots and watches of two prefixes, and some retries.
  CHECK(fleet.store().request_count() - requests_before <=
        14 * static_cast<std::size_t>(routers));
  fleet.PublishConfiguration(3, 2);
  // Its revision is that of a version in the former era.
  fleet.PublishConfiguration(7, 3);
  fleet.PlayFor(kApplyBound, std::ref(load));
  load.options.path = AddedPath(3);
  const TimePoint bound_at = fleet.Now();
  fleet.PlayFor(seconds(2), std::ref(load));
  fleet.PlayFor(seconds(1));
  CHECK(load.Count("HTTP/1.1 404", lost_at) == 0);
  CHECK(load.Count("HTTP/1.1 200", bound_at) > 0);
}

TEST_CASE("A version written after the restored store returned is in force") {
  PlayConfigurations(210, 6);
}

TEST_CASE(
    "A version written after the restored store returned is in force in a "
    "fleet with relays") {
  PlayConfigurations(211, 14);
}

TEST_CASE("Two restores of the store in a row lose no version") {
  EngineFleet fleet(212, 6, kEngines, kCustomers);
  fleet.Start();
  RandomLoad load = MakeLoad(fleet, 2);
  const Store::Copy first = fleet.store().MakeCopy();
  fleet.PublishConfiguration(2, 1);
  const Store::Copy second = fleet.store().MakeCopy();
  fleet.PublishConfiguration(3, 2);
  fleet.PlayFor(kApplyBound, std::ref(load));
  load.options.path = AddedPath(2);
  const TimePoint lost_at = fleet.Now();
  RestoreStore(fleet, load, second);
  fleet.PlayFor(milliseconds(700), std::ref(load));
  RestoreStore(fleet, load, first);
  fleet.PlayFor(kRewriteDelay, std::ref(load));
  fleet.PublishConfiguration(4, 3);
  fleet.PlayFor(kApplyBound, std::ref(load));
  load.options.path = AddedPath(3);
  fleet.PlayFor(seconds(2), std::ref(load));
  fleet.PlayFor(seconds(1));
  CHECK(load.Count("HTTP/1.1 404", lost_at) == 0);
}

TEST_CASE("A restored store undoes neither a drain nor an evacuation") {
  EngineFleet fleet(213, 6, kEngines, kCustomers);
  fleet.Start();
  RandomLoad load = MakeLoad(fleet, 3);
  const Store::Copy copy = fleet.store().MakeCopy();
  fleet.PublishEngine(0, true);
  fleet.store().Put(platform::StandinEvacuationKey("b"), "{}");
  const TimePoint acknowledged_at = fleet.Now();
  fleet.PlayFor(seconds(3), std::ref(load));
  RestoreStore(fleet, load, copy);
  fleet.PlayFor(kRewriteDelay, std::ref(load));
  fleet.store().Put(platform::StandinEvacuationKey("b"), "{}");
  fleet.PublishAllEngines();
  fleet.PlayFor(seconds(3), std::ref(load));
  const TimePoint end = fleet.Now();
  CHECK(ArrivalsAfter(*fleet.engines()[0], acknowledged_at + kDrainBound,
                      end) == 0);
  for (std::size_t i = 1; i < kEngines; i += 2) {
    INFO("engine ", i);
    CHECK(ArrivalsAfter(*fleet.engines()[i], acknowledged_at + kEvacuationBound,
                        end) == 0);
  }
}

TEST_CASE("A router that was paused beside a restore learns of a drain") {
  EngineFleet fleet(222, 6, kEngines, kCustomers);
  fleet.Start();
  RandomLoad load = MakeLoad(fleet, 6);
  fleet.PlayFor(seconds(2), std::ref(load));
  fleet.routers()[2]->Signal(SIGSTOP);
  fleet.PublishEngine(0, /*is_draining=*/true);
  const TimePoint acknowledged_at = fleet.Now();
  const Store::Copy copy = fleet.store().MakeCopy();
  fleet.PublishConfiguration(2, 1);
  RestoreStore(fleet, load, copy);
  fleet.routers()[2]->Signal(SIGCONT);
  fleet.PlayFor(seconds(5), std::ref(load));
  CHECK(ArrivalsAfter(*fleet.engines()[0], acknowledged_at + kDrainBound,
                      fleet.Now()) == 0);
  CHECK(load.Count("HTTP/1.1 200", acknowledged_at + kDrainBound) > 0);
}

TEST_CASE("Engines that a restored store has forgotten stay in use") {
  constexpr double kMinServed = 0.95;
  EngineFleet fleet(214, 6, kEngines, kCustomers);
  Store::Copy empty = fleet.store().MakeCopy();
  fleet.Start();
  RandomLoad load = MakeLoad(fleet, 4);
  fleet.PlayFor(seconds(2), std::ref(load));
  const TimePoint lost_at = fleet.Now();
  RestoreStore(fleet, load, empty);
  fleet.PlayFor(kRewriteDelay, std::ref(load));
  fleet.PublishAllEngines();
  fleet.PublishConfiguration(1, 0);
  fleet.PlayFor(seconds(4), std::ref(load));
  const std::size_t sent = load.CountSince(lost_at);
  fleet.PlayFor(seconds(1));
  CHECK(static_cast<double>(load.Count("HTTP/1.1 200", lost_at)) >=
        kMinServed * static_cast<double>(sent));
}

TEST_CASE("A router that starts beside a restore gets the newest version") {
  EngineFleet fleet(215, 6, kEngines, kCustomers);
  fleet.Start();
  RandomLoad load = MakeLoad(fleet, 5);
  const Store::Copy copy = fleet.store().MakeCopy();
  fleet.PublishConfiguration(2, 1);
  fleet.PlayFor(kApplyBound, std::ref(load));
  RestoreStore(fleet, load, copy);
  fleet.routers()[3]->Kill();
  fleet.PlayFor(milliseconds(300), std::ref(load));
  fleet.routers()[3]->Start();
  fleet.PlayFor(seconds(2), std::ref(load));
  const auto check = fleet.SendReadinessCheck(3);
  const auto call = fleet.Send(3, "c0", {{7, 50}}, AddedPath(1));
  fleet.PlayFor(seconds(1));
  CHECK(check->response.starts_with("HTTP/1.1 200"));
  CHECK(call->is_served());
}

}  // namespace
}  // namespace corianderpost::soak
