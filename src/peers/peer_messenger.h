// Sends and receives this router's reports.
//
// A small fleet reports pairwise; in a large one a relay a zone sums up its
// members' reports (see peer_table.h). Reports between regions go out less
// often and are answered with their send time, which measures the link.
#ifndef CORIANDERPOST_PEERS_PEER_MESSENGER_H_
#define CORIANDERPOST_PEERS_PEER_MESSENGER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <map>
#include <string>

#include "decisions/scheduler.h"
#include "peers/peer_table.h"
#include "runtime/metrics.h"

namespace corianderpost {

// Used from the event loop only.
class PeerMessenger {
 public:
  // Fills in what a report says of the copies of the store.
  using AddReplicaState = std::function<void(TimePoint, PeerReport&)>;

  // Binds `port` at `self.vm`. Throws std::runtime_error if that fails.
  // `scheduler`, `clock` and `metrics` must outlive the messenger.
  PeerMessenger(boost::asio::io_context& loop, const Clock& clock,
                const RouterInfo& self, std::uint16_t port,
                Scheduler& scheduler, internal::Metrics& metrics,
                AddReplicaState add_replica_state);

  // Starts to receive.
  void Start() { WaitForReports(); }
  // Sends what is due and hands sums of peers' reports to the scheduler.
  void Tick(TimePoint now);
  // Sends the next reports at once, to other regions too.
  void ReportAtNextTick();
  // Tells peers that a target refused connections or crashed.
  void ReportUnreachable(TimePoint now, const std::string& target_id) {
    unreachable_recorded_at_[target_id] = now;
  }

  const PeerTable& peers() const { return peers_; }
  // Notes an address that may be a router's.
  void AddSeed(const std::string& vm) { peers_.AddSeed(vm); }
  // Forgets routers that were silent for long.
  void Expire(TimePoint now) { peers_.Expire(now); }

 private:
  // The last report that a router of another region sent.
  struct RemoteTimestamp {
    std::int64_t sent_at = 0;
    TimePoint received_at;
  };

  void WaitForReports();
  void ReceiveReports();
  void HandleReport(TimePoint now, PeerReport report);
  PeerReport BuildReport(TimePoint now);
  void SendTo(const PeerReport& report, const std::string& vm);
  // Sends to another region, with what measures the link.
  void SendToRemoteRegion(TimePoint now, PeerReport report,
                          const std::string& vm);
  void SendReports(TimePoint now);
  void SendToMesh(TimePoint now);
  void SendAsMember(TimePoint now);
  void SendAsRelay(TimePoint now);

  const Clock& clock_;
  const std::uint16_t port_;
  Scheduler& scheduler_;
  internal::Metrics& metrics_;
  const AddReplicaState add_replica_state_;
  PeerTable peers_;
  boost::asio::ip::udp::socket socket_;
  const std::uint64_t incarnation_;
  std::uint64_t sequence_ = 0;
  TimePoint next_report_at_;
  TimePoint next_remote_report_at_;
  TimePoint next_hello_at_;
  TimePoint next_aggregation_at_;
  TimePoint relay_heard_at_;
  bool needs_aggregation_ = false;
  std::map<std::string, TimePoint> unreachable_recorded_at_;
  std::map<std::string, RemoteTimestamp> remote_timestamps_;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_PEERS_PEER_MESSENGER_H_
