// Limits the memory that connections and their messages take in a router.
#ifndef CORIANDERPOST_DECISIONS_MEMORY_BUDGET_H_
#define CORIANDERPOST_DECISIONS_MEMORY_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>

#include "corianderpost/clock.h"

namespace corianderpost {

// Counts the bytes of connections and of the messages that are being received,
// kept or sent, including bytes that the kernel has received and the router has
// not read. All charge it through `MemoryCharge`.
//
// If a charge doesn't fit, clients are evicted in the order of
// decisions/eviction_order.h, as far as they come before the one that grows.
// Messages of more than `kLargeMessageBytes` leave a quarter of the limit to
// smaller ones. If no client is evicted, larger reclaimable responses of
// targets are given up, the largest first: a target whose response has no end
// loses this response before others lose theirs. Not thread-safe.
class MemoryBudget {
 public:
  static constexpr std::size_t kLargeMessageBytes = std::size_t{64} * 1024;

  // A message that can be given up while it is being received.
  struct Reclaimable {
    std::function<std::size_t()> bytes;
    // Releases the message's charge. May be called while another charge grows.
    std::function<void()> reclaim;
    // Time since the client last completed a message. Not set for responses of
    // targets.
    std::function<Duration()> held_for = {};
  };

  explicit MemoryBudget(std::size_t limit) : limit_(limit) {}
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  // Does not affect what has been charged.
  void SetLimit(std::size_t limit) { limit_ = limit; }
  std::size_t limit() const { return limit_; }
  std::size_t used() const { return used_; }
  // Largest value of `used()` so far.
  std::size_t peak() const { return peak_; }
  // Whether only small messages may still grow.
  bool IsShort() const { return used_ >= LimitFor(kLargeMessageBytes + 1); }
  // Number of charges that did not fit, and of messages that were reclaimed.
  std::uint64_t refused_count() const { return refused_count_; }
  std::uint64_t reclaimed_count() const { return reclaimed_count_; }
  // Number of clients that were evicted.
  std::uint64_t evicted_count() const { return evicted_count_; }

  // Lets the message of `owner` be reclaimed until `Remove`. `owner` only
  // identifies it.
  void Add(const void* owner, Reclaimable reclaimable);
  void Remove(const void* owner) { reclaimables_.erase(owner); }
  // Evicts clients until `used()` is within the limit or none is left. Charges
  // that can't be refused may have exceeded it.
  void MakeRoom();

 private:
  friend class MemoryCharge;
  // Returns false if a message must not grow from `from` to `to` bytes.
  bool TryGrow(std::size_t from, std::size_t to, Duration held_for);
  // Evicts the first client in the order of eviction that comes before a
  // requester with this memory. Returns false if there is none.
  bool EvictFor(std::size_t bytes, Duration held_for);
  // Gives up the largest reclaimable response of more than `bytes`. Returns
  // false if there is none.
  bool ReclaimLargerThan(std::size_t bytes);
  void Change(std::size_t from, std::size_t to);
  // Limit on `used()` when a message of this size grows.
  std::size_t LimitFor(std::size_t message_bytes) const {
    return message_bytes > kLargeMessageBytes ? limit_ / 4 * 3 : limit_;
  }
  std::size_t limit_;
  std::size_t used_ = 0;
  std::size_t peak_ = 0;
  std::uint64_t refused_count_ = 0;
  std::uint64_t reclaimed_count_ = 0;
  std::uint64_t evicted_count_ = 0;
  std::map<const void*, Reclaimable> reclaimables_;
};

// The memory of one message or connection. Releases it when destroyed. Not
// thread-safe.
class MemoryCharge {
 public:
  // Without a budget, there is no limit. `budget` must outlive the charge.
  explicit MemoryCharge(MemoryBudget* budget = nullptr) : budget_(budget) {}
  MemoryCharge(MemoryCharge&& other) noexcept;
  MemoryCharge& operator=(MemoryCharge&& other) noexcept;
  ~MemoryCharge() { Set(0); }

  // Changes the size of the message unless the budget refuses it. `held_for` is
  // the time since its sender last completed a message.
  [[nodiscard]] bool TrySet(std::size_t bytes, Duration held_for = Duration(0));
  // Changes the size of a message that can no longer be refused.
  void Set(std::size_t bytes);
  std::size_t bytes() const { return bytes_; }
  MemoryBudget* budget() const { return budget_; }

 private:
  MemoryBudget* budget_;
  std::size_t bytes_ = 0;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_DECISIONS_MEMORY_BUDGET_H_
