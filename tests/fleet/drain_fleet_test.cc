// Stops one router of several in calm while long requests arrive.
#include <doctest/doctest.h>

#include <set>

#include "fleet/engine_fleet.h"

namespace corianderpost::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kRouters = 3;
constexpr int kEngines = 4;
constexpr seconds kGrace{8};
// Callers arrive for this long after SIGTERM.
constexpr Duration kArrivalTime = milliseconds(2500);
constexpr Duration kInterval = milliseconds(25);
const std::vector<std::string> kCustomers = {"c0"};

std::set<std::string> ArrivedIds(EngineFleet& fleet) {
  std::set<std::string> ids;
  for (const auto& engine : fleet.engines()) {
    for (const Arrival& it : engine->arrivals()) {
      ids.insert(it.request_id);
    }
  }
  return ids;
}

struct DrainResult {
  int served = 0;
  int rejected = 0;
  // Of the rejected ones, those that reached an engine.
  int rejected_untruly = 0;
  int failed = 0;
  // Reached an engine, and got no answer.
  int cut = 0;
  int rejected_early = 0;
};

// `event_interval` is a quarter of the time that a request takes.
DrainResult PlayDrain(int network, milliseconds event_interval) {
  EngineFleet fleet(network, kRouters, kEngines, kCustomers);
  for (const auto& it : fleet.routers()) {
    it->SetGracePeriod(kGrace);
  }
  fleet.Start();
  for (const auto& it : fleet.engines()) {
    it->stream.interval = event_interval;
  }
  TimePoint next = fleet.Now();
  std::uint64_t part = 1;
  const auto load = [&](TimePoint now) {
    for (; next <= now; next += kInterval) {
      fleet.Send(0, "c0", {{1, 300}, {++part, 200}}, "/once/");
    }
  };
  fleet.PlayFor(seconds(1), load);
  const TimePoint stopped_at = fleet.Now();
  fleet.routers()[0]->Stop(stopped_at);
  while (!fleet.routers()[0]->HasExited() &&
         !fleet.routers()[0]->HasExceededGracePeriod(fleet.Now())) {
    fleet.PlayFor(milliseconds(10), load);
  }
  CHECK(fleet.routers()[0]->HasExited());
  MESSAGE("exited after ", (fleet.Now() - stopped_at).count() / 1000, " ms");
  fleet.PlayFor(milliseconds(200));
  const std::set<std::string> arrived = ArrivedIds(fleet);
  DrainResult result;
  for (std::size_t i = 0; i < fleet.calls().size(); ++i) {
    const EngineCall& call = *fleet.calls()[i];
    const bool has_arrived = arrived.contains("c" + std::to_string(i + 1));
    if (call.response.starts_with("HTTP/1.1 200")) {
      ++result.served;
    } else if (call.is_rejected()) {
      ++result.rejected;
      result.rejected_untruly += has_arrived ? 1 : 0;
      result.rejected_early +=
          call.began_at < stopped_at + kArrivalTime ? 1 : 0;
    } else if (!call.response.empty()) {
      ++result.failed;
    } else if (has_arrived) {
      ++result.cut;
    }
  }
  MESSAGE("served ", result.served, ", rejected ", result.rejected, ", failed ",
          result.failed, ", cut ", result.cut);
  return result;
}

TEST_CASE("A stopping router answers or rejects each long request") {
  const DrainResult result = PlayDrain(237, milliseconds(620));
  CHECK(result.served > 0);
  CHECK(result.rejected > 0);
  CHECK(result.rejected_untruly == 0);
  CHECK(result.rejected_early == 0);
  CHECK(result.failed == 0);
  CHECK(result.cut == 0);
}

TEST_CASE("A stopping router serves short requests while callers arrive") {
  const DrainResult result = PlayDrain(238, milliseconds(20));
  CHECK(result.rejected_untruly == 0);
  CHECK(result.rejected_early == 0);
  CHECK(result.failed == 0);
  CHECK(result.cut == 0);
}

}  // namespace
}  // namespace corianderpost::soak
