// Rates of recent events, without storing the events.
#ifndef CORIANDERPOST_DECISIONS_RATE_METER_H_
#define CORIANDERPOST_DECISIONS_RATE_METER_H_

#include <algorithm>
#include <cmath>

#include "corianderpost/clock.h"

namespace corianderpost {

// A rate with exponential decay. Not thread-safe.
class RateMeter {
 public:
  // `time_constant` is the age at which an event's weight has decayed to 1/e.
  explicit RateMeter(Duration time_constant)
      : time_constant_seconds_(Seconds(time_constant)) {}

  void Add(TimePoint now, double amount) {
    Decay(now);
    sum_ += amount;
  }
  // Returns the amount per second as of `now`.
  double PerSecond(TimePoint now) const {
    const double age = Seconds(std::max(Duration(0), now - updated_at_));
    return sum_ * std::exp(-age / time_constant_seconds_) /
           time_constant_seconds_;
  }

 private:
  static double Seconds(Duration duration) {
    return std::chrono::duration<double>(duration).count();
  }
  void Decay(TimePoint now) {
    if (now > updated_at_) {
      sum_ *= std::exp(-Seconds(now - updated_at_) / time_constant_seconds_);
      updated_at_ = now;
    }
  }
  double time_constant_seconds_;
  double sum_ = 0;
  TimePoint updated_at_;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_DECISIONS_RATE_METER_H_
