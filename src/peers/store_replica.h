// In-memory replica of a part of the platform's store; every router has one.
//
// Revisions of the store only increase. A replica can therefore be updated from
// a peer as well as from the store: the newer revision wins, and a value of a
// key is never replaced by an older one.
#ifndef CORIANDERPOST_PEERS_STORE_REPLICA_H_
#define CORIANDERPOST_PEERS_STORE_REPLICA_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "model/store_batch.h"
#include "peers/value_delta.h"

namespace corianderpost {

// The items under one key prefix. Not thread-safe.
class StoreReplica {
 public:
  // Applies a snapshot: all items as of `batch.store_revision`. Ignores it if
  // it is older than the replica. Returns the changes; items missing from the
  // snapshot are returned as removals.
  std::vector<StoreItem> ApplySnapshot(const StoreBatch& batch);
  // Applies changes made since the replica's revision. Returns those that were
  // new to the replica.
  std::vector<StoreItem> ApplyChanges(const StoreBatch& batch);

  // Returns the changes after revision `after`, including removals. Returns a
  // snapshot, with `is_snapshot` set, if `after` is zero or if removals after
  // it may be unknown.
  StoreBatch ChangesSince(std::uint64_t after) const;

  // The replica includes all changes up to this revision of the store.
  std::uint64_t revision() const { return revision_; }
  // Revision of the last change under the prefix. Unlike `revision()`, it does
  // not grow when other keys of the store change.
  std::uint64_t content_revision() const { return content_revision_; }
  // True once a snapshot has been applied.
  bool is_loaded() const { return is_loaded_; }
  const std::map<std::string, StoreItem>& items() const { return items_; }
  // Recent versions of the large values, by key.
  const std::map<std::string, ValueHistory>& histories() const {
    return histories_;
  }
  // Hashes of the large values, which a peer needs in order to send deltas.
  std::vector<std::uint64_t> LargeValueHashes() const;

 private:
  // Returns false if the replica has the same or a newer revision of the key.
  bool ApplyItem(const StoreItem& item);
  void PruneTombstones();
  std::map<std::string, StoreItem> items_;
  // Revisions of the removals, by key.
  std::map<std::string, std::uint64_t> tombstones_;
  // Removals up to this revision may be unknown: they were made before the
  // first snapshot, or their tombstones have been pruned.
  std::uint64_t pruned_revision_ = 0;
  std::uint64_t revision_ = 0;
  std::uint64_t content_revision_ = 0;
  // Versions of large values that peers may have, by key.
  std::map<std::string, ValueHistory> histories_;
  bool is_loaded_ = false;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_PEERS_STORE_REPLICA_H_
