// The log's view of how the capacity is shared between customers.
#ifndef CORIANDERPOST_ROUTER_SHARE_LOG_H_
#define CORIANDERPOST_ROUTER_SHARE_LOG_H_

#include <cstddef>
#include <nlohmann/json.hpp>

#include "corianderpost/clock.h"
#include "dataplane/rejection_tally.h"
#include "decisions/fair_share.h"
#include "model/configuration.h"

namespace corianderpost {

// Customers named in one line besides the one that gets least of its due.
inline constexpr std::size_t kMaxCustomersInShareLog = 4;

// Returns one object for each of the customers with the largest demand above
// the share level, and for the one among all customers above the level that is
// admitted the least; empty if there is no level. A customer's object has its
// demand and admitted units per second, at this router and in the fleet, its
// credit here, and its rejections by reason from `rejections`. The cost is that
// of a pass over the customers with demand. Call on the thread that owns
// `share`.
nlohmann::json DescribeShares(TimePoint now, FairShare& share,
                              const Configuration& configuration,
                              const RejectionTally::Counts& rejections);

}  // namespace corianderpost

#endif  // CORIANDERPOST_ROUTER_SHARE_LOG_H_
