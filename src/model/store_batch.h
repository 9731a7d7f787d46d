// Items and changes as a versioned key-value store reports them.
#ifndef CORIANDERPOST_MODEL_STORE_BATCH_H_
#define CORIANDERPOST_MODEL_STORE_BATCH_H_

#include <cstdint>
#include <string>
#include <vector>

namespace corianderpost {

// One item of the store, or its removal.
struct StoreItem {
  std::string key;
  // Decoded bytes; empty for a removal.
  std::string value;
  std::uint64_t revision = 0;
  bool is_removed = false;
  friend bool operator==(const StoreItem&, const StoreItem&) = default;
};

// A page of items or a batch of changes.
struct StoreBatch {
  std::vector<StoreItem> items;
  // The store's revision when it answered.
  std::uint64_t store_revision = 0;
  bool has_more = false;
  // The items are all there are, not only what changed.
  bool is_snapshot = false;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_MODEL_STORE_BATCH_H_
