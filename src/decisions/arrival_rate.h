// The rate at which a customer's units arrive at one router, for loads whose
// callers move between routers.
//
// An average over seconds follows such a move too late: the customer's share
// stays with the router that its callers have left. So the rate of a run of
// requests is measured from the run's own beginning, and it is zero soon after
// the requests have ended. A run with few requests has no reliable rate of its
// own; then the average is used.
#ifndef CORIANDERPOST_DECISIONS_ARRIVAL_RATE_H_
#define CORIANDERPOST_DECISIONS_ARRIVAL_RATE_H_

#include "corianderpost/clock.h"
#include "decisions/rate_meter.h"

namespace corianderpost {

// Not thread-safe.
class ArrivalRate {
 public:
  // `time_constant` is that of the average.
  explicit ArrivalRate(Duration time_constant);

  // Records one request of `units`. `now` must not decrease.
  void Add(TimePoint now, double units);
  // Returns the current rate in units per second: zero once the requests of a
  // run have ended.
  double Current(TimePoint now) const;
  // Returns the average rate in units per second, which decays over the time
  // constant.
  double Average(TimePoint now) const { return average_.PerSecond(now); }

  // Returns a rate in units per second that rises as soon as there are enough
  // requests to tell, and decays over the time constant: the average, or a
  // lower bound of the rate over a fifth of the time constant if that is
  // higher.
  double Rising(TimePoint now) const;

 private:
  bool HasReliableRun() const;
  // Returns the silence after which a run has ended.
  Duration EndingSilence() const;

  const Duration time_constant_;
  RateMeter average_;
  // Units and requests over a fifth of the time constant.
  RateMeter recent_units_;
  RateMeter recent_requests_;
  // Average of the run's requests alone.
  RateMeter run_units_;
  TimePoint run_began_at_;
  TimePoint last_request_at_;
  int run_requests_ = 0;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_DECISIONS_ARRIVAL_RATE_H_
