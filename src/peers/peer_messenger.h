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
  using AddCopies = std::function<void(TimePoint, PeerReport&)>;

  // Binds `port` at `self.vm`. Throws std::runtime_error if that fails.
  // `scheduler`, `clock` and `metrics` must outlive the messenger.
  PeerMessenger(boost::asio::io_context& loop, const Clock& clock,
                const RosterEntry& self, std::uint16_t port,
                Scheduler& scheduler, internal::Metrics& metrics,
                AddCopies add_copies);

  // Starts to receive.
  void Start() { AwaitReport(); }
  // Sends what is due and hands sums of peers' reports to the scheduler.
  void Tick(TimePoint now);
  // Sends the next reports at once, to other regions too.
  void Hurry();
  // Tells peers that a target refused connections or crashed.
  void TellUnreachable(TimePoint now, const std::string& target_id) {
    unreachable_[target_id] = now;
  }

  const PeerTable& peers() const { return peers_; }
  // Notes an address that may be a router's.
  void NoteAddress(const std::string& vm) { peers_.NoteAddress(vm); }
  // Forgets routers that were silent for long.
  void Expire(TimePoint now) { peers_.Expire(now); }

 private:
  // The last report that a router of another region sent.
  struct Stamp {
    std::int64_t sent_at = 0;
    TimePoint received_at;
  };

  void AwaitReport();
  void Receive();
  void Take(TimePoint now, PeerReport report);
  PeerReport Build(TimePoint now);
  void Send(const PeerReport& report, const std::string& vm);
  // Sends to another region, with what measures the link.
  void SendFar(TimePoint now, PeerReport report, const std::string& vm);
  void SendReports(TimePoint now);
  void SendToMesh(TimePoint now);
  void SendAsMember(TimePoint now);
  void SendAsRelay(TimePoint now);

  const Clock& clock_;
  const std::uint16_t port_;
  Scheduler& scheduler_;
  internal::Metrics& metrics_;
  const AddCopies add_copies_;
  PeerTable peers_;
  boost::asio::ip::udp::socket socket_;
  const std::uint64_t incarnation_;
  std::uint64_t sequence_ = 0;
  TimePoint report_at_;
  TimePoint far_report_at_;
  TimePoint hello_at_;
  TimePoint sums_at_;
  TimePoint fleet_heard_at_;
  bool has_reports_ = false;
  std::map<std::string, TimePoint> unreachable_;
  std::map<std::string, Stamp> far_stamps_;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_PEERS_PEER_MESSENGER_H_
