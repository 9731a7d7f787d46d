// Plays requests whose prompts crash engines against router processes.
#include <doctest/doctest.h>

#include <random>

#include "fleet/engine_fleet.h"

namespace corianderpost::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The requirement: of the requests with a part that crashes targets, at most
// this many reach targets later than this after the fifth crash.
constexpr std::size_t kMaxLateArrivals = 3;
constexpr Duration kContactTime = seconds(4);
constexpr std::size_t kNamedAfterCrashes = 5;
// From twice the contact time on, sound requests are served at least half as
// often as before.
constexpr double kMinServedRatio = 0.5;

constexpr std::uint64_t kCrashingPart = 0xdead;
// Follows the crashing part in each prompt, and sound requests use it too.
constexpr std::uint64_t kSharedWithCrashing = 500;
constexpr double kRequestsPerSecond = 150;
constexpr double kCrashingShare = 0.06;

double ServedFraction(const EngineFleet& fleet, TimePoint from, TimePoint to) {
  double asked = 0;
  double served = 0;
  for (const auto& it : fleet.calls()) {
    const bool is_sound = it->prompt[1].id != kCrashingPart;
    if (is_sound && it->began_at >= from && it->began_at < to) {
      ++asked;
      served += it->is_served() ? 1 : 0;
    }
  }
  return asked == 0 ? 0 : served / asked;
}

std::size_t CrashingArrivals(EngineFleet& fleet, TimePoint from) {
  std::size_t n = 0;
  for (const auto& engine : fleet.engines()) {
    for (const Arrival& it : engine->arrivals()) {
      n += it.crashing_part != 0 && it.at >= from ? 1 : 0;
    }
  }
  return n;
}

TEST_CASE("Requests with a prompt part that crashes engines are rejected") {
  const std::uint64_t seed = 1;
  INFO("seed ", seed);
  std::mt19937_64 random(seed);
  const std::vector<std::string> customers = {"c0", "c1", "c2", "c3", "c4"};
  EngineFleet fleet(203, 6, 12, customers);
  for (const auto& it : fleet.engines()) {
    it->crashing_parts = {kCrashingPart};
  }
  fleet.Start();
  const auto load = [&](double crashing_share) {
    return [&, crashing_share, next = fleet.Now()](TimePoint now) mutable {
      std::exponential_distribution<double> gap(kRequestsPerSecond);
      for (; next <= now;
           next += Duration(static_cast<std::int64_t>(1e6 * gap(random)))) {
        std::vector<PromptPart> prompt = {{1 + random() % 3, 300}};
        if (std::uniform_real_distribution<double>(0, 1)(random) <
            crashing_share) {
          prompt.push_back({kCrashingPart, 200});
          prompt.push_back({kSharedWithCrashing, 200});
        } else {
          prompt.push_back({kSharedWithCrashing + random() % 60, 200});
        }
        prompt.push_back({random(), 300});
        fleet.Send(random() % fleet.routers().size(),
                   customers[random() % customers.size()], prompt);
      }
    };
  };
  const TimePoint start = fleet.Now();
  fleet.PlayFor(seconds(2), load(0));
  const TimePoint fault_at = fleet.Now();
  fleet.PlayFor(seconds(6), load(kCrashingShare));
  // A router that returns has to learn of the part from its peers.
  fleet.routers()[3]->Kill();
  fleet.PlayFor(milliseconds(500), load(kCrashingShare));
  fleet.routers()[3]->Start();
  fleet.PlayFor(seconds(5), load(kCrashingShare));
  const TimePoint end = fleet.Now();
  fleet.PlayFor(seconds(2));

  const std::vector<TimePoint> crashes = fleet.Crashes();
  INFO("crashes ", crashes.size());
  REQUIRE_FALSE(crashes.empty());
  const TimePoint named_at =
      crashes[std::min(crashes.size(), kNamedAfterCrashes) - 1];
  INFO("ms from the first such request to the last counted crash ",
       (named_at - fault_at) / milliseconds(1));
  CHECK(CrashingArrivals(fleet, named_at + kContactTime) <= kMaxLateArrivals);
  REQUIRE(named_at + 2 * kContactTime < end);
  CHECK(ServedFraction(fleet, named_at + 2 * kContactTime, end) >=
        kMinServedRatio * ServedFraction(fleet, start, fault_at));
}

}  // namespace
}  // namespace corianderpost::soak
