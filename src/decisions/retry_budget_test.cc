#include "decisions/retry_budget.h"

#include <doctest/doctest.h>

namespace corianderpost {
namespace {

using std::chrono::seconds;

const TimePoint kStart(seconds(100));

int SpendAll(RetryBudget& budget, TimePoint now,
             const RetryBudgetLimits& limits, int routers) {
  int spent = 0;
  while (budget.TrySpend(now, limits, routers)) {
    ++spent;
  }
  return spent;
}

TEST_CASE("RetryBudgets of all routers together stay within ratio and slack") {
  const RetryBudgetLimits limits{0.2, seconds(10), 52};
  constexpr int kRouters = 6;
  int spent = 0;
  for (int router = 0; router < kRouters; ++router) {
    RetryBudget budget;
    for (int i = 0; i < 100; ++i) {
      budget.RecordRequest(kStart);
    }
    spent += SpendAll(budget, kStart, limits, kRouters);
  }
  CHECK(spent > 0);
  CHECK(spent <= 0.2 * 100 * kRouters + 52);
}

TEST_CASE("RetryBudget allows retries again after the window") {
  const RetryBudgetLimits limits{0.2, seconds(10), 20};
  RetryBudget budget;
  const int first = SpendAll(budget, kStart, limits, 1);
  CHECK(first > 0);
  CHECK(SpendAll(budget, kStart + seconds(5), limits, 1) == 0);
  CHECK(SpendAll(budget, kStart + seconds(11), limits, 1) == first);
}

}  // namespace
}  // namespace corianderpost
