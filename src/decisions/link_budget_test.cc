#include "decisions/link_budget.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace corianderpost {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart(seconds(100));

// Values of the second half of a 40 s simulation. The link's queue grows while
// the traffic exceeds `capacity`. Senders have `demand` to send and keep to the
// budget, `other_traffic` does not; all three are in bytes per second.
struct SimulationResult {
  double longest_queue_seconds = 0;
  double sent_per_second = 0;
};

SimulationResult Simulate(LinkBudget& budget, double capacity, double demand,
                          double other_traffic = 0) {
  constexpr double kStepSeconds = 0.1;
  double queue_bytes = 0;
  SimulationResult result;
  for (int i = 0; i < 400; ++i) {
    const TimePoint now = kStart + milliseconds(100 * i);
    const double sent = std::min(demand, budget.BytesPerSecond());
    queue_bytes = std::max(
        0.0, queue_bytes + (sent + other_traffic - capacity) * kStepSeconds);
    budget.SetUsage(sent);
    if (i % 4 == 0) {
      budget.RecordRoundTrip(
          now, milliseconds(60) + Duration(static_cast<std::int64_t>(
                                      1e6 * queue_bytes / capacity)));
    }
    if (i >= 200) {
      result.longest_queue_seconds =
          std::max(result.longest_queue_seconds, queue_bytes / capacity);
      result.sent_per_second += sent / 200;
    }
  }
  return result;
}

TEST_CASE("The budget starts at a fraction of the configured capacity") {
  CHECK(LinkBudget(1e6).BytesPerSecond() == doctest::Approx(6e5));
  CHECK(LinkBudget(0).BytesPerSecond() == 0);
}

TEST_CASE("The budget grows on a link with more than the configured capacity") {
  LinkBudget budget(1e6);
  const SimulationResult result = Simulate(budget, 4e6, 10e6);
  CHECK(result.sent_per_second > 2.4e6);
  CHECK(result.longest_queue_seconds < 0.5);
}

TEST_CASE("The budget shrinks when other traffic uses the link") {
  LinkBudget budget(4e6);
  const SimulationResult result = Simulate(budget, 4e6, 10e6, 3e6);
  CHECK(result.sent_per_second < 1.2e6);
  CHECK(result.longest_queue_seconds < 0.5);
}

TEST_CASE("The budget does not grow while it is underused") {
  LinkBudget budget(1e6);
  Simulate(budget, 4e6, 1e5);
  CHECK(budget.BytesPerSecond() == doctest::Approx(6e5));
}

TEST_CASE("Isolated late round trips do not shrink the budget") {
  LinkBudget budget(1e6);
  for (int i = 0; i < 50; ++i) {
    const TimePoint now = kStart + milliseconds(200 * i);
    budget.RecordRoundTrip(now, milliseconds(i % 4 == 0 ? 400 : 60));
  }
  CHECK(budget.BytesPerSecond() == doctest::Approx(6e5));
}

}  // namespace
}  // namespace corianderpost
