// Where chains of shared prompt parts are kept, by rendezvous hash.
#ifndef CORIANDERPOST_DECISIONS_PROMPT_HOMES_H_
#define CORIANDERPOST_DECISIONS_PROMPT_HOMES_H_

#include <cstdint>
#include <vector>

#include "decisions/target_table.h"
#include "model/request.h"

namespace corianderpost {

// Hash of the chain `chain` followed by one more part.
std::uint64_t ExtendChain(std::uint64_t chain, const PromptPart& part);
// Hash of a prompt's shared parts, all but the last; zero if there are none.
std::uint64_t ChainOf(const std::vector<PromptPart>& prompt);

// The targets that keep a chain. All routers that see the same targets find the
// same ones, without asking each other.
struct Homes {
  const TargetState* of_fleet = nullptr;
  const TargetState* of_local_region = nullptr;
  const TargetState* of_remote_region = nullptr;
};

// A request without a chain (zero) has no homes.
Homes FindHomes(const std::vector<TargetState*>& targets, std::uint64_t chain);

}  // namespace corianderpost

#endif  // CORIANDERPOST_DECISIONS_PROMPT_HOMES_H_
