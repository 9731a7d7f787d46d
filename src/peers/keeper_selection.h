// Selects the routers that remember a record, and those that may have it, by
// rendezvous hashing of the record's key among the live routers of each zone.
#ifndef CORIANDERPOST_PEERS_KEEPER_SELECTION_H_
#define CORIANDERPOST_PEERS_KEEPER_SELECTION_H_

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "corianderpost/clock.h"
#include "corianderpost/ids.h"
#include "dataplane/stream_directory.h"
#include "peers/stream_peers.h"

namespace corianderpost {

// Used from the event loop only.
class KeeperSelection {
 public:
  // `peers` must outlive the selection.
  KeeperSelection(RouterInfo self, const StreamPeers& peers);

  // Updates the live routers if the last update is too old. Call before the
  // other methods.
  void Refresh(TimePoint now);
  // Returns the peers that are to remember a record of this router.
  std::vector<std::string> Keepers(const StreamKey& key) const;
  // Adds the peers that any router may have chosen to remember a record.
  void AddPossibleKeepers(const StreamKey& key,
                          std::set<std::string>& keepers) const;
  // Whether this router is one of those that are to question a target.
  bool IsAsker(const std::string& target_id) const;
  // Returns the IPv4 addresses of the live routers except this one.
  const std::vector<std::string>& live_peers() const { return live_peers_; }

 private:
  struct Router {
    std::string vm;
    VmId id;
  };
  struct Zone {
    std::string name;
    std::uint32_t id = 0;
    bool is_in_local_region = false;
    // The routers of the zone, including this one.
    std::vector<Router> routers;
  };

  // Returns the best routers of the zone for `key`, at most `count`.
  static std::vector<std::string> Candidates(const Zone& zone,
                                             const StreamKey& key,
                                             std::size_t count);

  const RouterInfo self_;
  const StreamPeers& peers_;
  // Live routers by zone.
  std::vector<Zone> zones_;
  std::vector<std::string> live_peers_;
  TimePoint refreshed_at_ = TimePoint::min();
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_PEERS_KEEPER_SELECTION_H_
