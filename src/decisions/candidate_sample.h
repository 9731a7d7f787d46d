// Chooses the few targets that one placement looks at, for services with many
// engines and routers whose counts of each other's requests are delayed.
//
// If every router looked at all engines, all would choose the one that looked
// idle some hundred milliseconds ago, and the others would stay idle. So a
// placement looks at the first engines of the chain's rendezvous order, which
// are the same at all routers and keep what the chain's requests share, and at
// a random one. An engine then gets a bounded multiple of its mean load
// whatever its counts say.
#ifndef CORIANDERPOST_DECISIONS_CANDIDATE_SAMPLE_H_
#define CORIANDERPOST_DECISIONS_CANDIDATE_SAMPLE_H_

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "decisions/target_table.h"

namespace corianderpost {

// How candidates are drawn from a service with engines of uneven speeds.
struct SpeedSampling {
  // This router's index among the fleet's routers, from 0.
  int router_position = 0;
  friend bool operator==(const SpeedSampling&, const SpeedSampling&) = default;
};

// Returns this router's fixed subset of a region's `targets`, of about a dozen.
// Routers with successive positions have disjoint subsets until each target is
// in one, so that each is in about the same number of subsets (deterministic
// subsetting). If a target joins or leaves, a subset changes by one or two
// targets, unless the number of subsets changes.
std::vector<TargetState*> RouterSubset(std::vector<TargetState*> targets,
                                       int router_position);

// Returns the targets that a placement of a request with `chain` looks at: the
// first ones of each region in the chain's order and a random one of each. A
// `chain` of zero has no order; then all are random. Returns all of `targets`
// if there are only a few. With `speed_sampling`, the order is weighted by
// speed, and random ones are drawn from this router's subset with probabilities
// in proportion to their speed. Then the router keeps connections to few
// targets, and reuses them.
std::vector<TargetState*> SampleCandidates(
    const std::vector<TargetState*>& targets, std::uint64_t chain,
    std::minstd_rand& random,
    const std::optional<SpeedSampling>& speed_sampling = std::nullopt);

// Returns `sample` and some more random ones of `targets`. With
// `speed_sampling`, those of this router's subset come first, faster ones more
// probably.
std::vector<TargetState*> ExtendSample(
    const std::vector<TargetState*>& targets,
    const std::vector<TargetState*>& sample, std::minstd_rand& random,
    const std::optional<SpeedSampling>& speed_sampling = std::nullopt);

}  // namespace corianderpost

#endif  // CORIANDERPOST_DECISIONS_CANDIDATE_SAMPLE_H_
