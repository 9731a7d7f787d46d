#include "decisions/slot_wait.h"

#include <chrono>
#include <cmath>

namespace corianderpost {
namespace {

// Weight of one run in the mean.
constexpr double kRunWeight = 0.05;
// Standard deviation of the number of requests in flight around a delayed
// count, as a multiple of the square root of the slots.
constexpr double kSpreadFactor = 0.4;
// Beyond this many spreads the expected excess equals the counted one.
constexpr double kMaxSpreads = 30.0;

}  // namespace

void SlotWait::RecordRun(Duration duration) {
  const double seconds = std::chrono::duration<double>(duration).count();
  run_seconds_ =
      has_run_ ? run_seconds_ + kRunWeight * (seconds - run_seconds_) : seconds;
  has_run_ = true;
}

double SlotWait::Seconds(int slots, double in_flight) const {
  const double spread = kSpreadFactor * std::sqrt(static_cast<double>(slots));
  const double excess = (in_flight + 1.0 - slots) / spread;
  const double expected_excess =
      spread * (excess > kMaxSpreads ? excess : std::log1p(std::exp(excess)));
  // One of the slots becomes free in each fraction 1/slots of a run.
  return expected_excess * run_seconds_ / slots;
}

}  // namespace corianderpost
