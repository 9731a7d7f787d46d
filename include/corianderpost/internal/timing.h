// Intervals and limits that the decision core's safety arguments rest on.
//
// docs/DESIGN.md derives the relations between them.
#ifndef CORIANDERPOST_INTERNAL_TIMING_H_
#define CORIANDERPOST_INTERNAL_TIMING_H_

#include "corianderpost/clock.h"

namespace corianderpost::internal {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Longest pause between two `Tick` events in a healthy process.
inline constexpr Duration kTickInterval = milliseconds(10);

inline constexpr Duration kHeartbeatInterval = milliseconds(200);
inline constexpr Duration kRemoteHeartbeatInterval = milliseconds(500);
// A router that was not heard for this long owns no targets.
inline constexpr Duration kSuspectAfter = milliseconds(1200);
// A router counts as heard for this long when a majority is sought.
inline constexpr Duration kHeardWindow = seconds(2);

inline constexpr Duration kCounterInterval = milliseconds(100);
inline constexpr Duration kRemoteCounterInterval = milliseconds(500);
// All counters are sent again this often, to repair losses.
inline constexpr Duration kCounterRepairInterval = seconds(5);

// A voter keeps its promise for this long from when it votes.
inline constexpr Duration kLeaseLength = seconds(4);
// A holder stops this much earlier, for clocks of different speed.
inline constexpr Duration kLeaseMargin = milliseconds(200);
inline constexpr Duration kLeaseRenewInterval = milliseconds(700);
// A replaced list still has a say in elections for this long.
inline constexpr Duration kListOverlap = seconds(10);

// A grant may be used until this long after the demand it answers was sent.
inline constexpr Duration kGrantTtl = milliseconds(1000);
// Grants of a router that was silent for this long are taken back.
inline constexpr Duration kHolderTimeout = seconds(5);

inline constexpr Duration kDemandInterval = milliseconds(100);
inline constexpr Duration kRemoteDemandInterval = milliseconds(200);
// Held grants are confirmed this often although nothing waits.
inline constexpr Duration kHeldRefreshInterval = seconds(1);
// Age of the oldest waiting request at which all owners of its region are
// asked, and at which those of other regions are asked too.
inline constexpr Duration kSpreadInRegionAfter = milliseconds(5);
inline constexpr Duration kSpreadEverywhereAfter = milliseconds(100);
// Waiting requests of one account that a demand names.
inline constexpr int kMaxDemandPerAccount = 64;

inline constexpr Duration kLoadPollInterval = milliseconds(500);
// Longest time by which a load report lags behind the target's state.
inline constexpr Duration kLoadReportLag = milliseconds(1000);
// A target whose last report is older than this is not taken for warm.
inline constexpr Duration kLoadReportFresh = milliseconds(1200);

// Longest time in which another router may still give work to a target that it
// takes for warm, after the target turned cold.
inline constexpr Duration kForeignGrantsEnd = kLoadReportFresh + kGrantTtl;
// Longest way of a request to its target, and of a grant to its user.
inline constexpr Duration kTransit = milliseconds(200);

inline constexpr Duration kConfigurationRetry = milliseconds(500);
// A router that is no watcher reads for itself if nobody read for this long.
inline constexpr Duration kConfigurationStale = seconds(2);
// A router that knows of a newer revision may work this long without it.
inline constexpr Duration kAdoptGrace = seconds(2);
// Waiting requests are refused when a router was cut off for this long.
inline constexpr Duration kCutOffPatience = seconds(1);

inline constexpr Duration kKeyLifetime = seconds(600);
inline constexpr Duration kSuspectLifetime = seconds(600);
// Crashes after which a request is refused.
inline constexpr int kQuarantineCrashes = 3;

}  // namespace corianderpost::internal

#endif  // CORIANDERPOST_INTERNAL_TIMING_H_
