// Retry times of rejected callers, spread so that the callers that all routers
// reject at one time do not return at one time.
#ifndef CORIANDERPOST_DECISIONS_RETRY_SPREAD_H_
#define CORIANDERPOST_DECISIONS_RETRY_SPREAD_H_

#include <random>

#include "corianderpost/clock.h"

namespace corianderpost {

// Returns a random time from `wait`, after which there is credit or capacity,
// to twice as long, but at most `max`. If `wait` is near to `max`, the time may
// be shorter than `wait`, down to three quarters of `max`. Requires 0 <= `wait`
// <= `max`.
Duration SpreadRetry(Duration wait, Duration max, std::minstd_rand& random);

}  // namespace corianderpost

#endif  // CORIANDERPOST_DECISIONS_RETRY_SPREAD_H_
