// Changes of the configuration beside callers that keep their connections.
#include <doctest/doctest.h>
#include <signal.h>

#include "fleet/engine_fleet.h"
#include "fleet/kept_callers.h"

namespace corianderpost::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kRouters = 6;
constexpr int kEngines = 6;
constexpr int kCallers = 150;
constexpr Duration kChangeInterval = milliseconds(400);
// By then, all routers serve with a version that was just written.
constexpr Duration kApplyTime = milliseconds(1500);
constexpr int kLargeRouteCount = 1500;
const std::vector<std::string> kCustomers = {"c0", "c1", "c2"};
const std::vector<std::string> kPaths = {"/once/", "/read/", "/stream/"};

// Counts of calls by what became of them.
struct Outcomes {
  std::size_t complete = 0;
  std::size_t refused = 0;
  std::size_t cut = 0;
};

Outcomes CountOutcomes(const KeptCallers& callers) {
  Outcomes outcomes;
  for (const auto& it : callers.calls()) {
    if (it->was_cut) {
      ++outcomes.cut;
      MESSAGE("cut: ", it->request_id, " at router ", it->router, ", path ",
              it->path, ", status ", it->status);
    } else if (it->is_complete) {
      ++(it->status == 200 ? outcomes.complete : outcomes.refused);
    }
  }
  return outcomes;
}

// Lets the open calls end, and checks that each has an answer.
void CheckAllAnswered(EngineFleet& fleet, KeptCallers& callers) {
  callers.Stop();
  fleet.PlayFor(seconds(5));
  const Outcomes outcomes = CountOutcomes(callers);
  MESSAGE("complete ", outcomes.complete, ", refused ", outcomes.refused);
  CHECK(outcomes.complete > callers.calls().size() / 2);
  CHECK(outcomes.cut == 0);
  CHECK(callers.OpenCount() == 0);
  CHECK(callers.early_closes() == 0);
}

TEST_CASE(
    "Every request on a kept connection is answered beside changes of the "
    "configuration") {
  const std::uint64_t seed = 1;
  INFO("seed ", seed);
  EngineFleet fleet(230, kRouters, kEngines, kCustomers);
  fleet.Start();
  KeptCallers callers(fleet, kCustomers, kPaths, kCallers, seconds(1), seed);
  std::uint64_t version = 1;
  const auto publish = [&](int added_routes, Duration route_timeout) {
    platform::StandinRules rules;
    rules.route_timeout = route_timeout;
    fleet.PublishConfiguration(++version, added_routes, rules);
    fleet.PlayFor(kChangeInterval, std::ref(callers));
  };
  for (int round = 0; round < 4; ++round) {
    publish(kLargeRouteCount + round, seconds(4));
    publish(0, seconds(2));
    fleet.SetCustomers({"c0", "c1"});
    publish(kLargeRouteCount, seconds(2));
    fleet.SetCustomers(kCustomers);
    publish(kLargeRouteCount, seconds(4));
    for (const auto& it : fleet.routers()) {
      it->Signal(SIGHUP);
    }
    fleet.PlayFor(kChangeInterval, std::ref(callers));
  }
  CheckAllAnswered(fleet, callers);
}

TEST_CASE("A shorter idle timeout closes no connection that callers may use") {
  const std::uint64_t seed = 2;
  INFO("seed ", seed);
  EngineFleet fleet(231, kRouters, kEngines, kCustomers);
  fleet.Start();
  KeptCallers callers(fleet, kCustomers, kPaths, kCallers, seconds(3), seed);
  std::uint64_t version = 1;
  const auto publish = [&](Duration idle_timeout) {
    platform::StandinRules rules;
    rules.idle_timeout = idle_timeout;
    fleet.PublishConfiguration(++version, 0, rules);
  };
  for (int round = 0; round < 2; ++round) {
    publish(seconds(10));
    fleet.PlayFor(kApplyTime, std::ref(callers));
    callers.SetIdleTimeout(seconds(10));
    fleet.PlayFor(seconds(3), std::ref(callers));
    callers.SetIdleTimeout(milliseconds(500));
    publish(milliseconds(500));
    fleet.PlayFor(seconds(3), std::ref(callers));
  }
  CheckAllAnswered(fleet, callers);
}

}  // namespace
}  // namespace corianderpost::soak
