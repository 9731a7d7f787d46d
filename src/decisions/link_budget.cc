#include "decisions/link_budget.h"

#include <algorithm>

namespace corianderpost {
namespace {

// Initial budget as a fraction of the configured capacity; responses and
// control traffic need the rest.
constexpr double kInitialFraction = 0.6;
// Bounds of the budget as multiples of the configured capacity.
constexpr double kFloorFactor = 0.1;
constexpr double kCeilingFactor = 10.0;
// Interval between adjustments. Each uses the shortest round trip since the
// previous one, because a busy router delays single round trips.
constexpr Duration kWindowDuration = std::chrono::milliseconds(400);
// A queueing delay from which responses are noticeably late. Below half of it,
// the budget may grow.
constexpr Duration kLongQueueDelay = std::chrono::milliseconds(30);
// A queueing delay from which requests miss their latency goals.
constexpr Duration kSevereQueueDelay = std::chrono::milliseconds(150);
// The budget is multiplied by one of these per window.
constexpr double kShrinkFactor = 0.7;
constexpr double kFastShrinkFactor = 0.3;
constexpr double kGrowthFactor = 1.15;
// The budget only grows if at least this fraction of it is used.
constexpr double kMinUtilization = 0.7;

}  // namespace

LinkBudget::LinkBudget(double bytes_per_second)
    : floor_(kFloorFactor * bytes_per_second),
      ceiling_(kCeilingFactor * bytes_per_second),
      budget_(kInitialFraction * bytes_per_second) {}

void LinkBudget::RecordRoundTrip(TimePoint now, Duration round_trip) {
  if (round_trip <= Duration(0)) {
    return;
  }
  min_round_trip_ = std::min(min_round_trip_, round_trip);
  window_min_round_trip_ = std::min(window_min_round_trip_, round_trip);
  if (now - window_start_ >= kWindowDuration) {
    Adjust(now);
  }
}

void LinkBudget::Adjust(TimePoint now) {
  queueing_delay_ = window_min_round_trip_ - min_round_trip_;
  window_start_ = now;
  window_min_round_trip_ = Duration::max();
  if (queueing_delay_ >= kLongQueueDelay) {
    const double factor = queueing_delay_ >= kSevereQueueDelay
                              ? kFastShrinkFactor
                              : kShrinkFactor;
    budget_ = std::max(floor_, factor * std::min(budget_, usage_));
  } else if (queueing_delay_ < kLongQueueDelay / 2 &&
             usage_ >= kMinUtilization * budget_) {
    budget_ = std::min(ceiling_, kGrowthFactor * budget_);
  }
}

}  // namespace corianderpost
