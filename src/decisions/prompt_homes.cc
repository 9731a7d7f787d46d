#include "decisions/prompt_homes.h"

#include <xxhash.h>

namespace corianderpost {
namespace {

std::uint64_t HomeWeight(const std::string& id, std::uint64_t chain) {
  return XXH64(id.data(), id.size(), chain);
}

}  // namespace

std::uint64_t ExtendChain(std::uint64_t chain, const PromptPart& part) {
  const std::uint64_t pair[] = {chain, part.id};
  return XXH64(pair, sizeof(pair), 0);
}

std::uint64_t ChainOf(const std::vector<PromptPart>& prompt) {
  std::uint64_t chain = 0;
  for (std::size_t i = 0; i + 1 < prompt.size(); ++i) {
    chain = ExtendChain(chain, prompt[i]);
  }
  return chain;
}

Homes HomesOf(const std::vector<TargetState*>& targets, std::uint64_t chain) {
  Homes homes;
  if (chain == 0) {
    return homes;
  }
  std::uint64_t most_near = 0;
  std::uint64_t most_far = 0;
  for (const TargetState* it : targets) {
    std::uint64_t& most = it->is_in_local_region ? most_near : most_far;
    const TargetState*& home =
        it->is_in_local_region ? homes.of_near : homes.of_far;
    const std::uint64_t weight = HomeWeight(it->entry.id, chain);
    if (home == nullptr || weight > most) {
      most = weight;
      home = it;
    }
  }
  homes.of_fleet = most_near >= most_far ? homes.of_near : homes.of_far;
  return homes;
}

}  // namespace corianderpost
