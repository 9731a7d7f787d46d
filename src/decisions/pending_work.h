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
    At(Index(now)) += amount;
  }
  // Takes back work that was added at `added_at`.
  void Remove(TimePoint now, TimePoint added_at, double amount) {
    Expire(now);
    if (Index(now) - Index(added_at) < kSlots) {
      double& slot = At(Index(added_at));
      slot = std::max(0.0, slot - amount);
    }
  }
  double Sum(TimePoint now) const {
    double sum = 0;
    for (std::int64_t i = 0; i < kSlots; ++i) {
      const std::int64_t index = last_ - i;
      sum += Index(now) - index < kSlots ? At(index) : 0.0;
    }
    return sum;
  }

 private:
  static constexpr std::int64_t kSlots = 5;
  static constexpr Duration kSlot = std::chrono::milliseconds(250);

  static std::int64_t Index(TimePoint at) {
    return at.time_since_epoch() / kSlot;
  }
  double& At(std::int64_t index) {
    return slots_[static_cast<std::size_t>(index % kSlots)];
  }
  double At(std::int64_t index) const {
    return index < 0 ? 0.0 : slots_[static_cast<std::size_t>(index % kSlots)];
  }
  void Expire(TimePoint now) {
    const std::int64_t index = Index(now);
    for (std::int64_t i = std::max(last_ + 1, index - kSlots + 1); i <= index;
         ++i) {
      At(i) = 0;
    }
    last_ = std::max(last_, index);
  }

  std::array<double, kSlots> slots_{};
  std::int64_t last_ = 0;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_DECISIONS_PENDING_WORK_H_
