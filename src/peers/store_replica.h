// In-memory replica of a part of the platform's store; every router has one.
//
// Positions of the store, its era and then its revision, only increase. A
// replica can therefore be updated from a peer as well as from the store: the
// newer position wins, and a value of a key is never replaced by an older one
// of the same era.
//
// When the store was restored from an older copy, the replica becomes what the
// store has. What it had beyond that is retained until the owners have written
// it again.
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
  // Whether the batch is of an earlier position than the replica. A batch that
  // states no era counts as one of the replica's era.
  bool IsOlder(const StoreBatch& batch) const;
  // Whether the store was restored since the replica was updated, or may have
  // been because the replica knows no era, so that only a snapshot can be
  // applied.
  bool IsOfNewEra(const StoreBatch& batch) const;
  // Applies a snapshot: all items as of `batch.store_revision`. Ignores it if
  // it is older than the replica. Returns the changes; items missing from the
  // snapshot are returned as removals. In a new era they are marked as
  // restored.
  std::vector<StoreItem> ApplySnapshot(const StoreBatch& batch);
  // Applies changes made since the replica's revision. Returns those that were
  // new to the replica. Ignores changes of another era.
  std::vector<StoreItem> ApplyChanges(const StoreBatch& batch);
  // Adds items that a peer has retained. Returns those that differ from what
  // this replica has, each followed by a removal that is marked as restored if
  // the store lacks the key.
  std::vector<StoreItem> ApplyRetained(const std::vector<StoreItem>& items);

  // Returns the changes after revision `after`, including removals. Returns a
  // snapshot, with `is_snapshot` set, if `after` is zero or if removals after
  // it may be unknown.
  StoreBatch ChangesSince(std::uint64_t after) const;

  // The replica includes all changes up to this revision of the store, in this
  // era.
  std::uint64_t revision() const { return revision_; }
  std::uint64_t era() const { return era_; }
  StorePosition position() const { return {era_, revision_}; }
  // Revision of the last change under the prefix. Unlike `revision()`, it does
  // not grow when other keys of the store change.
  std::uint64_t content_revision() const { return content_revision_; }
  // True once a snapshot has been applied.
  bool is_loaded() const { return is_loaded_; }
  const std::map<std::string, StoreItem>& items() const { return items_; }
  // Items of former eras that the store lacks, or has with another value, until
  // they are released.
  const std::map<std::string, StoreItem>& retained() const { return retained_; }
  // Ends the retention of one key, or of all others.
  void Release(const std::string& key) { retained_.erase(key); }
  void ReleaseAllExcept(const std::string& key);
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
  // Replaces the contents by the snapshot of a new era.
  std::vector<StoreItem> ApplyNewEra(const StoreBatch& batch);
  void RecordHistory(const StoreItem& item);
  std::map<std::string, StoreItem> items_;
  // Revisions of the removals, by key.
  std::map<std::string, std::uint64_t> tombstones_;
  // Removals up to this revision may be unknown: they were made before the
  // first snapshot, or their tombstones have been pruned.
  std::uint64_t pruned_revision_ = 0;
  std::map<std::string, StoreItem> retained_;
  std::uint64_t era_ = 0;
  std::uint64_t revision_ = 0;
  std::uint64_t content_revision_ = 0;
  // Versions of large values that peers may have, by key.
  std::map<std::string, ValueHistory> histories_;
  bool is_loaded_ = false;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_PEERS_STORE_REPLICA_H_
