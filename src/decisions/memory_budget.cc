#include "decisions/memory_budget.h"

#include <algorithm>
#include <utility>

namespace corianderpost {

void MemoryBudget::Add(const void* owner, Reclaimable reclaimable) {
  reclaimables_.insert_or_assign(owner, std::move(reclaimable));
}

bool MemoryBudget::ReclaimLargerThan(std::size_t bytes) {
  const void* largest = nullptr;
  for (const auto& [owner, it] : reclaimables_) {
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

bool MemoryBudget::TryGrow(std::size_t from, std::size_t to) {
  while (used_ - from + to > LimitFor(to)) {
    if (!ReclaimLargerThan(to)) {
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

bool MemoryCharge::TrySet(std::size_t bytes) {
  if (budget_ != nullptr && bytes > bytes_ &&
      !budget_->TryGrow(bytes_, bytes)) {
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
