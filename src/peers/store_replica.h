// A copy of a part of the platform's store, kept by every router.
//
// Revisions of the store only grow, so a copy taken from a peer is as good as
// one read from the store, and the newer one wins. A key's newest value is
// never replaced by an older one.
#ifndef CORIANDERPOST_PEERS_STORE_REPLICA_H_
#define CORIANDERPOST_PEERS_STORE_REPLICA_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "model/store_batch.h"

namespace corianderpost {

// The items under one prefix. Not thread-safe.
class StoreReplica {
 public:
  // Takes a list of all items, complete as of `batch.store_revision`. Returns
  // what changed; items that vanished come as removals.
  std::vector<StoreItem> ApplySnapshot(const StoreBatch& batch);
  // Takes changes that follow the mirror's revision. Returns those that were
  // news.
  std::vector<StoreItem> ApplyChanges(const StoreBatch& batch);

  // Returns the items newer than `after`, with removals if they are still
  // remembered, else all items. `is_complete` of the result tells which.
  StoreBatch ChangesSince(std::uint64_t after) const;

  // Everything up to this revision of the store is in the replica.
  std::uint64_t revision() const { return revision_; }
  bool is_loaded() const { return is_loaded_; }
  const std::map<std::string, StoreItem>& items() const { return items_; }

 private:
  bool ApplyItem(const StoreItem& item);
  void PruneTombstones();
  std::map<std::string, StoreItem> items_;
  // Revisions of removed keys.
  std::map<std::string, std::uint64_t> tombstones_;
  // Removals up to this revision are forgotten.
  std::uint64_t pruned_revision_ = 0;
  std::uint64_t revision_ = 0;
  bool is_loaded_ = false;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_PEERS_STORE_REPLICA_H_
