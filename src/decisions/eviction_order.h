// Decides which client loses its connection when memory is short.
#ifndef CORIANDERPOST_DECISIONS_EVICTION_ORDER_H_
#define CORIANDERPOST_DECISIONS_EVICTION_ORDER_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "corianderpost/clock.h"

namespace corianderpost {

// Memory that a client holds, and the time since it last completed a message:
// sent a whole request, or accepted output.
struct HeldMemory {
  std::size_t bytes = 0;
  Duration held_for{0};
  friend bool operator==(const HeldMemory&, const HeldMemory&) = default;
};

// Weight of a client in the order of eviction, in byte-seconds: the client that
// has held the most for the longest comes first. Thread-safe.
double EvictionWeight(const HeldMemory& held);

// Returns the index in `held` of the client to evict in favor of a message of
// `requester`, which is the one with the largest weight; nullopt if no weight
// exceeds the requester's, so that a message never grows at the expense of
// clients that have held less, or for a shorter time. Thread-safe.
std::optional<std::size_t> ChooseEviction(const std::vector<HeldMemory>& held,
                                          const HeldMemory& requester);

}  // namespace corianderpost

#endif  // CORIANDERPOST_DECISIONS_EVICTION_ORDER_H_
