// Which software versions' targets hold a prompt part in their memory.
//
// The last part of a prompt belongs to one request or its session. A target
// that holds it read that request, and if it holds more tokens of the part than
// the prompt states, it also made events. Knowledge of several routers merges.
#ifndef CORIANDERPOST_DECISIONS_HELD_PART_RECORDS_H_
#define CORIANDERPOST_DECISIONS_HELD_PART_RECORDS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "corianderpost/clock.h"
#include "corianderpost/ids.h"
#include "dataplane/stream_directory.h"

namespace corianderpost {

// A version of which targets hold a part; unknown for targets that state none.
struct PartHolder {
  VersionId version;
  // The most tokens that one of these targets holds of the part.
  std::int64_t tokens = 0;
  friend bool operator==(const PartHolder&, const PartHolder&) = default;
};

// What is known of the targets that hold a part.
struct PartHolders {
  // One for each version, in the order of the versions' ids.
  std::vector<PartHolder> by_version;
  // Other targets may hold the part.
  bool is_incomplete = false;
  friend bool operator==(const PartHolders&, const PartHolders&) = default;
};

// The most versions that are told apart of one part.
inline constexpr std::size_t kMaxPartHolders = 8;

// Returns what both say together.
PartHolders Merge(const PartHolders& a, const PartHolders& b);

// Which version made events of a stream.
struct PartWriter {
  // Unknown if none is known to have, or if there is a conflict.
  VersionId version;
  // Several versions may have, or one that is not known.
  bool is_conflict = false;
  friend bool operator==(const PartWriter&, const PartWriter&) = default;
};

// Returns the version that began a stream: the only one that holds at least
// `min_tokens` of the part, those of the prompt and one for each event that the
// caller received. None if `holders` is incomplete.
PartWriter WriterOf(const PartHolders& holders, std::int64_t min_tokens);

// Not thread-safe.
class HeldPartRecords {
 public:
  // Keeps at most `max_records`.
  explicit HeldPartRecords(std::size_t max_records)
      : max_records_(max_records) {}

  // Records that a target holds a part at `now`.
  void Add(TimePoint now, const StreamKey& key, const PartHolder& holder);
  // Returns what is known of a part. Incomplete if there was no room for a
  // record, which may have been one of this part.
  PartHolders Find(TimePoint now, const StreamKey& key) const;
  // Deletes expired records.
  void Expire(TimePoint now);

  std::size_t size() const { return records_.size(); }

 private:
  struct Record {
    PartHolders holders;
    TimePoint expires_at;
  };
  struct KeyHash {
    std::size_t operator()(const StreamKey& key) const noexcept {
      return key.value;
    }
  };

  const std::size_t max_records_;
  std::unordered_map<StreamKey, Record, KeyHash> records_;
  // Records were left out for lack of room, and those would not have expired
  // before.
  std::optional<TimePoint> incomplete_until_;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_DECISIONS_HELD_PART_RECORDS_H_
