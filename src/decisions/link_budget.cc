#include "decisions/link_budget.h"

#include <algorithm>

namespace corianderpost {
namespace {

// Part of the known capacity that bodies may take before anything is measured;
// answers and control traffic need the rest.
constexpr double kFirstPart = 0.6;
// Bounds of the budget as multiples of the known capacity.
constexpr double kFloorPart = 0.1;
constexpr double kCeilingPart = 10.0;
// Round trips are judged by the shortest in this time, since a busy router
// delays single ones.
constexpr Duration kWindow = std::chrono::milliseconds(400);
// A queue of this length on the link delays answers noticeably; one half as
// long leaves room to grow.
constexpr Duration kLongQueue = std::chrono::milliseconds(30);
// A queue of this length costs callers their goals.
constexpr Duration kHarmfulQueue = std::chrono::milliseconds(150);
// Factors for one window.
constexpr double kShrink = 0.7;
constexpr double kShrinkFast = 0.3;
constexpr double kGrow = 1.15;
// The budget only grows while it is used up to this part.
constexpr double kUsedPart = 0.7;

}  // namespace

LinkBudget::LinkBudget(double bytes_per_second)
    : floor_(kFloorPart * bytes_per_second),
      ceiling_(kCeilingPart * bytes_per_second),
      budget_(kFirstPart * bytes_per_second) {}

void LinkBudget::NoteRoundTrip(TimePoint now, Duration round_trip) {
  if (round_trip <= Duration(0)) {
    return;
  }
  shortest_ = std::min(shortest_, round_trip);
  window_shortest_ = std::min(window_shortest_, round_trip);
  if (now - window_began_ >= kWindow) {
    Adjust(now);
  }
}

void LinkBudget::Adjust(TimePoint now) {
  queueing_ = window_shortest_ - shortest_;
  window_began_ = now;
  window_shortest_ = Duration::max();
  if (queueing_ >= kLongQueue) {
    const double factor = queueing_ >= kHarmfulQueue ? kShrinkFast : kShrink;
    budget_ = std::max(floor_, factor * std::min(budget_, use_));
  } else if (queueing_ < kLongQueue / 2 && use_ >= kUsedPart * budget_) {
    budget_ = std::min(ceiling_, kGrow * budget_);
  }
}

}  // namespace corianderpost
