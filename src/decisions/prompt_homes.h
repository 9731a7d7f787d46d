// Assigns chains of shared prompt parts to targets by rendezvous hashing.
//
// A chain is a prompt's sequence of parts from the first one on. It is
// identified by its hash; the hash of the empty chain is zero. An engine can
// reuse a cached part only if all parts before it are cached too.
#ifndef CORIANDERPOST_DECISIONS_PROMPT_HOMES_H_
#define CORIANDERPOST_DECISIONS_PROMPT_HOMES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "decisions/target_table.h"
#include "model/request.h"

namespace corianderpost {

// Returns the hash of `chain` extended by `part`.
std::uint64_t ExtendChain(std::uint64_t chain, const PromptPart& part);
// Returns the hash of the chain of a prompt's shared parts, which are all but
// the last; zero if there are none.
std::uint64_t ChainOf(const std::vector<PromptPart>& prompt);

// How much of the chains a target gets.
enum class HomeWeighting {
  // All targets get equal parts.
  kEqual,
  // In proportion to the target's quantized speed.
  kBySpeed,
};

// Returns the weight of a target in the rendezvous order of `chain`; the home
// is the target with the highest. With `kBySpeed`, a target is the home of a
// part of all chains in proportion to its speed, and if its speed changes, only
// the chains that it gains or loses move (weighted rendezvous hashing). Weights
// of different `weighting` are not comparable.
double RendezvousWeight(const TargetState& target, std::uint64_t chain,
                        HomeWeighting weighting);

// The targets that should cache a chain: of all targets, of those in the local
// region, and of those in other regions; null if there is none. Routers that
// know the same targets get the same homes, without coordination.
struct Homes {
  const TargetState* of_fleet = nullptr;
  const TargetState* of_local_region = nullptr;
  const TargetState* of_remote_region = nullptr;
};

// Returns the homes of `chain` among `targets`. There are none if `chain` is
// zero.
Homes FindHomes(const std::vector<TargetState*>& targets, std::uint64_t chain,
                HomeWeighting weighting = HomeWeighting::kEqual);

}  // namespace corianderpost

#endif  // CORIANDERPOST_DECISIONS_PROMPT_HOMES_H_
