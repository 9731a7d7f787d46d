// Bounded table of streams that began recently: which service and software
// version began each.
#ifndef CORIANDERPOST_DECISIONS_STREAM_RECORDS_H_
#define CORIANDERPOST_DECISIONS_STREAM_RECORDS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

#include "corianderpost/clock.h"
#include "corianderpost/ids.h"
#include "dataplane/stream_directory.h"

namespace corianderpost {

// How long a begun stream is remembered. Callers may resume a stream as long as
// their deadline has not passed.
inline constexpr Duration kStreamRetention = std::chrono::seconds(60);

// What is remembered of a begun stream.
struct StreamRecord {
  BegunStream stream;
  // When the first event was passed on.
  TimePoint begun_at;
  TimePoint expires_at;
  // Records of the same key contradict each other.
  bool is_conflict = false;
  friend bool operator==(const StreamRecord&, const StreamRecord&) = default;
};

// Capacity is divided between the customers: when the table is full, the oldest
// record of the customer with the most records is evicted. Not thread-safe.
class StreamRecords {
 public:
  // Keeps at most `max_records`, at least one.
  explicit StreamRecords(std::size_t max_records) : max_records_(max_records) {}

  // Records that `stream` began at `begun_at`. A second record of a key keeps
  // the first one longer, or marks it as a conflict if the customer, service or
  // version differs or the version is unknown, or if `is_conflict`. May evict a
  // record, also the new one.
  void Add(const BegunStream& stream, TimePoint begun_at,
           bool is_conflict = false);
  // Returns null if there is no record that has not expired. The pointer is
  // valid until the next call of a non-const method.
  const StreamRecord* Find(TimePoint now, const StreamKey& key) const;
  // Deletes expired records.
  void Expire(TimePoint now);

  std::size_t size() const { return records_.size(); }
  // Number of records evicted before they expired.
  std::uint64_t eviction_count() const { return eviction_count_; }

 private:
  struct KeyHash {
    std::size_t operator()(const StreamKey& key) const noexcept {
      return key.value;
    }
  };
  // Records of a customer, in the order in which they expire.
  using ExpiryOrder = std::set<std::pair<TimePoint, StreamKey>>;

  void Index(const StreamRecord& record);
  void Unindex(const StreamRecord& record);
  // Evicts a record of the customer with the most records; of `newest` if
  // others have as many.
  void EvictOne(CustomerId newest);

  const std::size_t max_records_;
  std::unordered_map<StreamKey, StreamRecord, KeyHash> records_;
  std::map<CustomerId, ExpiryOrder> by_customer_;
  // Customers by their number of records.
  std::set<std::pair<std::size_t, CustomerId>> counts_;
  std::uint64_t eviction_count_ = 0;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_DECISIONS_STREAM_RECORDS_H_
