// Work that targets have not begun, as far as one router knows.
#ifndef CORIANDERPOST_DECISIONS_PENDING_WORK_H_
#define CORIANDERPOST_DECISIONS_PENDING_WORK_H_

#include <algorithm>
#include <array>
#include <cstdint>

#include "corianderpost/clock.h"

namespace corianderpost {

// Sum of the work sent in about the last second and not begun. Older work is
// left out: a router that can't keep up sees first events late, and would tell
// its peers of queues that are long gone. Not thread-safe.
class PendingWork {
 public:
  void Add(TimePoint now, double amount) {
    Expire(now);
    Bucket(BucketIndex(now)) += amount;
  }
  // Takes back work that was added at `added_at`.
  void Remove(TimePoint now, TimePoint added_at, double amount) {
    Expire(now);
    if (BucketIndex(now) - BucketIndex(added_at) < kBuckets) {
      double& bucket = Bucket(BucketIndex(added_at));
      bucket = std::max(0.0, bucket - amount);
    }
  }
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
