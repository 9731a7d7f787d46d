// What routers tell each other.
#ifndef CORIANDERPOST_PEERS_PEER_REPORT_H_
#define CORIANDERPOST_PEERS_PEER_REPORT_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "corianderpost/clock.h"
#include "corianderpost/ids.h"
#include "decisions/crash_suspects.h"
#include "decisions/fair_share.h"
#include "decisions/target_table.h"

namespace corianderpost {

// Whose work a report's load and demand cover.
enum class ReportScope {
  // The sender's own.
  kRouter = 0,
  // All routers of the sender's zone.
  kZone = 1,
  // The whole fleet but the receiver.
  kFleet = 2,
};

// A router that the sender knows to be alive.
struct RouterInfo {
  // IPv4 address; it names the router.
  std::string vm;
  std::string zone;
  std::string region;
  // Share of a processor in thousandths; larger routers relay for others.
  int cpu_millicores = 0;
  // Time since the router was last heard, by anybody.
  Duration age{0};
  friend bool operator==(const RouterInfo&, const RouterInfo&) = default;
};

using LoadByTarget = std::map<TargetId, TargetLoad>;

// One router's state and what it relays. Every field is a whole fact, so a
// lost or repeated report does no harm.
struct PeerReport {
  ReportScope scope = ReportScope::kRouter;
  // The sender; its age is zero.
  RouterInfo sender;
  // Start of the process, Unix microseconds; tells its lives apart.
  std::uint64_t incarnation = 0;
  // Grows with each report of one life.
  std::uint64_t sequence = 0;
  // Revisions of the sender's copies of the store.
  std::uint64_t operator_revision = 0;
  std::uint64_t target_list_revision = 0;
  // Age of the sender's last proof that the operators' copy is current.
  Duration operator_replica_age{0};
  LoadByTarget load;
  RatesByCustomer customer_rates;
  // Bytes a second that routers of the sender's region, as far as the scope
  // covers them, send to other regions.
  double link_use = 0;
  // What bodies of the sender's region may use of the link to other regions, in
  // bytes a second; zero if the sender does not measure it.
  double link_budget = 0;
  // Send time by the sender's clock in microseconds; zero within a region.
  std::int64_t sent_at = 0;
  // `sent_at` of the receiver's last report, and how long it was held; zero if
  // none came.
  std::int64_t echoed_sent_at = 0;
  Duration echo_delay{0};
  std::vector<CrashReport> crashes;
  // Targets that refused connections lately.
  std::vector<std::string> unreachable_targets;
  // Routers that the sender knows; often left out.
  std::vector<RouterInfo> live_routers;
  friend bool operator==(const PeerReport&, const PeerReport&) = default;
};

// Encodes a report as MessagePack.
std::string EncodeReport(const PeerReport& report);
// Returns InvalidArgument if the bytes are no report.
absl::StatusOr<PeerReport> DecodeReport(std::string_view bytes);

// Adds `more` to `sum`.
void AddLoad(const LoadByTarget& addend, LoadByTarget& sum);
void AddRates(const RatesByCustomer& addend, RatesByCustomer& sum);

}  // namespace corianderpost

#endif  // CORIANDERPOST_PEERS_PEER_REPORT_H_
