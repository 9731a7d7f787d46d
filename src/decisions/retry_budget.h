// This router's part of the fleet's retry budget.
//
// For each service, all routers together may send `ratio` retries per request
// plus `slack` retries in each time window. Each router limits itself to
// `ratio` times its local requests plus an equal part of the slack, so the
// fleet stays within the limit without coordination.
#ifndef CORIANDERPOST_DECISIONS_RETRY_BUDGET_H_
#define CORIANDERPOST_DECISIONS_RETRY_BUDGET_H_

#include <deque>

#include "corianderpost/clock.h"

namespace corianderpost {

struct RetryBudgetLimits {
  // Retries allowed per request.
  double ratio = 0.2;
  Duration window = std::chrono::seconds(10);
  // Retries allowed in each window in addition to the ratio, for the fleet.
  double slack = 0;
  friend bool operator==(const RetryBudgetLimits&,
                         const RetryBudgetLimits&) = default;
};

// Retry budget of one service in a sliding window. Not thread-safe.
class RetryBudget {
 public:
  // Counts a caller's request, which raises the budget.
  void RecordRequest(TimePoint now);
  // Spends one retry and returns true, or returns false if the budget is
  // exhausted. `routers` is the number of routers that share the slack; values
  // below 1 count as 1.
  bool TrySpend(TimePoint now, const RetryBudgetLimits& limits, int routers);

 private:
  // Drops requests and retries that are older than the window.
  void Expire(TimePoint now, Duration window);
  std::deque<TimePoint> requests_;
  std::deque<TimePoint> retries_;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_DECISIONS_RETRY_BUDGET_H_
