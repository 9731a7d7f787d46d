#include "decisions/memory_budget.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "decisions/eviction_order.h"

namespace corianderpost {

void MemoryBudget::Add(const void* owner, Reclaimable reclaimable) {
  reclaimables_.insert_or_assign(owner, std::move(reclaimable));
}

bool MemoryBudget::ReclaimLargerThan(std::size_t bytes) {
  const void* largest = nullptr;
  for (const auto& [owner, it] : reclaimables_) {
    if (it.held_for) {
      continue;
    }
    if (const std::size_t n = it.bytes(); n > bytes) {
      bytes = n;
      largest = owner;
    }
  }
  if (largest == nullptr) {
    return false;
  }
  // Removed first, as `reclaim` may change the map.
  const Reclaimable reclaimable =
      std::move(reclaimables_.extract(largest).mapped());
  ++reclaimed_count_;
  reclaimable.reclaim();
  return true;
}

bool MemoryBudget::EvictFor(std::size_t bytes, Duration held_for) {
  std::vector<const void*> owners;
  std::vector<HeldMemory> held;
  for (const auto& [owner, it] : reclaimables_) {
    if (it.held_for) {
      owners.push_back(owner);
      held.push_back({it.bytes(), it.held_for()});
    }
  }
  const auto chosen = ChooseEviction(held, {bytes, held_for});
  if (!chosen) {
    return false;
  }
  const Reclaimable client =
      std::move(reclaimables_.extract(owners[*chosen]).mapped());
  ++evicted_count_;
  client.reclaim();
  return true;
}

void MemoryBudget::MakeRoom() {
  while (used_ > limit_ && EvictFor(0, Duration(0))) {
  }
}

bool MemoryBudget::TryGrow(std::size_t from, std::size_t to,
                           Duration held_for) {
  while (used_ - from + to > LimitFor(to)) {
    if (!EvictFor(to, held_for) && !ReclaimLargerThan(to)) {
      ++refused_count_;
      return false;
    }
  }
  return true;
}

void MemoryBudget::Change(std::size_t from, std::size_t to) {
  used_ = used_ - from + to;
  peak_ = std::max(peak_, used_);
}

MemoryCharge::MemoryCharge(MemoryCharge&& other) noexcept
    : budget_(other.budget_), bytes_(std::exchange(other.bytes_, 0)) {}

MemoryCharge& MemoryCharge::operator=(MemoryCharge&& other) noexcept {
  if (this != &other) {
    Set(0);
    budget_ = other.budget_;
    bytes_ = std::exchange(other.bytes_, 0);
  }
  return *this;
}

bool MemoryCharge::TrySet(std::size_t bytes, Duration held_for) {
  if (budget_ != nullptr && bytes > bytes_ &&
      !budget_->TryGrow(bytes_, bytes, held_for)) {
    return false;
  }
  Set(bytes);
  return true;
}

void MemoryCharge::Set(std::size_t bytes) {
  if (budget_ != nullptr) {
    budget_->Change(bytes_, bytes);
  }
  bytes_ = bytes;
}

}  // namespace corianderpost
