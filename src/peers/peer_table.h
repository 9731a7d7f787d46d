// The routers of the fleet, and what they told of their work.
//
// In a small fleet every router reports to every other one. In a large one a
// zone has a relay: its members report to it, relays exchange sums of their
// zones, and each member gets the sum of all others back. So a router's
// messages do not grow with the fleet, and a relay's grow with its zone and
// the number of zones.
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

  // Takes a report unless a newer one is held. Returns whether the sender was
  // not known to be alive.
  bool ApplyReport(TimePoint now, const PeerReport& report);
  // Notes an address that may be a router's.
  void AddSeed(const std::string& vm);
  // Forgets routers that were silent for long.
  void Expire(TimePoint now);

  const RouterInfo& self() const { return self_; }
  // Live routers without this one, by address.
  std::vector<RouterInfo> LivePeers(TimePoint now) const;
  // Addresses that are not known to be alive.
  std::vector<std::string> SilentPeers(TimePoint now) const;
  // Number of live routers, this one included, and this one's place by address.
  int FleetSize(TimePoint now) const;
  int LocalPosition(TimePoint now) const;

  bool UsesRelays(TimePoint now) const;
  // Place of this router in the order in which a zone's routers relay.
  int LocalRelayRank(TimePoint now) const;
  bool IsRelay(TimePoint now) const { return LocalRelayRank(now) == 0; }
  // The relay of a zone; nothing if it has no live router.
  std::optional<std::string> RelayOf(TimePoint now,
                                     const std::string& zone) const;
  // Relays of the other zones.
  std::vector<RouterInfo> OtherZoneRelays(TimePoint now) const;
  // Notes that the zone's relay did not answer for a while.
  void SuspectRelay(TimePoint now);

  // Work of all others, as far as it was told.
  LoadByTarget PeerLoad(TimePoint now) const;
  RatesByCustomer PeerRates(TimePoint now) const;
  // Bytes a second that the others of this region send to other regions.
  double PeerLinkUse(TimePoint now) const;
  // Work of this router's zone, `own` included.
  void AggregateZone(TimePoint now, PeerReport& report) const;
  // Work of all but `vm`, a member of the zone; `own` is this router's.
  PeerReport FleetReportFor(TimePoint now, const std::string& vm,
                            const PeerReport& local_report) const;

  // Control-plane facts of the live peer with the newest copy.
  std::optional<std::string> PeerWithNewerReplica(
      TimePoint now, std::uint64_t PeerReport::*revision,
      std::uint64_t local_revision) const;
  // When some peer that has no newer copy than `own` last proved it current.
  TimePoint OperatorReplicaVerifiedAt(TimePoint now,
                                      std::uint64_t local_revision) const;

 private:
  struct Peer {
    RouterInfo info;
    bool has_info = false;
    TimePoint last_heard_at;
    // Last report that came from the router itself, by scope.
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
  void ApplyRouterInfo(TimePoint now, const RouterInfo& info);

  const RouterInfo self_;
  std::map<std::string, Peer> peers_;
  std::optional<PeerReport> fleet_report_;
  TimePoint fleet_report_at_;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_PEERS_PEER_TABLE_H_
