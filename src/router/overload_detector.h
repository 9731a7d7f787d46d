// Judges from the lateness of timers whether this router keeps up.
#ifndef CORIANDERPOST_ROUTER_OVERLOAD_DETECTOR_H_
#define CORIANDERPOST_ROUTER_OVERLOAD_DETECTOR_H_

#include "corianderpost/clock.h"

namespace corianderpost {

// Not thread-safe.
class OverloadDetector {
 public:
  // Takes a tick that came `lag` after its time.
  void RecordTick(TimePoint now, Duration lag);

  // The processor is nearly used up: connections should move on.
  bool is_busy() const { return is_busy_; }
  // The processor could not keep up: new requests are to be refused at once,
  // and the balancer is to send no new connections. Lasts beyond the late
  // ticks, longer each time that the router is overloaded again soon, so that
  // callers that are too much for it move to a larger one.
  bool is_overloaded() const { return is_overloaded_; }
  // Mean lateness of the last quarter of a second, in milliseconds.
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
