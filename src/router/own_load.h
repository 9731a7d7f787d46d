// Judges from the lateness of timers whether this router keeps up.
#ifndef CORIANDERPOST_ROUTER_OWN_LOAD_H_
#define CORIANDERPOST_ROUTER_OWN_LOAD_H_

#include "corianderpost/clock.h"

namespace corianderpost {

// Not thread-safe.
class OwnLoad {
 public:
  // Takes a tick that came `late` after its time.
  void NoteTick(TimePoint now, Duration late);

  // The processor is nearly used up: connections should move on.
  bool is_busy() const { return is_busy_; }
  // The processor could not keep up: new requests are to be refused at once,
  // and the balancer is to send no new connections. Lasts beyond the late
  // ticks, longer each time that the router is overloaded again soon, so that
  // callers that are too much for it move to a larger one.
  bool is_overloaded() const { return is_overloaded_; }
  // Mean lateness of the last quarter of a second, in milliseconds.
  double mean_late_ms() const { return mean_late_ms_; }

 private:
  double mean_late_ms_ = 0;
  bool is_busy_ = false;
  bool is_overloaded_ = false;
  TimePoint busy_at_;
  TimePoint late_at_;
  TimePoint returned_at_;
  Duration calm_for_{0};
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_ROUTER_OWN_LOAD_H_
