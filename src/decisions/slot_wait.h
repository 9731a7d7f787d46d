// Predicts how long a request waits for a slot of an engine, for engines that
// run few requests at once and routers whose counts of them are delayed.
//
// An engine that is full for a moment is not excluded: one of its slots becomes
// free within a fraction of a request's time, which is often sooner than
// another engine has read the shared parts of the prompt.
#ifndef CORIANDERPOST_DECISIONS_SLOT_WAIT_H_
#define CORIANDERPOST_DECISIONS_SLOT_WAIT_H_

#include "corianderpost/clock.h"

namespace corianderpost {

// Not thread-safe.
class SlotWait {
 public:
  // Records how long a request was at an engine, from its sending to its end.
  void RecordRun(Duration duration);
  // Returns the expected wait in seconds at an engine with `slots` that has
  // `in_flight` other requests, a number that may be off by some.
  double Seconds(int slots, double in_flight) const;

 private:
  double run_seconds_ = 0;
  bool has_run_ = false;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_DECISIONS_SLOT_WAIT_H_
