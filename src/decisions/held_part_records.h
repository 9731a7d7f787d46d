// Which software version's targets hold a prompt part in their memory.
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

#include "corianderpost/clock.h"
#include "corianderpost/ids.h"
#include "dataplane/stream_directory.h"

namespace corianderpost {

// What is known of the targets that hold a part.
struct PartHolder {
  // Unknown if there is a conflict, or if the target's entry names none.
  VersionId version;
  // The most tokens that one target holds of the part.
  std::int64_t tokens = 0;
  // Targets of several versions may hold the part: of two records, the versions
  // differ or are unknown, or a record was left out for lack of room.
  bool is_conflict = false;
  friend bool operator==(const PartHolder&, const PartHolder&) = default;
};

// Returns what both say together.
PartHolder Merge(const PartHolder& a, const PartHolder& b);

// Returns the version that began the stream whose prompt ends with
// `prompt_tokens` of the part, or nullopt if `holder` does not show it.
std::optional<VersionId> WriterOf(const PartHolder& holder,
                                  std::int64_t prompt_tokens);

// Not thread-safe.
class HeldPartRecords {
 public:
  // Keeps at most `max_records`.
  explicit HeldPartRecords(std::size_t max_records)
      : max_records_(max_records) {}

  // Records that a target holds a part at `now`.
  void Add(TimePoint now, const StreamKey& key, const PartHolder& holder);
  // Returns what is known of a part; nullopt if nothing is. A conflict while a
  // record may be missing that was left out for lack of room.
  std::optional<PartHolder> Find(TimePoint now, const StreamKey& key) const;
  // Deletes expired records.
  void Expire(TimePoint now);

  std::size_t size() const { return records_.size(); }

 private:
  struct Record {
    PartHolder holder;
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
