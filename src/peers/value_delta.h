// Differences between versions of a large value, so that peers exchange only
// what has changed in it.
//
// Both sides need no agreement on versions: a receiver names the hash of the
// value that it has, and the sender describes the new value by ranges of that
// one and by new bytes, if it knows that hash.
#ifndef CORIANDERPOST_PEERS_VALUE_DELTA_H_
#define CORIANDERPOST_PEERS_VALUE_DELTA_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "absl/status/statusor.h"

namespace corianderpost {

// Values with fewer bytes are sent whole.
inline constexpr std::size_t kMinDeltaValueBytes = std::size_t{8} * 1024;

// A range of the value that the receiver has.
struct CopiedRange {
  std::uint64_t offset = 0;
  std::uint64_t size = 0;
  friend bool operator==(const CopiedRange&, const CopiedRange&) = default;
};

// One part of the new value: a range of the receiver's value, or new bytes.
using DeltaPart = std::variant<CopiedRange, std::string>;

// How to build one value from another.
struct ValueDelta {
  std::uint64_t base_hash = 0;
  std::uint64_t result_hash = 0;
  std::vector<DeltaPart> parts;
  friend bool operator==(const ValueDelta&, const ValueDelta&) = default;
};

// Returns the hash that identifies a value. Thread-safe.
std::uint64_t HashOfValue(std::string_view value);

// Builds the new value. Returns FailedPreconditionError if `base` is not the
// delta's base, and InvalidArgumentError if the result is not the intended one.
// Thread-safe.
absl::StatusOr<std::string> ApplyDelta(std::string_view base,
                                       const ValueDelta& delta);

// The chunks of the last few values, from which deltas are computed. Holds
// hashes and offsets, not the values. Not thread-safe.
class ValueHistory {
 public:
  // Adds a value, and forgets the oldest one if there are too many.
  void Record(std::string_view value);
  // Hash of the value that was recorded last.
  std::optional<std::uint64_t> NewestHash() const { return newest_hash_; }
  // Returns the difference from the first of `bases`, hashes of values, that is
  // known; nullopt if none is.
  std::optional<ValueDelta> DeltaTo(
      std::string_view value, const std::vector<std::uint64_t>& bases) const;

 private:
  struct Chunk {
    std::uint64_t hash = 0;
    CopiedRange range;
  };
  struct Version {
    std::uint64_t hash = 0;
    // In the order of the value.
    std::vector<Chunk> chunks;
    // The first chunk with this hash.
    std::unordered_map<std::uint64_t, std::size_t> index_of_hash;
  };
  // Oldest first.
  std::deque<Version> versions_;
  std::optional<std::uint64_t> newest_hash_;
  // The last result of `DeltaTo`, since many peers ask for the same.
  mutable std::optional<ValueDelta> last_delta_;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_PEERS_VALUE_DELTA_H_
