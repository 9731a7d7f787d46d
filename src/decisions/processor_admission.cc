#include "decisions/processor_admission.h"

#include <algorithm>

namespace corianderpost {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Weight of one tick in the mean lag.
constexpr double kMeanLagWeight = 0.2;
// Mean lag from which the limit falls. Timers fire a few milliseconds late on
// an idle processor.
constexpr double kSaturatedLagMs = 20;
// Mean lag below which the limit rises.
constexpr double kHeadroomLagMs = 10;
// Time for a change of the limit to show in the lag, before the next change.
constexpr Duration kLowerInterval = milliseconds(150);
constexpr Duration kRaiseInterval = milliseconds(100);
// The limit is multiplied by one of these.
constexpr double kLowerFactor = 0.75;
constexpr double kRaiseFactor = 1.03;
// The limit stays above this part of the highest rate that was handled
// recently: rejecting costs processor time too, so a lower limit would free
// little more.
constexpr double kMinHandledFraction = 0.5;
// Factor per tick by which the highest rate is forgotten.
constexpr double kPeakDecay = 0.9998;
constexpr double kMinRequestsPerSecond = 20;
// The limit is removed when nothing was rejected for this long.
constexpr Duration kReleaseTime = seconds(3);

}  // namespace

void ProcessorAdmission::SetLimit(double requests_per_second) {
  limit_per_second_ = requests_per_second;
  share_.SetCapacity(requests_per_second);
}

void ProcessorAdmission::RecordTick(TimePoint now, Duration lag) {
  const double lag_ms = std::chrono::duration<double, std::milli>(lag).count();
  mean_lag_ms_ += kMeanLagWeight * (lag_ms - mean_lag_ms_);
  peak_per_second_ =
      std::max(kPeakDecay * peak_per_second_, admitted_.PerSecond(now));
  if (mean_lag_ms_ >= kSaturatedLagMs) {
    if (now - lowered_at_ >= kLowerInterval) {
      const double handled = admitted_.PerSecond(now);
      const double base =
          is_limiting() ? std::min(limit_per_second_, handled) : handled;
      SetLimit(std::max({kMinRequestsPerSecond,
                         kMinHandledFraction * peak_per_second_,
                         kLowerFactor * base}));
      lowered_at_ = now;
      last_rejected_at_ = now;
    }
    return;
  }
  if (!is_limiting()) {
    return;
  }
  if (now - last_rejected_at_ >= kReleaseTime) {
    SetLimit(0);
  } else if (mean_lag_ms_ < kHeadroomLagMs &&
             now - raised_at_ >= kRaiseInterval) {
    SetLimit(kRaiseFactor * limit_per_second_);
    raised_at_ = now;
  }
}

bool ProcessorAdmission::TryAdmit(TimePoint now, CustomerId customer) {
  share_.RecordDemand(now, customer, 1);
  if (is_limiting() && !share_.HasCredit(now, customer)) {
    last_rejected_at_ = now;
    return false;
  }
  share_.Charge(now, customer, 1);
  admitted_.Add(now, 1);
  return true;
}

}  // namespace corianderpost
