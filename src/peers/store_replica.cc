#include "peers/store_replica.h"

#include <algorithm>
#include <utility>

namespace corianderpost {
namespace {

// Tombstones kept for peers that fetch changes.
constexpr std::size_t kMaxTombstones = 1024;

}  // namespace

bool StoreReplica::ApplyItem(const StoreItem& item) {
  const auto existing = items_.find(item.key);
  const auto tombstone = tombstones_.find(item.key);
  if ((existing != items_.end() &&
       existing->second.revision >= item.revision) ||
      (tombstone != tombstones_.end() && tombstone->second >= item.revision)) {
    return false;
  }
  if (item.is_removed) {
    items_.erase(item.key);
    tombstones_[item.key] = item.revision;
    PruneTombstones();
    histories_.erase(item.key);
  } else {
    tombstones_.erase(item.key);
    items_[item.key] = item;
    RecordHistory(item);
  }
  content_revision_ = std::max(content_revision_, item.revision);
  return true;
}

void StoreReplica::PruneTombstones() {
  while (tombstones_.size() > kMaxTombstones) {
    const auto oldest = std::min_element(
        tombstones_.begin(), tombstones_.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    pruned_revision_ = std::max(pruned_revision_, oldest->second);
    tombstones_.erase(oldest);
  }
}

void StoreReplica::RecordHistory(const StoreItem& item) {
  if (item.value.size() >= kMinDeltaValueBytes) {
    histories_[item.key].Record(item.value);
  }
}

bool StoreReplica::IsOfNewEra(const StoreBatch& batch) const {
  // A replica that was copied from a peer of an earlier version knows no era.
  // It may be of a former one, whatever its revision.
  return is_loaded_ && batch.era > era_;
}

bool StoreReplica::IsOlder(const StoreBatch& batch) const {
  if (!is_loaded_ || IsOfNewEra(batch)) {
    return false;
  }
  return (batch.era != 0 && batch.era < era_) ||
         batch.store_revision < revision_;
}

std::vector<StoreItem> StoreReplica::ApplyNewEra(const StoreBatch& batch) {
  const std::map<std::string, StoreItem> former = std::exchange(items_, {});
  tombstones_.clear();
  for (const StoreItem& it : batch.items) {
    items_[it.key] = it;
  }
  content_revision_ = 0;
  std::vector<StoreItem> changes;
  for (const auto& [key, item] : former) {
    const auto restored = items_.find(key);
    if (restored == items_.end()) {
      changes.push_back({key, "", batch.store_revision, true, true});
    }
    if (restored == items_.end() || restored->second.value != item.value) {
      // An item that is retained already is of a still earlier era, and its
      // owner has not written it since.
      retained_.try_emplace(key, item);
    }
  }
  for (auto& [key, item] : items_) {
    content_revision_ = std::max(content_revision_, item.revision);
    RecordHistory(item);
    const auto retained = retained_.find(key);
    if (retained != retained_.end() && retained->second.value == item.value) {
      retained_.erase(retained);
    }
    const auto before = former.find(key);
    if (before == former.end() || before->second.value != item.value) {
      changes.push_back(item);
      changes.back().is_restored = true;
    }
  }
  era_ = batch.era;
  revision_ = batch.store_revision;
  pruned_revision_ = batch.store_revision;
  return changes;
}

void StoreReplica::ReleaseAllExcept(const std::string& key) {
  std::erase_if(retained_, [&key](const auto& it) { return it.first != key; });
}

std::vector<StoreItem> StoreReplica::ApplyRetained(
    const std::vector<StoreItem>& items) {
  std::vector<StoreItem> changes;
  for (const StoreItem& it : items) {
    const auto existing = items_.find(it.key);
    if ((existing != items_.end() && existing->second.value == it.value) ||
        !retained_.try_emplace(it.key, it).second) {
      continue;
    }
    changes.push_back(it);
    if (existing == items_.end()) {
      changes.push_back({it.key, "", it.revision, true, true});
    }
  }
  return changes;
}

std::vector<StoreItem> StoreReplica::ApplySnapshot(const StoreBatch& batch) {
  std::vector<StoreItem> changes;
  if (IsOlder(batch)) {
    return changes;
  }
  if (IsOfNewEra(batch)) {
    return ApplyNewEra(batch);
  }
  era_ = std::max(era_, batch.era);
  std::map<std::string, StoreItem> listed;
  for (const StoreItem& it : batch.items) {
    listed[it.key] = it;
  }
  std::vector<StoreItem> removals;
  for (const auto& [key, item] : items_) {
    // An item newer than the snapshot was written after the snapshot was read.
    if (!listed.contains(key) && item.revision <= batch.store_revision) {
      removals.push_back({key, "", batch.store_revision, true});
    }
  }
  for (const StoreItem& it : removals) {
    ApplyItem(it);
    changes.push_back(it);
  }
  for (const auto& [key, item] : listed) {
    if (ApplyItem(item)) {
      changes.push_back(item);
    }
  }
  revision_ = std::max(revision_, batch.store_revision);
  pruned_revision_ =
      std::max(pruned_revision_, is_loaded_ ? 0 : batch.store_revision);
  is_loaded_ = true;
  return changes;
}

std::vector<StoreItem> StoreReplica::ApplyChanges(const StoreBatch& batch) {
  std::vector<StoreItem> changes;
  if (batch.era != 0 && batch.era != era_) {
    return changes;
  }
  for (const StoreItem& it : batch.items) {
    if (ApplyItem(it)) {
      changes.push_back(it);
    }
  }
  revision_ = std::max(revision_, batch.store_revision);
  return changes;
}

StoreBatch StoreReplica::ChangesSince(std::uint64_t after) const {
  StoreBatch batch;
  batch.store_revision = revision_;
  batch.era = era_;
  for (const auto& [key, item] : retained_) {
    batch.retained.push_back(item);
  }
  batch.is_snapshot = after < pruned_revision_ || after == 0;
  for (const auto& [key, item] : items_) {
    if (batch.is_snapshot || item.revision > after) {
      batch.items.push_back(item);
    }
  }
  if (!batch.is_snapshot) {
    for (const auto& [key, revision] : tombstones_) {
      if (revision > after) {
        batch.items.push_back({key, "", revision, true});
      }
    }
  }
  return batch;
}

std::vector<std::uint64_t> StoreReplica::LargeValueHashes() const {
  std::vector<std::uint64_t> hashes;
  for (const auto& [key, history] : histories_) {
    if (const auto hash = history.NewestHash()) {
      hashes.push_back(*hash);
    }
  }
  return hashes;
}

}  // namespace corianderpost
