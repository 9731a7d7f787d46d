#include "router/own_load.h"

#include <algorithm>

namespace corianderpost {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Mean lateness at which a router is busy, and below which it no longer is;
// timers of the platform fire a few milliseconds late.
constexpr double kLatenessWeight = 0.1;
constexpr double kBusyLatenessMs = 25;
constexpr double kIdleLatenessMs = 8;
constexpr Duration kBusyFor = seconds(2);
// A tick this late means that the processor can't keep up.
constexpr Duration kOverloadLag = milliseconds(150);
// Ticks that are less late than this are on time.
constexpr Duration kCalmLag = milliseconds(40);
// Requests are taken again once ticks were on time for so long. An overload
// this soon after the return doubles it.
constexpr Duration kFirstCalm = seconds(4);
constexpr Duration kLongestCalm = seconds(20);
constexpr Duration kRelapse = seconds(15);

}  // namespace

void OwnLoad::NoteTick(TimePoint now, Duration late) {
  const double late_ms =
      std::chrono::duration<double, std::milli>(late).count();
  mean_late_ms_ += kLatenessWeight * (late_ms - mean_late_ms_);
  if (mean_late_ms_ >= kBusyLatenessMs) {
    is_busy_ = true;
    busy_at_ = now;
  } else if (mean_late_ms_ < kIdleLatenessMs && now - busy_at_ >= kBusyFor) {
    is_busy_ = false;
  }
  if (late >= kCalmLag) {
    late_at_ = now;
  }
  if (late >= kOverloadLag) {
    if (!is_overloaded_) {
      calm_for_ = now - returned_at_ < kRelapse
                      ? std::min(2 * calm_for_, kLongestCalm)
                      : kFirstCalm;
    }
    is_overloaded_ = true;
  } else if (is_overloaded_ && now - late_at_ >= calm_for_) {
    is_overloaded_ = false;
    returned_at_ = now;
  }
}

}  // namespace corianderpost
