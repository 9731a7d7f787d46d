#include "decisions/retry_budget.h"

#include <algorithm>

namespace corianderpost {
namespace {

// Fraction of the allowed retries that is used. The margin is needed because
// the limit must also hold in windows that start at other times than this
// router's.
constexpr double kUsedFraction = 0.7;

}  // namespace

void RetryBudget::RecordRequest(TimePoint now) { requests_.push_back(now); }

void RetryBudget::Expire(TimePoint now, Duration window) {
  while (!requests_.empty() && requests_.front() < now - window) {
    requests_.pop_front();
  }
  while (!retries_.empty() && retries_.front() < now - window) {
    retries_.pop_front();
  }
}

bool RetryBudget::TrySpend(TimePoint now, const RetryBudgetLimits& limits,
                           int routers) {
  Expire(now, limits.window);
  const double max_retries =
      kUsedFraction * (limits.ratio * static_cast<double>(requests_.size()) +
                       limits.slack / std::max(1, routers));
  if (static_cast<double>(retries_.size()) + 1.0 > max_retries) {
    return false;
  }
  retries_.push_back(now);
  return true;
}

}  // namespace corianderpost
