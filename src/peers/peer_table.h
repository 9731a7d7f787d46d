// The other routers of the fleet and their latest reports.
//
// In a small fleet every router reports to every other one. In a large one each
// zone has a relay: the zone's members report to it, relays exchange the totals
// of their zones, and each member receives the total of all other routers. The
// number of messages per member is then independent of the fleet's size, and
// that of a relay grows with its zone's size and the number of zones.
#ifndef CORIANDERPOST_PEERS_PEER_TABLE_H_
#define CORIANDERPOST_PEERS_PEER_TABLE_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "peers/peer_report.h"

namespace corianderpost {

// Not thread-safe.
class PeerTable {
 public:
  // `self` describes this router.
  explicit PeerTable(RouterInfo self) : self_(std::move(self)) {}

  // Stores the report and the routers listed in it. Ignores duplicates, and
  // reports that are older than the last one of a live sender. Returns true if
  // the sender was not known to be alive before, or has restarted.
  bool ApplyReport(TimePoint now, const PeerReport& report);
  // Adds a seed address: an IPv4 address, without port, at which a router may
  // run.
  void AddSeed(const std::string& vm);
  // Removes routers that have been silent for a long time; seed addresses that
  // were never heard from stay.
  void Expire(TimePoint now);

  const RouterInfo& self() const { return self_; }
  // Live routers except this one, ordered by address.
  std::vector<RouterInfo> LivePeers(TimePoint now) const;
  // Known routers of this zone except this one, silent ones included.
  std::vector<ZonePeer> ZonePeers(TimePoint now) const;
  // Known addresses at which no router is known to be alive.
  std::vector<std::string> SilentPeers(TimePoint now) const;
  // Number of live routers including this one, and the zero-based position of
  // this one among them in the order of addresses.
  int FleetSize(TimePoint now) const;
  int LocalPosition(TimePoint now) const;

  // Whether the fleet is too large for all routers to report to each other.
  bool UsesRelays(TimePoint now) const;
  // Zero-based position of this router among the relay candidates of its zone;
  // the first one is the relay.
  int LocalRelayRank(TimePoint now) const;
  bool IsRelay(TimePoint now) const { return LocalRelayRank(now) == 0; }
  // Address of a zone's relay; nullopt if the zone has no candidate.
  std::optional<std::string> RelayOf(TimePoint now,
                                     const std::string& zone) const;
  // Relays of the other zones, at most one per zone.
  std::vector<RouterInfo> OtherZoneRelays(TimePoint now) const;
  // Excludes the current relay of this zone from the candidates for some time.
  // Call if its fleet reports fail to arrive.
  void SuspectRelay(TimePoint now);

  // Total load and rates of all other routers, from reports that have not
  // expired. Load expires sooner than rates.
  LoadByTarget PeerLoad(TimePoint now) const;
  RatesByCustomer PeerRates(TimePoint now) const;
  // Request body bytes per second that the other routers of this region send to
  // other regions.
  double PeerLinkUse(TimePoint now) const;
  // Turns this router's own report into the report on its zone, by adding the
  // load, rates and link use of the other members.
  void AggregateZone(TimePoint now, PeerReport& report) const;
  // Returns a report that covers all routers except `vm`, a member of this
  // zone. `local_report` is this router's own report.
  PeerReport FleetReportFor(TimePoint now, const std::string& vm,
                            const PeerReport& local_report) const;

  // Returns live peers whose replica of the target list is newer than `local`,
  // those of this zone first, then by the position of the replica.
  std::vector<std::string> TargetListSources(TimePoint now,
                                             const StorePosition& local) const;
  // Records that some router has the operators' change of this position.
  void RecordOperatorChange(const StorePosition& position, TimePoint known_at);
  // Returns what this router reports of the operators' keys if the last change
  // that it has is `content`.
  OperatorKeysState OperatorKeysStateAt(TimePoint now,
                                        const StorePosition& content) const;
  // Returns peers from which to copy the operators' keys, the preferred one
  // first: those that have a change which `local` lacks, then the relays of
  // other zones, which may have it; empty if no change is known to be missing.
  // `local_revision` is compared for peers of earlier versions, which know no
  // era.
  std::vector<std::string> OperatorKeySources(
      TimePoint now, const OperatorKeysState& local,
      std::uint64_t local_revision) const;
  // Latest time at which a peer verified that the operators' keys had no
  // change that this router lacks; TimePoint() if none did.
  TimePoint OperatorReplicaVerifiedAt(TimePoint now,
                                      const OperatorKeysState& local,
                                      std::uint64_t local_revision) const;

 private:
  struct Peer {
    RouterInfo info;
    // False for a seed address that has not been heard from.
    bool has_info = false;
    TimePoint last_heard_at;
    // Since when `info.left_rotation` is known.
    TimePoint rotation_known_at;
    // Last reports from this router about itself and about its zone, with the
    // times of receipt.
    std::optional<PeerReport> router_report;
    TimePoint router_report_at;
    std::optional<PeerReport> zone_report;
    TimePoint zone_report_at;
    TimePoint relay_suspected_until;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
  };
  bool IsAlive(TimePoint now, const Peer& peer) const;
  std::vector<RouterInfo> RelayCandidates(TimePoint now,
                                          const std::string& zone) const;
  // `tells_rotation` tells whether to take over the router's rotation state.
  void ApplyRouterInfo(TimePoint now, const RouterInfo& info,
                       bool tells_rotation);

  const RouterInfo self_;
  // By address.
  std::map<std::string, Peer> peers_;
  // Last fleet report from this zone's relay.
  std::optional<PeerReport> fleet_report_;
  TimePoint fleet_report_at_;
  // The last change of the operators' keys that any router is known to have,
  // and when a router first had it.
  StorePosition newest_operator_change_;
  TimePoint newest_operator_change_at_;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_PEERS_PEER_TABLE_H_
