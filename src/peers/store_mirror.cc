#include "peers/store_mirror.h"

#include <algorithm>

namespace corianderpost {
namespace {

// Removals that are remembered, to tell peers.
constexpr std::size_t kMaxRemoved = 1024;

}  // namespace

bool StoreMirror::Put(const StoreItem& item) {
  const auto held = items_.find(item.key);
  const auto removed = removed_.find(item.key);
  if ((held != items_.end() && held->second.revision >= item.revision) ||
      (removed != removed_.end() && removed->second >= item.revision)) {
    return false;
  }
  if (item.is_removed) {
    items_.erase(item.key);
    removed_[item.key] = item.revision;
    Forget();
  } else {
    removed_.erase(item.key);
    items_[item.key] = item;
  }
  return true;
}

void StoreMirror::Forget() {
  while (removed_.size() > kMaxRemoved) {
    const auto oldest = std::min_element(
        removed_.begin(), removed_.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    forgotten_ = std::max(forgotten_, oldest->second);
    removed_.erase(oldest);
  }
}

std::vector<StoreItem> StoreMirror::Replace(const StoreBatch& batch) {
  std::vector<StoreItem> changes;
  if (is_filled_ && batch.store_revision < revision_) {
    return changes;
  }
  std::map<std::string, StoreItem> listed;
  for (const StoreItem& it : batch.items) {
    listed[it.key] = it;
  }
  std::vector<StoreItem> gone;
  for (const auto& [key, item] : items_) {
    // A newer item than the list was written after it was taken.
    if (!listed.contains(key) && item.revision <= batch.store_revision) {
      gone.push_back({key, "", batch.store_revision, true});
    }
  }
  for (const StoreItem& it : gone) {
    Put(it);
    changes.push_back(it);
  }
  for (const auto& [key, item] : listed) {
    if (Put(item)) {
      changes.push_back(item);
    }
  }
  revision_ = std::max(revision_, batch.store_revision);
  forgotten_ = std::max(forgotten_, is_filled_ ? 0 : batch.store_revision);
  is_filled_ = true;
  return changes;
}

std::vector<StoreItem> StoreMirror::Apply(const StoreBatch& batch) {
  std::vector<StoreItem> changes;
  for (const StoreItem& it : batch.items) {
    if (Put(it)) {
      changes.push_back(it);
    }
  }
  revision_ = std::max(revision_, batch.store_revision);
  return changes;
}

StoreBatch StoreMirror::Since(std::uint64_t after) const {
  StoreBatch batch;
  batch.store_revision = revision_;
  batch.is_snapshot = after < forgotten_ || after == 0;
  for (const auto& [key, item] : items_) {
    if (batch.is_snapshot || item.revision > after) {
      batch.items.push_back(item);
    }
  }
  if (!batch.is_snapshot) {
    for (const auto& [key, revision] : removed_) {
      if (revision > after) {
        batch.items.push_back({key, "", revision, true});
      }
    }
  }
  return batch;
}

}  // namespace corianderpost
