// The fleet's promises, over several cores with fakes.
#include <doctest/doctest.h>

#include "central_queue.h"
#include "deployments.h"
#include "soak_run.h"

namespace corianderpost::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSteps = 20'000;

std::string Describe(const std::vector<Violation>& violations) {
  return violations.empty() ? "" : violations.front().what;
}

TEST_CASE("a randomised run with faults keeps every promise") {
  for (const std::uint64_t seed : {1, 2, 3}) {
    CAPTURE(seed);
    const SoakResult result = RunSoak(seed, kSteps / 2, Guards());
    CHECK(Describe(result.violations) == "");
    CHECK(result.stats.whole > 0);
  }
}

TEST_CASE("a randomised run gives the same result again") {
  const SoakResult first = RunSoak(4, 2'000, Guards());
  const SoakResult second = RunSoak(4, 2'000, Guards());
  CHECK(first.stats.messages == second.stats.messages);
  CHECK(first.stats.whole == second.stats.whole);
}

// A guard, the first seed to try, and what a run shows without it.
struct GuardOff {
  std::string guard;
  std::uint64_t seed;
  std::string violation;
};

// Seeds to try, as any change of the core moves the run that needs a guard.
constexpr std::uint64_t kSeedsToTry = 80;

// Returns the first seed from `from` on whose run shows the violation without
// the guard; 0 if there is none.
std::uint64_t FindNeed(const GuardOff& guard) {
  for (std::uint64_t i = 0; i < kSeedsToTry; ++i) {
    const SoakResult result =
        RunSoak(guard.seed + i, kSteps, WithGuardOff(guard.guard));
    if (Describe(result.violations).find(guard.violation) !=
        std::string::npos) {
      return guard.seed + i;
    }
  }
  return 0;
}

TEST_CASE("without a guard, the same run breaks the guard's promise") {
  const GuardOff cases[] = {
      {"cold_needs_lease", 68, "at once, cold for"},
      {"grants_expire", 43, "at once, cold for"},
      {"grants_are_used_once", 26, "at once, cold for"},
      {"key_has_home", 5, "once-only work ran"},
      {"revisions_only_grow", 3, "configuration-never-reverts"},
      {"peers_spread_revisions", 1, "is in force"},
      {"majority_to_serve", 2, "is in force"},
      {"lost_means_unknown", 1, "not-run of request that a target"},
      {"quarantine", 1, "one request crashed"},
      {"drain_finishes_requests", 1, "graceful stop cut off"},
  };
  for (const GuardOff& it : cases) {
    CAPTURE(it.guard);
    const std::uint64_t seed = FindNeed(it);
    MESSAGE(it.guard << " is needed by seed " << seed);
    REQUIRE(seed != 0);
    CHECK(Describe(RunSoak(seed, kSteps, Guards()).violations) == "");
  }
}

// Whether retries stay within a tenth of the requests and 20 a router while
// all engines restart again and again.
bool AreRetriesWithinBudget(const Guards& guards) {
  FleetOptions options = RanwalaOptions(12);
  options.engines = 6;
  options.guards = guards;
  FakeFleet fleet(options);
  fleet.RunFor(seconds(5));
  fleet.SetLoad({{0, 40, {}, false}});
  for (int i = 0; i < 40; ++i) {
    fleet.RestartEngine(i % options.engines, milliseconds(1));
    fleet.RestartEngine((i + 3) % options.engines, milliseconds(1));
    fleet.RunFor(milliseconds(1'500));
  }
  const FleetStats& stats = fleet.stats();
  CAPTURE(stats.retries);
  CAPTURE(stats.requests);
  return static_cast<double>(stats.retries) <=
         0.1 * static_cast<double>(stats.requests) +
             20.0 * static_cast<double>(stats.lives);
}

TEST_CASE("retries stay within the budget while targets restart") {
  CHECK(AreRetriesWithinBudget(Guards()));
  CHECK_FALSE(AreRetriesWithinBudget(WithGuardOff("retry_budget")));
}

struct Gaps {
  double fleet = 0;
  double bound = 0;
  double share_of_central = 0;
};

// Measures the flooding customers' gap beside the central queue's.
Gaps MeasureGaps(const Guards& guards) {
  FleetOptions options = RanwalaOptions(5);
  options.guards = guards;
  const std::vector<double> weights(kFlooders.size(), 1.0);
  FakeFleet fleet(options);
  CentralQueue central(options, FloodLoad(options));
  fleet.RunFor(seconds(5));
  fleet.SetLoad(FloodLoad(options));
  fleet.RunFor(seconds(20));
  central.RunFor(seconds(20));
  GapMeter fleet_gap(kFlooders, weights);
  GapMeter central_gap(kFlooders, weights);
  const std::uint64_t fleet_before = fleet.UnitsTotal();
  const std::uint64_t central_before = central.UnitsTotal();
  for (int i = 0; i < 40; ++i) {
    fleet_gap.Sample([&](int it) { return fleet.UnitsOf(it); });
    central_gap.Sample([&](int it) { return central.UnitsOf(it); });
    fleet.RunFor(seconds(1));
    central.RunFor(seconds(1));
  }
  const auto served = static_cast<double>(fleet.UnitsTotal() - fleet_before);
  // Counters cross regions every half second.
  const double exchanged = served / 40 * 0.5;
  return {fleet_gap.largest(), 2 * central_gap.largest() + exchanged,
          served / static_cast<double>(central.UnitsTotal() - central_before)};
}

TEST_CASE("backlogged customers' gap stays within the bound, and slots used") {
  const Gaps gaps = MeasureGaps(Guards());
  CHECK(gaps.fleet <= gaps.bound);
  CHECK(gaps.share_of_central >= 0.97);
}

TEST_CASE("without order by service the gap breaks its bound") {
  const Gaps gaps = MeasureGaps(WithGuardOff("fair_order"));
  CHECK(gaps.fleet > gaps.bound);
}

TEST_CASE("without spreading demand slots stay unused or unfairly given") {
  const Gaps gaps = MeasureGaps(WithGuardOff("spreads_demand"));
  CHECK((gaps.fleet > gaps.bound || gaps.share_of_central < 0.97));
}

// Units that a newcomer gets ahead of a customer that was backlogged all along.
double NewcomersLead(const Guards& guards) {
  FleetOptions options = RanwalaOptions(6);
  options.guards = guards;
  FakeFleet fleet(options);
  fleet.RunFor(seconds(5));
  fleet.SetLoad({{0, 200, {}, false}});
  fleet.RunFor(seconds(40));
  fleet.SetLoad({{0, 150, {}, false}, {1, 150, {}, false}});
  fleet.RunFor(seconds(2));
  const std::uint64_t old_before = fleet.UnitsOf(0);
  const std::uint64_t new_before = fleet.UnitsOf(1);
  fleet.RunFor(seconds(15));
  return static_cast<double>(fleet.UnitsOf(1) - new_before) -
         static_cast<double>(fleet.UnitsOf(0) - old_before);
}

TEST_CASE("idle time earns no credit") {
  // About a second's work of the whole fleet.
  constexpr double kAllowed = 20'000;
  CHECK(NewcomersLead(Guards()) < kAllowed);
  CHECK(NewcomersLead(WithGuardOff("idle_earns_no_credit")) > kAllowed);
}

// Whether a router that restarts with its clock an hour back serves 6 s later.
bool ServesAfterClockWentBack(const Guards& guards) {
  FleetOptions options = RanwalaOptions(7);
  options.guards = guards;
  FakeFleet fleet(options);
  fleet.RunFor(seconds(10));
  fleet.RestartRouter(2, true);
  fleet.RunFor(seconds(6));
  return fleet.IsServing(2);
}

TEST_CASE("a restarted router serves again, though its clock went back") {
  CHECK(ServesAfterClockWentBack(Guards()));
  CHECK_FALSE(ServesAfterClockWentBack(WithGuardOff("incarnations_go_on")));
}

TEST_CASE("a cut-off minority stops and takes its part after the cut") {
  FakeFleet fleet(RanwalaOptions(8));
  fleet.RunFor(seconds(10));
  fleet.CutZones({"kandy"});
  fleet.RunFor(seconds(4));
  CHECK_FALSE(fleet.IsServing(2));
  CHECK(fleet.IsServing(0));
  fleet.HealCuts();
  fleet.RunFor(seconds(3));
  CHECK(fleet.IsServing(2));
}

TEST_CASE("a configuration outage stops nobody") {
  FakeFleet fleet(RanwalaOptions(9));
  fleet.RunFor(seconds(10));
  fleet.SetConfigurationDown(true);
  fleet.RunFor(seconds(120));
  for (int i = 0; i < fleet.router_count(); ++i) {
    CAPTURE(i);
    CHECK(fleet.IsServing(i));
  }
}

TEST_CASE("a restarted engine gets full work again soon after it is warm") {
  FleetOptions options = RanwalaOptions(10);
  options.engines = 3;
  FakeFleet fleet(options);
  fleet.RunFor(seconds(5));
  fleet.SetLoad({{0, 60, {}, false}});
  fleet.RunFor(seconds(10));
  fleet.RestartEngine(0, seconds(6));
  fleet.RunFor(seconds(10));
  const int all = options.engines * options.slots;
  CHECK(fleet.BusySlots() >= all - 2);
  CHECK(Describe(fleet.violations()) == "");
}

// A fleet too large for full exchange, with as much load for each router.
struct LargeFleet {
  double bytes_a_second_a_node = 0;
  double gap = 0;
  double one_interval = 0;
};

LargeFleet MeasureLargeFleet(int routers) {
  FleetOptions options = RanwalaOptions(13);
  options.routers = routers;
  options.engines = 3 * routers;
  FakeFleet fleet(options);
  fleet.RunFor(seconds(4));
  const double rate = 12.0 * routers;
  fleet.SetLoad({{0, rate, {0, 1, 2, 3}, false},
                 {1, rate, {}, false},
                 {2, rate, {}, false}});
  fleet.RunFor(seconds(8));
  const FleetStats before = fleet.stats();
  const std::uint64_t units = fleet.UnitsTotal();
  GapMeter gap(kFlooders, {1.0, 1.0, 1.0});
  for (int i = 0; i < 10; ++i) {
    gap.Sample([&](int it) { return fleet.UnitsOf(it); });
    fleet.RunFor(seconds(1));
  }
  const double bytes = static_cast<double>(fleet.stats().bytes - before.bytes);
  return {bytes / 10 / routers, gap.largest(),
          static_cast<double>(fleet.UnitsTotal() - units) / 10 * 0.5};
}

TEST_CASE("a growing fleet keeps its gap and 18 KB/s of control a node") {
  for (const int routers : {10, 30, 60}) {
    CAPTURE(routers);
    const LargeFleet fleet = MeasureLargeFleet(routers);
    CHECK(fleet.bytes_a_second_a_node <= 18'000);
    CHECK(fleet.gap <= fleet.one_interval);
  }
}

TEST_CASE("a large fleet passes a randomised run with faults") {
  const SoakResult result = RunSoak(1, 4'000, Guards(), 20);
  CHECK(Describe(result.violations) == "");
  CHECK(result.stats.whole > 0);
}

TEST_CASE("configuration calls grow far less than the fleet") {
  const auto calls_of = [](int routers) {
    FleetOptions options = RanwalaOptions(11);
    options.routers = routers;
    FakeFleet fleet(options);
    fleet.RunFor(seconds(5));
    const std::uint64_t before = fleet.stats().configuration_calls;
    fleet.RunFor(seconds(10));
    return fleet.stats().configuration_calls - before;
  };
  CHECK(calls_of(30) <= 3 * calls_of(6));
}

}  // namespace
}  // namespace corianderpost::testing
