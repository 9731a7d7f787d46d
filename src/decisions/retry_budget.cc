#include "decisions/retry_budget.h"

#include <algorithm>

namespace corianderpost {
namespace {

// Part of the allowance that is used; the rest covers windows that slide
// differently here and at the users.
constexpr double kUsedPart = 0.7;

}  // namespace

void RetryBudget::NoteRequest(TimePoint now) { requests_.push_back(now); }

void RetryBudget::Expire(TimePoint now, Duration window) {
  while (!requests_.empty() && requests_.front() < now - window) {
    requests_.pop_front();
  }
  while (!repeats_.empty() && repeats_.front() < now - window) {
    repeats_.pop_front();
  }
}

bool RetryBudget::TrySpend(TimePoint now, const RetryBudgetLimits& limits,
                           int routers) {
  Expire(now, limits.window);
  const double allowed =
      kUsedPart * (limits.ratio * static_cast<double>(requests_.size()) +
                   limits.slack / std::max(1, routers));
  if (static_cast<double>(repeats_.size()) + 1.0 > allowed) {
    return false;
  }
  repeats_.push_back(now);
  return true;
}

}  // namespace corianderpost
