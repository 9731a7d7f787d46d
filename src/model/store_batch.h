// Items and changes of a versioned key-value store.
#ifndef CORIANDERPOST_MODEL_STORE_BATCH_H_
#define CORIANDERPOST_MODEL_STORE_BATCH_H_

#include <cstdint>
#include <string>
#include <vector>

namespace corianderpost {

// One item of the store, or the removal of one.
struct StoreItem {
  std::string key;
  // Decoded value; empty for a removal.
  std::string value;
  // Store revision at which the item was written or removed.
  std::uint64_t revision = 0;
  bool is_removed = false;
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
  // Era of the store, which rises each time it is restored from an older copy;
  // revisions of different eras can't be compared. 0 if unknown.
  std::uint64_t era = 0;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_MODEL_STORE_BATCH_H_
