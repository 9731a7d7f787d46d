// The report that routers send to each other, and its encoding.
#ifndef CORIANDERPOST_PEERS_PEER_REPORT_H_
#define CORIANDERPOST_PEERS_PEER_REPORT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "corianderpost/clock.h"
#include "corianderpost/ids.h"
#include "decisions/crash_suspects.h"
#include "decisions/event_size.h"
#include "decisions/fair_share.h"
#include "decisions/target_table.h"
#include "decisions/version_history.h"
#include "decisions/zone_rotation.h"
#include "model/store_batch.h"

namespace corianderpost {

// The routers whose load, rates and link use a report covers.
enum class ReportScope {
  // The sender only.
  kRouter = 0,
  // All routers of the sender's zone.
  kZone = 1,
  // The whole fleet except the receiver.
  kFleet = 2,
};

// A live router, as its peers know it.
struct RouterInfo {
  // IPv4 address; identifies the router.
  std::string vm;
  std::string zone;
  std::string region;
  // Processor share in thousandths of a core. The router with the largest share
  // becomes the relay of its zone.
  int cpu_millicores = 0;
  // Time since any router last received a report from this one.
  Duration age{0};
  // Place in the order in which routers of the zone left rotation; absent while
  // the router is in rotation, and in reports of earlier versions of the
  // router.
  std::optional<LeaveNumber> left_rotation = std::nullopt;
  friend bool operator==(const RouterInfo&, const RouterInfo&) = default;
};

// What a router knows of the operators' keys.
struct OperatorKeysState {
  // The last change that the router has.
  StorePosition content;
  // The last change that the router knows any router to have, and the time
  // since a router first had it.
  StorePosition newest;
  Duration newest_age{0};
  // Version of the configuration in force. It may be newer than that of the
  // last change if the store was restored from an older copy.
  std::uint64_t configuration_version = 0;
  friend bool operator==(const OperatorKeysState&,
                         const OperatorKeysState&) = default;
};

using LoadByTarget = std::map<TargetId, TargetLoad>;

// The state of one router or, if sent by a relay, of several (see `scope`).
// Fields hold current values rather than increments, so a lost or duplicated
// report does no harm.
struct PeerReport {
  ReportScope scope = ReportScope::kRouter;
  // The sender; its age is zero.
  RouterInfo sender;
  // Start time of the sender's process in Unix microseconds; distinguishes its
  // restarts.
  std::uint64_t incarnation = 0;
  // Increases with each report of one incarnation.
  std::uint64_t sequence = 0;
  // Store revisions of the sender's replicas of the operators' keys and of the
  // target list.
  std::uint64_t operator_revision = 0;
  std::uint64_t target_list_revision = 0;
  // Era of `target_list_revision`; 0 in reports of earlier versions of the
  // router.
  std::uint64_t target_list_era = 0;
  // Time since the sender last knew its replica of the operators' keys to be
  // current.
  Duration operator_replica_age{0};
  // State of the sender's replica of the operators' keys; absent in reports of
  // earlier versions of the router.
  std::optional<OperatorKeysState> operator_keys;
  // Totals over the routers that `scope` covers.
  LoadByTarget load;
  RatesByCustomer customer_rates;
  // Request body bytes per second to other regions, sent by those routers that
  // are in the sender's region and covered by `scope`.
  double link_use = 0;
  // Limit on the request body bytes per second from the sender's region to
  // other regions. Set by relays in fleet reports. If zero, the receiver keeps
  // its own budget.
  double link_budget = 0;
  // Send time by the sender's clock in microseconds; zero in reports within a
  // region.
  std::int64_t sent_at = 0;
  // `sent_at` of the last report from the receiver, and the time between its
  // receipt and this report. Zero if none came since the last echo.
  std::int64_t echoed_sent_at = 0;
  Duration echo_delay{0};
  std::vector<SuspectReport> suspects;
  std::vector<NamedRateLimit> rate_limits;
  std::vector<LeavingTarget> leaving_targets;
  // Software versions of the services that have several in use.
  std::vector<VersionUse> version_uses;
  // Learned tokens per event of services; empty in reports of earlier versions.
  std::vector<SharedEventSize> event_sizes;
  // Ids of targets to which connections failed recently.
  std::vector<std::string> unreachable_targets;
  // Live routers known to the sender; omitted from some reports.
  std::vector<RouterInfo> live_routers;
  friend bool operator==(const PeerReport&, const PeerReport&) = default;
};

// Encodes a report as MessagePack.
std::string EncodeReport(const PeerReport& report);
// Returns InvalidArgumentError if `bytes` is not a report of this format
// version.
absl::StatusOr<PeerReport> DecodeReport(std::string_view bytes);

// Adds `addend` to `sum`, entry by entry.
void AddLoad(const LoadByTarget& addend, LoadByTarget& sum);
void AddRates(const RatesByCustomer& addend, RatesByCustomer& sum);

}  // namespace corianderpost

#endif  // CORIANDERPOST_PEERS_PEER_REPORT_H_
