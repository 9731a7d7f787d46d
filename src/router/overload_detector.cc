#include "router/overload_detector.h"

#include <algorithm>

namespace corianderpost {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Weight of one tick in the mean lag.
constexpr double kMeanLagWeight = 0.1;
// A router becomes busy at this mean lag.
constexpr double kBusyLagMs = 25;
// It stops being busy once the mean lag is below this and has been below
// `kBusyLagMs` for `kMinBusyTime`. The value is above the few milliseconds by
// which timers fire late on this platform.
constexpr double kNotBusyLagMs = 8;
constexpr Duration kMinBusyTime = seconds(2);
// A single tick with this lag means that the processor is saturated.
constexpr Duration kOverloadLag = milliseconds(150);
// Ticks with less lag than this are on time.
constexpr Duration kMaxOnTimeLag = milliseconds(40);
// An overload ends when all ticks have been on time for the recovery time. An
// overload that starts within the relapse window after the previous one ended
// doubles the recovery time; a later one resets it.
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
