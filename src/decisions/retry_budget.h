// This router's part of the fleet's budget of repeated sends.
//
// The users allow `ratio` repeats a request plus `slack` in each window, over
// all routers and for each service. A router spends at most `ratio` of its own
// requests and its part of the slack, so the sum holds without an exchange.
#ifndef CORIANDERPOST_DECISIONS_RETRY_BUDGET_H_
#define CORIANDERPOST_DECISIONS_RETRY_BUDGET_H_

#include <deque>

#include "corianderpost/clock.h"

namespace corianderpost {

struct RetryBudgetLimits {
  double ratio = 0.2;
  Duration window = std::chrono::seconds(10);
  double slack = 0;
  friend bool operator==(const RetryBudgetLimits&,
                         const RetryBudgetLimits&) = default;
};

// Not thread-safe.
class RetryBudget {
 public:
  // Counts a caller's request.
  void RecordRequest(TimePoint now);
  // Takes one repeat; returns false, taking nothing, if there is none.
  // `routers` is how many share the slack; at least 1.
  bool TrySpend(TimePoint now, const RetryBudgetLimits& limits, int routers);

 private:
  void Expire(TimePoint now, Duration window);
  std::deque<TimePoint> requests_;
  std::deque<TimePoint> retries_;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_DECISIONS_RETRY_BUDGET_H_
