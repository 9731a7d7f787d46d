// What a router tells its peers, and the table of what they told.
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
#include "decisions/crash_suspects.h"
#include "decisions/fair_share.h"
#include "decisions/target_table.h"

namespace corianderpost {

// One router's state. Every field is a whole fact, so a lost or repeated
// report does no harm.
struct PeerReport {
  // IPv4 address of the router; it names the router.
  std::string vm;
  std::string zone;
  std::string region;
  // Start of the process, Unix microseconds; tells its lives apart.
  std::uint64_t incarnation = 0;
  // Grows with each report of one life.
  std::uint64_t sequence = 0;
  // Revisions of the router's copies of the store.
  std::uint64_t operator_revision = 0;
  std::uint64_t target_revision = 0;
  // The process ends soon.
  bool is_leaving = false;
  // What the router has in flight, by target id.
  std::map<std::string, TargetLoad> load;
  // What the router's callers ask, by customer.
  DemandByCustomer demand;
  std::vector<CrashReport> crashes;
  // Targets that refused connections lately.
  std::vector<std::string> unreachable;
  // Addresses of other routers that this one hears.
  std::vector<std::string> heard;
  friend bool operator==(const PeerReport&, const PeerReport&) = default;
};

// Encodes a report as MessagePack.
std::string EncodeReport(const PeerReport& report);
// Returns InvalidArgument if the bytes are no report.
absl::StatusOr<PeerReport> DecodeReport(std::string_view bytes);

// Not thread-safe.
class PeerTable {
 public:
  explicit PeerTable(std::string own_vm) : own_vm_(std::move(own_vm)) {}

  // Takes a report unless a newer one is held. Returns whether it was taken.
  bool Take(TimePoint now, PeerReport report);
  // Notes a router that others name or that the settings list.
  void NoteAddress(const std::string& vm);
  // Forgets routers that were silent for long.
  void Expire(TimePoint now);

  // Routers heard lately, in ascending order of address, without this one.
  std::vector<const PeerReport*> Alive(TimePoint now) const;
  // All addresses that may be routers, heard or not, without this one.
  std::vector<std::string> Addresses() const;
  bool IsAlive(TimePoint now, const std::string& vm) const;
  // Number of live routers and this one's place among them by address.
  int FleetSize(TimePoint now) const;
  int OwnPosition(TimePoint now) const;

  std::map<std::string, TargetLoad> SumOfLoad(TimePoint now) const;
  DemandByCustomer SumOfDemand(TimePoint now) const;

 private:
  struct Peer {
    PeerReport report;
    TimePoint heard_at;
    bool has_report = false;
  };
  const std::string own_vm_;
  std::map<std::string, Peer> peers_;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_PEERS_PEER_REPORT_H_
