#include "decisions/eviction_order.h"

#include <algorithm>

namespace corianderpost {
namespace {

// Clients that hold no more are not evicted: a normal request of a few
// kilobytes frees nothing that matters.
constexpr std::size_t kMinEvictedBytes = std::size_t{8} * 1024;
// Added to the time, so that among messages that have just begun the larger one
// comes first.
constexpr Duration kMinHeldFor = std::chrono::milliseconds(100);

}  // namespace

double EvictionWeight(const HeldMemory& held) {
  const std::chrono::duration<double> held_for =
      std::max(held.held_for, Duration(0)) + kMinHeldFor;
  return static_cast<double>(held.bytes) * held_for.count();
}

std::optional<std::size_t> ChooseEviction(const std::vector<HeldMemory>& held,
                                          const HeldMemory& requester) {
  std::optional<std::size_t> heaviest;
  double max_weight = EvictionWeight(requester);
  for (std::size_t i = 0; i < held.size(); ++i) {
    if (const double weight = EvictionWeight(held[i]);
        held[i].bytes > kMinEvictedBytes && weight > max_weight) {
      max_weight = weight;
      heaviest = i;
    }
  }
  return heaviest;
}

}  // namespace corianderpost
