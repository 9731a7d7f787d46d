#include "decisions/forwarded_deadline.h"

#include <algorithm>

namespace corianderpost {

Duration ForwardedTime(Scheduler& scheduler, const Assignment& assignment,
                       Duration remaining) {
  const TargetState* target = scheduler.targets().Find(assignment.target_id);
  if (target == nullptr || target->is_in_local_region) {
    return remaining;
  }
  return std::max(Duration(0),
                  remaining - scheduler.link_budget().queueing_delay());
}

}  // namespace corianderpost
