#include "router/overload_detector.h"

#include <algorithm>

namespace corianderpost {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Mean lateness at which a router is busy, and below which it no longer is;
// timers of the platform fire a few milliseconds late.
constexpr double kMeanLagWeight = 0.1;
constexpr double kBusyLagMs = 25;
constexpr double kNotBusyLagMs = 8;
constexpr Duration kMinBusyTime = seconds(2);
// A tick this late means that the processor can't keep up.
constexpr Duration kOverloadLag = milliseconds(150);
// Ticks that are less late than this are on time.
constexpr Duration kMaxOnTimeLag = milliseconds(40);
// Requests are taken again once ticks were on time for so long. An overload
// this soon after the return doubles it.
constexpr Duration kInitialRecoveryTime = seconds(4);
constexpr Duration kMaxRecoveryTime = seconds(20);
constexpr Duration kRelapseWindow = seconds(15);

}  // namespace

void OverloadDetector::RecordTick(TimePoint now, Duration lag) {
  const double lag_ms = std::chrono::duration<double, std::milli>(lag).count();
  mean_lag_ms_ += kMeanLagWeight * (lag_ms - mean_lag_ms_);
  if (mean_lag_ms_ >= kBusyLagMs) {
    is_busy_ = true;
    last_busy_at_ = now;
  } else if (mean_lag_ms_ < kNotBusyLagMs &&
             now - last_busy_at_ >= kMinBusyTime) {
    is_busy_ = false;
  }
  if (lag >= kMaxOnTimeLag) {
    last_late_at_ = now;
  }
  if (lag >= kOverloadLag) {
    if (!is_overloaded_) {
      recovery_time_ = now - recovered_at_ < kRelapseWindow
                           ? std::min(2 * recovery_time_, kMaxRecoveryTime)
                           : kInitialRecoveryTime;
    }
    is_overloaded_ = true;
  } else if (is_overloaded_ && now - last_late_at_ >= recovery_time_) {
    is_overloaded_ = false;
    recovered_at_ = now;
  }
}

}  // namespace corianderpost
