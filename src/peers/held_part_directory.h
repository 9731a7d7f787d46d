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
#include <optional>
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
  // Gets what is known of a part; nullopt if nothing is.
  using Callback = std::function<void(const std::optional<PartHolder>&)>;

  // `keepers` must outlive the directory. `send` sends a datagram to a router.
  // Request ids follow `last_request_id`, which should differ between the runs
  // of a router, so that late replies to an earlier run are ignored.
  HeldPartDirectory(KeeperSelection& keepers, Sender send,
                    std::uint32_t last_request_id);

  // Records the parts that a target holds, and sends the records to peers.
  void RecordHeld(TimePoint now, const TargetEntry& target,
                  const std::vector<PromptPart>& parts);
  // Calls `callback` once, during the call or, from `Tick` or `Handle`, within
  // a fraction of a second. Peers that do not reply in that time are left out.
  void Find(TimePoint now, const StreamKey& key, Callback callback);
  // Handle messages of the router at IPv4 address `from`.
  void Handle(TimePoint now, const HeldPartBatch& batch);
  void Handle(TimePoint now, const std::string& from,
              const HeldPartRequest& request);
  void Handle(const std::string& from, const HeldPartReply& reply);
  // Sends requests again, ends searches that take too long and deletes expired
  // records. Must be called regularly.
  void Tick(TimePoint now);

  // Returns the number of records.
  std::size_t size() const { return records_.size(); }

 private:
  // A search that waits for replies.
  struct Search {
    StreamKey key;
    Callback callback;
    // Peers that have not replied.
    std::set<std::string> asked;
    TimePoint resend_at;
    TimePoint ends_at;
    std::optional<PartHolder> found;
  };

  void Ask(const Search& search, std::uint32_t request_id);
  void EndSearch(std::uint32_t request_id);

  KeeperSelection& keepers_;
  const Sender send_;
  HeldPartRecords records_;
  std::uint32_t last_request_id_;
  std::map<std::uint32_t, Search> searches_;
  TimePoint next_housekeeping_at_;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_PEERS_HELD_PART_DIRECTORY_H_
