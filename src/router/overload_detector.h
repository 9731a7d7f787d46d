// Detects from late timers that this router's processor is saturated.
#ifndef CORIANDERPOST_ROUTER_OVERLOAD_DETECTOR_H_
#define CORIANDERPOST_ROUTER_OVERLOAD_DETECTOR_H_

#include "corianderpost/clock.h"

namespace corianderpost {

// Not thread-safe.
class OverloadDetector {
 public:
  // Records a tick at `now` that ran `lag` after it was due. Ticks are expected
  // every 25 ms.
  void RecordTick(TimePoint now, Duration lag);

  // The processor is almost saturated.
  bool is_busy() const { return is_busy_; }
  // The processor is saturated although requests are limited (see
  // `ProcessorAdmission`): the load balancer should send no new connections.
  // Remains true for a
  // recovery time after the last late tick. The recovery time grows each time
  // the router is overloaded again soon after it recovered, so that callers
  // whose load is too high for this router move to a larger one.
  bool is_overloaded() const { return is_overloaded_; }
  // Moving average of the lag over about 250 ms, in milliseconds.
  double mean_lag_ms() const { return mean_lag_ms_; }

 private:
  double mean_lag_ms_ = 0;
  bool is_busy_ = false;
  bool is_overloaded_ = false;
  TimePoint last_busy_at_;
  TimePoint last_late_at_;
  TimePoint recovered_at_;
  Duration recovery_time_{0};
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_ROUTER_OVERLOAD_DETECTOR_H_
