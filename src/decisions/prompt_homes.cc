#include "decisions/prompt_homes.h"

#include <xxhash.h>

#include <cmath>

namespace corianderpost {

double RendezvousWeight(const TargetState& target, std::uint64_t chain,
                        HomeWeighting weighting) {
  const std::string& id = target.entry.id;
  // The upper 53 bits are exact in a double.
  constexpr int kDroppedBits = 11;
  const auto hash =
      static_cast<double>(XXH64(id.data(), id.size(), chain) >> kDroppedBits);
  if (weighting == HomeWeighting::kEqual) {
    return hash;
  }
  // Half a unit keeps the fraction between 0 and 1, both excluded.
  const double fraction = std::ldexp(hash + 0.5, kDroppedBits - 64);
  return -target.speed.quantized_speed() / std::log(fraction);
}

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

Homes FindHomes(const std::vector<TargetState*>& targets, std::uint64_t chain,
                HomeWeighting weighting) {
  Homes homes;
  if (chain == 0) {
    return homes;
  }
  double max_local_weight = 0;
  double max_remote_weight = 0;
  for (const TargetState* it : targets) {
    double& max_weight =
        it->is_in_local_region ? max_local_weight : max_remote_weight;
    const TargetState*& home =
        it->is_in_local_region ? homes.of_local_region : homes.of_remote_region;
    const double weight = RendezvousWeight(*it, chain, weighting);
    if (home == nullptr || weight > max_weight) {
      max_weight = weight;
      home = it;
    }
  }
  homes.of_fleet = max_local_weight >= max_remote_weight
                       ? homes.of_local_region
                       : homes.of_remote_region;
  return homes;
}

}  // namespace corianderpost
