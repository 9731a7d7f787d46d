// Finds which software version's targets hold a prompt part, in a fleet whose
// routers each have asked some of the targets.
//
// A router that asked a target keeps what it learned of each part and sends it
// to the peers chosen by the part's key. A router that needs it asks the peers
// that may have been chosen.
#ifndef CORIANDERPOST_PEERS_HELD_PART_DIRECTORY_H_
#define CORIANDERPOST_PEERS_HELD_PART_DIRECTORY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "corianderpost/clock.h"
#include "decisions/held_part_records.h"
#include "model/request.h"
#include "model/target.h"
#include "peers/keeper_selection.h"
#include "peers/stream_message.h"

namespace corianderpost {

// Used from the event loop only.
class HeldPartDirectory {
 public:
  using Sender =
      std::function<void(const std::string& vm, const StreamMessage& message)>;
  // Gets what is known of a part.
  using Callback = std::function<void(const PartHolders&)>;

  // `keepers` must outlive the directory. `send` sends a datagram to a router.
  // `first_request_id` should differ from those of the process before, whose
  // replies may still arrive.
  HeldPartDirectory(KeeperSelection& keepers, Sender send,
                    std::uint32_t first_request_id);

  // Searches begin at `ready_at` only: until then, the targets that were asked
  // may not have answered.
  void SetReadyAt(TimePoint ready_at) { ready_at_ = ready_at; }

  // Records the parts that a target holds, and sends the records to peers.
  void RecordHeld(TimePoint now, const TargetEntry& target,
                  const std::vector<PromptPart>& parts);
  // Calls `callback` once, during the call or within a fraction of a second
  // after searches begin.
  void Find(TimePoint now, const StreamKey& key, Callback callback);
  // Handle messages of the router at IPv4 address `from`.
  void Handle(TimePoint now, const HeldPartBatch& batch);
  void Handle(TimePoint now, const std::string& from,
              const HeldPartRequest& request);
  void Handle(const std::string& from, const HeldPartReply& reply);
  // Ends searches that take too long. Must be called regularly.
  void Tick(TimePoint now);

  std::size_t size() const { return records_.size(); }

 private:
  // A search that waits for replies.
  struct Search {
    StreamKey key;
    Callback callback;
    // Peers that have not replied, and the number that were asked.
    std::set<std::string> asked = {};
    std::size_t asked_count = 0;
    TimePoint resend_at = {};
    TimePoint ends_at = {};
    PartHolders found = {};
    bool is_begun = false;
  };

  // Asks the peers; a search without peers to ask is complete.
  void Begin(TimePoint now, Search& search, std::uint32_t request_id);
  void Ask(const Search& search, std::uint32_t request_id);
  void EndSearch(std::uint32_t request_id);

  KeeperSelection& keepers_;
  const Sender send_;
  HeldPartRecords records_;
  std::uint32_t next_request_id_;
  TimePoint ready_at_ = TimePoint::min();
  std::map<std::uint32_t, Search> searches_;
  TimePoint next_housekeeping_at_;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_PEERS_HELD_PART_DIRECTORY_H_
