// Work that one router has sent to a target and that has not started.
#ifndef CORIANDERPOST_DECISIONS_PENDING_WORK_H_
#define CORIANDERPOST_DECISIONS_PENDING_WORK_H_

#include <algorithm>
#include <array>
#include <cstdint>

#include "corianderpost/clock.h"

namespace corianderpost {

// Sum of the work that was added during about the last second and not removed.
// Older work is dropped: a router that cannot keep up sees first events late,
// and would report queues to its peers that no longer exist. Not thread-safe.
class PendingWork {
 public:
  void Add(TimePoint now, double amount) {
    Expire(now);
    Bucket(BucketIndex(now)) += amount;
  }
  // Removes work that was added at `added_at`; does nothing if that was
  // dropped.
  void Remove(TimePoint now, TimePoint added_at, double amount) {
    Expire(now);
    if (BucketIndex(now) - BucketIndex(added_at) < kBuckets) {
      double& bucket = Bucket(BucketIndex(added_at));
      bucket = std::max(0.0, bucket - amount);
    }
  }
  // Returns the pending work as of `now`.
  double Sum(TimePoint now) const {
    double sum = 0;
    for (std::int64_t i = 0; i < kBuckets; ++i) {
      const std::int64_t index = last_index_ - i;
      sum += BucketIndex(now) - index < kBuckets ? Bucket(index) : 0.0;
    }
    return sum;
  }

 private:
  static constexpr std::int64_t kBuckets = 5;
  static constexpr Duration kBucketDuration = std::chrono::milliseconds(250);

  static std::int64_t BucketIndex(TimePoint time) {
    return time.time_since_epoch() / kBucketDuration;
  }
  double& Bucket(std::int64_t index) {
    return buckets_[static_cast<std::size_t>(index % kBuckets)];
  }
  double Bucket(std::int64_t index) const {
    return index < 0 ? 0.0
                     : buckets_[static_cast<std::size_t>(index % kBuckets)];
  }
  void Expire(TimePoint now) {
    const std::int64_t index = BucketIndex(now);
    for (std::int64_t i = std::max(last_index_ + 1, index - kBuckets + 1);
         i <= index; ++i) {
      Bucket(i) = 0;
    }
    last_index_ = std::max(last_index_, index);
  }

  std::array<double, kBuckets> buckets_{};
  std::int64_t last_index_ = 0;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_DECISIONS_PENDING_WORK_H_
