// The deadline that a router hands on with a request to a target.
#ifndef CORIANDERPOST_DECISIONS_FORWARDED_DEADLINE_H_
#define CORIANDERPOST_DECISIONS_FORWARDED_DEADLINE_H_

#include "decisions/scheduler.h"

namespace corianderpost {

// Returns the time that the target of `assignment` has for a request of which
// `remaining` is left here. A target counts it from the request's arrival, so
// for a target in another region it is shorter by the measured queueing delay
// of the link between the regions; zero if that is longer. Routers that measure
// no round trips, i.e. those that report to a relay, know no delay. Not
// thread-safe.
Duration ForwardedTime(Scheduler& scheduler, const Assignment& assignment,
                       Duration remaining);

}  // namespace corianderpost

#endif  // CORIANDERPOST_DECISIONS_FORWARDED_DEADLINE_H_
