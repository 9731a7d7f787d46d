#include "decisions/drain_schedule.h"

#include <algorithm>

namespace corianderpost {
namespace {

using std::chrono::milliseconds;

// Time during which a draining router still gets new connections: the load
// balancer takes it out of rotation after two failed readiness checks, one
// second apart.
constexpr Duration kLeaveRotationTime = milliseconds(2800);
// Open requests are aborted this long before SIGKILL, and the process exits
// this long before it.
constexpr Duration kAbortBeforeKill = milliseconds(400);
constexpr Duration kExitBeforeKill = milliseconds(100);

}  // namespace

DrainSchedule::DrainSchedule(TimePoint began_at, Duration grace)
    // With a short grace, requests need the second half of it to end.
    : takes_any_until_(began_at + std::min(kLeaveRotationTime, grace / 2)),
      left_rotation_at_(began_at + kLeaveRotationTime),
      abort_at_(began_at + std::max(grace - kAbortBeforeKill, grace / 2)),
      exit_at_(began_at + std::max(grace - kExitBeforeKill, grace / 2)) {}

bool DrainSchedule::Accepts(TimePoint now, Duration remaining) const {
  return now < takes_any_until_ || now + remaining <= abort_at_;
}

}  // namespace corianderpost
