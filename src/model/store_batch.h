// Items and changes of a versioned key-value store.
#ifndef CORIANDERPOST_MODEL_STORE_BATCH_H_
#define CORIANDERPOST_MODEL_STORE_BATCH_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "corianderpost/clock.h"

namespace corianderpost {

// A point in the history of the store. Revisions are given out again after the
// store was restored from an older copy, which begins a new era.
struct StorePosition {
  // 0 if the store states none.
  std::uint64_t era = 0;
  std::uint64_t revision = 0;
  friend auto operator<=>(const StorePosition&, const StorePosition&) = default;
};

// One item of the store, or the removal of one.
struct StoreItem {
  std::string key;
  // Decoded value; empty for a removal.
  std::string value;
  // Store revision at which the item was written or removed.
  std::uint64_t revision = 0;
  bool is_removed = false;
  // Set if the item, or its absence, comes from an older copy that the store
  // was restored from, so that it may be older than what was known before.
  bool is_restored = false;
  friend bool operator==(const StoreItem&, const StoreItem&) = default;
};

// A listing, one page of it, or a batch of changes.
struct StoreBatch {
  std::vector<StoreItem> items;
  // Revision of the store at the time of the response.
  std::uint64_t store_revision = 0;
  // More pages follow.
  bool has_more = false;
  // True if the items are a full listing, false if they are only changes.
  bool is_snapshot = false;
  // Era of the store; 0 if it states none.
  std::uint64_t era = 0;
  // Items of a former era that the sender, a peer, keeps until their owners
  // have written them again.
  std::vector<StoreItem> retained = {};
  // How much longer removals may be effects of an outage of the store, as the
  // sender, a peer, knows. Absent if it doesn't state that.
  std::optional<Duration> outage_effects = std::nullopt;

  StorePosition position() const { return {era, store_revision}; }
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_MODEL_STORE_BATCH_H_
