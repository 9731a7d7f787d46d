#include "decisions/link_budget.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace corianderpost {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart(seconds(100));

// A link whose queue grows with what is sent beyond its capacity. Senders want
// `wanted` bytes a second and keep to the budget. Returns the longest queueing
// in the second half of 40 s, and the bytes a second sent then.
struct SimulationResult {
  double longest_queue_seconds = 0;
  double sent_per_second = 0;
};

SimulationResult Simulate(LinkBudget& budget, double capacity, double demand,
                          double other_traffic = 0) {
  constexpr double kStep = 0.1;
  double queue = 0;
  SimulationResult result;
  for (int i = 0; i < 400; ++i) {
    const TimePoint now = kStart + milliseconds(100 * i);
    const double sent = std::min(demand, budget.BytesPerSecond());
    queue = std::max(0.0, queue + (sent + other_traffic - capacity) * kStep);
    budget.SetUsage(sent);
    if (i % 4 == 0) {
      budget.RecordRoundTrip(
          now, milliseconds(60) +
                   Duration(static_cast<std::int64_t>(1e6 * queue / capacity)));
    }
    if (i >= 200) {
      result.longest_queue_seconds =
          std::max(result.longest_queue_seconds, queue / capacity);
      result.sent_per_second += sent / 200;
    }
  }
  return result;
}

TEST_CASE("The budget begins with a part of the known capacity") {
  CHECK(LinkBudget(1e6).BytesPerSecond() == doctest::Approx(6e5));
  CHECK(LinkBudget(0).BytesPerSecond() == 0);
}

TEST_CASE("The budget finds a link that is wider than known") {
  LinkBudget budget(1e6);
  const SimulationResult result = Simulate(budget, 4e6, 10e6);
  CHECK(result.sent_per_second > 2.4e6);
  CHECK(result.longest_queue_seconds < 0.5);
}

TEST_CASE("The budget makes room for other traffic on the link") {
  LinkBudget budget(4e6);
  const SimulationResult result = Simulate(budget, 4e6, 10e6, 3e6);
  CHECK(result.sent_per_second < 1.2e6);
  CHECK(result.longest_queue_seconds < 0.5);
}

TEST_CASE("The budget does not grow while it is not used") {
  LinkBudget budget(1e6);
  Simulate(budget, 4e6, 1e5);
  CHECK(budget.BytesPerSecond() == doctest::Approx(6e5));
}

TEST_CASE("One late round trip does not shrink the budget") {
  LinkBudget budget(1e6);
  for (int i = 0; i < 50; ++i) {
    const TimePoint now = kStart + milliseconds(200 * i);
    budget.RecordRoundTrip(now, milliseconds(i % 4 == 0 ? 400 : 60));
  }
  CHECK(budget.BytesPerSecond() == doctest::Approx(6e5));
}

}  // namespace
}  // namespace corianderpost
