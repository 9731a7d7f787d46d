// Sends and receives peer reports over UDP.
//
// In a small fleet, routers report directly to each other. In a large one, each
// zone has a relay that aggregates the reports of its members (see
// peer_table.h). Reports to other regions have an interval of their own and
// carry send times, which the receiver echoes to measure the round-trip time.
#ifndef CORIANDERPOST_PEERS_PEER_MESSENGER_H_
#define CORIANDERPOST_PEERS_PEER_MESSENGER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <map>
#include <string>

#include "decisions/scheduler.h"
#include "peers/fleet_stream_directory.h"
#include "peers/peer_table.h"
#include "runtime/metrics.h"

namespace corianderpost {

// Used from the event loop only.
class PeerMessenger final : public StreamPeers {
 public:
  // Sets the fields of a report that describe this router's store replicas.
  using AddReplicaState = std::function<void(TimePoint, PeerReport&)>;

  // Binds the UDP port `port` at `self.vm`; all peers use the same port. Throws
  // std::runtime_error if that fails; AddressUnavailableError if that may pass.
  // `scheduler`, `clock` and `metrics` must outlive the messenger.
  PeerMessenger(boost::asio::io_context& loop, const Clock& clock,
                const RouterInfo& self, std::uint16_t port,
                Scheduler& scheduler, internal::Metrics& metrics,
                AddReplicaState add_replica_state);

  // Passes stream messages, and what reports say of software versions, to
  // `directory`, which must outlive the messenger.
  void SetStreamDirectory(FleetStreamDirectory& directory) {
    stream_directory_ = &directory;
  }
  // Starts receiving reports.
  void Start() { WaitForReports(); }
  // Sends the reports that are due and passes totals of the peers' reports to
  // the scheduler. Must be called regularly.
  void Tick(TimePoint now);
  // Makes the next `Tick` send reports, also to other regions, without waiting
  // for the report interval.
  void ReportAtNextTick();
  // Lists the target as unreachable in reports for a short time, unless only
  // the link to its region may be at fault. Call when a connection to it fails.
  void ReportUnreachable(TimePoint now, const std::string& target_id);

  std::vector<RouterInfo> LiveRouters(TimePoint now) const override {
    return peers_.LivePeers(now);
  }
  void SendMessage(const std::string& vm, const std::string& bytes) override;

  const PeerTable& peers() const { return peers_; }
  // Records that this router has the operators' change of this position.
  void RecordOperatorChange(TimePoint now, const StorePosition& position) {
    peers_.RecordOperatorChange(position, now);
  }
  // Adds a seed address: an IPv4 address, without port, at which a router may
  // run.
  void AddSeed(const std::string& vm) { peers_.AddSeed(vm); }
  // Removes routers that have been silent for a long time.
  void Expire(TimePoint now) { peers_.Expire(now); }

 private:
  // Send and receive time of the last report from a router in another region.
  struct RemoteTimestamp {
    // By the sender's clock, in microseconds.
    std::int64_t sent_at = 0;
    TimePoint received_at;
  };

  void WaitForReports();
  void ReceiveReports();
  void HandleReport(TimePoint now, PeerReport report);
  // `is_complete` reports are for routers that may know nothing yet.
  PeerReport BuildReport(TimePoint now, bool is_complete);
  void SendTo(const PeerReport& report, const std::string& vm);
  // Sends to a router in another region, with the times that measure the round
  // trip.
  void SendToRemoteRegion(TimePoint now, PeerReport report,
                          const std::string& vm);
  void SendReports(TimePoint now);
  // In a fleet without relays: reports to all live peers.
  void SendToMesh(TimePoint now);
  // Reports to the zone's relay.
  void SendAsMember(TimePoint now);
  // Sends a zone report to the relays of the other zones, and a fleet report to
  // each live router of this zone.
  void SendAsRelay(TimePoint now);

  const Clock& clock_;
  const std::uint16_t port_;
  Scheduler& scheduler_;
  internal::Metrics& metrics_;
  const AddReplicaState add_replica_state_;
  PeerTable peers_;
  FleetStreamDirectory* stream_directory_ = nullptr;
  boost::asio::ip::udp::socket socket_;
  const std::uint64_t incarnation_;
  std::uint64_t sequence_ = 0;
  TimePoint next_report_at_;
  TimePoint next_remote_report_at_;
  TimePoint next_hello_at_;
  TimePoint next_aggregation_at_;
  // Last time at which a fleet report arrived, this router needed none, or the
  // relay was suspected. The relay timeout is counted from here.
  TimePoint relay_heard_at_;
  // The totals passed to the scheduler may be outdated.
  bool needs_aggregation_ = false;
  std::map<std::string, TimePoint> unreachable_recorded_at_;
  // By address; an entry is removed when it has been echoed.
  std::map<std::string, RemoteTimestamp> remote_timestamps_;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_PEERS_PEER_MESSENGER_H_
