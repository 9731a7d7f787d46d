// When a router that shuts down takes requests, aborts open ones, and exits.
#ifndef CORIANDERPOST_DECISIONS_DRAIN_SCHEDULE_H_
#define CORIANDERPOST_DECISIONS_DRAIN_SCHEDULE_H_

#include "corianderpost/clock.h"

namespace corianderpost {

// A value type; thread-safe.
class DrainSchedule {
 public:
  // `grace` is the time from SIGTERM, at `began_at`, to SIGKILL.
  DrainSchedule(TimePoint began_at, Duration grace);

  // Whether a request is taken that has `remaining` time until its caller's
  // deadline or its route's timeout. While callers still arrive, any request is
  // taken, since most end long before their timeout. Later ones must end before
  // open requests are aborted, even if they use all of their time.
  bool Accepts(TimePoint now, Duration remaining) const;
  // Whether the load balancer has taken the router out of rotation.
  bool HasLeftRotation(TimePoint now) const { return now >= left_rotation_at_; }
  // When open requests are aborted. What is written then reaches the callers
  // before `exit_at`.
  TimePoint abort_at() const { return abort_at_; }
  // When the process exits, even with output left.
  TimePoint exit_at() const { return exit_at_; }
  friend bool operator==(const DrainSchedule&, const DrainSchedule&) = default;

 private:
  TimePoint takes_any_until_;
  TimePoint left_rotation_at_;
  TimePoint abort_at_;
  TimePoint exit_at_;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_DECISIONS_DRAIN_SCHEDULE_H_
