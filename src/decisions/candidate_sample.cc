#include "decisions/candidate_sample.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "decisions/prompt_homes.h"

namespace corianderpost {
namespace {

// Targets of a region in the chain's order that a placement looks at.
constexpr std::size_t kOrderedPerRegion = 2;
// Random ones beside them; without an order, these are all.
constexpr std::size_t kRandomPerRegion = 1;
constexpr std::size_t kUnorderedPerRegion = 3;
// With at most this many targets in all, every one is looked at.
constexpr std::size_t kMinTargetsForSample = 5;
// Targets by which a sample is extended.
constexpr std::size_t kMoreTargets = 6;
// Least size of a router's subset of a region. Drawing from a dozen leaves a
// choice when some are ejected or busy.
constexpr std::size_t kSubsetTargets = 12;

void AppendRandom(std::vector<TargetState*> from, std::size_t count,
                  std::minstd_rand& random, std::vector<TargetState*>& out) {
  for (std::size_t i = 0; i < count && i < from.size(); ++i) {
    std::swap(from[i], from[i + random() % (from.size() - i)]);
    out.push_back(from[i]);
  }
}

// As above, but draws in proportion to the targets' speeds.
void AppendBySpeed(std::vector<TargetState*> from, std::size_t count,
                   std::minstd_rand& random, std::vector<TargetState*>& out) {
  while (count > 0 && !from.empty()) {
    std::vector<double> speeds;
    speeds.reserve(from.size());
    for (const TargetState* it : from) {
      speeds.push_back(it->speed.quantized_speed());
    }
    const std::size_t drawn = std::discrete_distribution<std::size_t>(
        speeds.begin(), speeds.end())(random);
    out.push_back(from[drawn]);
    from.erase(from.begin() + static_cast<std::ptrdiff_t>(drawn));
    --count;
  }
}

// Moves the first `count` targets of the chain's order to `out`.
void MoveFirst(std::vector<TargetState*>& from, std::uint64_t chain,
               HomeWeighting weighting, std::size_t count,
               std::vector<TargetState*>& out) {
  std::vector<std::pair<double, TargetState*>> order;
  order.reserve(from.size());
  for (TargetState* it : from) {
    order.emplace_back(RendezvousWeight(*it, chain, weighting), it);
  }
  count = std::min(count, order.size());
  std::partial_sort(
      order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count),
      order.end(),
      [](const auto& a, const auto& b) { return a.first > b.first; });
  from.clear();
  for (std::size_t i = 0; i < order.size(); ++i) {
    (i < count ? out : from).push_back(order[i].second);
  }
}

bool HasTarget(const std::vector<TargetState*>& targets,
               const TargetState* target) {
  return std::find(targets.begin(), targets.end(), target) != targets.end();
}

std::vector<TargetState*> OfRegion(const std::vector<TargetState*>& targets,
                                   bool is_local) {
  std::vector<TargetState*> of_region;
  for (TargetState* it : targets) {
    if (it->is_in_local_region == is_local) {
      of_region.push_back(it);
    }
  }
  return of_region;
}

}  // namespace

std::vector<TargetState*> RouterSubset(std::vector<TargetState*> targets,
                                       int router_position) {
  const std::size_t subsets = targets.size() / kSubsetTargets;
  if (subsets < 2) {
    return targets;
  }
  const auto position = static_cast<std::size_t>(std::max(0, router_position));
  // Each turn divides all targets between as many routers as there are subsets,
  // and has an order of its own. A hash instead of a shuffle keeps the order of
  // the other targets when one joins or leaves.
  const std::size_t turn = position / subsets;
  std::vector<std::pair<std::uint64_t, TargetState*>> order;
  order.reserve(targets.size());
  for (TargetState* it : targets) {
    order.emplace_back(XXH64(it->entry.id.data(), it->entry.id.size(), turn),
                       it);
  }
  std::sort(order.begin(), order.end());
  const std::size_t index = position % subsets;
  const std::size_t begin = index * order.size() / subsets;
  const std::size_t end = (index + 1) * order.size() / subsets;
  targets.clear();
  for (std::size_t i = begin; i < end; ++i) {
    targets.push_back(order[i].second);
  }
  return targets;
}

std::vector<TargetState*> SampleCandidates(
    const std::vector<TargetState*>& targets, std::uint64_t chain,
    std::minstd_rand& random,
    const std::optional<SpeedSampling>& speed_sampling) {
  if (targets.size() <= kMinTargetsForSample) {
    return targets;
  }
  std::vector<TargetState*> sample;
  for (const bool is_local : {true, false}) {
    std::vector<TargetState*> of_region = OfRegion(targets, is_local);
    std::vector<TargetState*> subset;
    if (speed_sampling) {
      subset = RouterSubset(of_region, speed_sampling->router_position);
    }
    if (chain != 0) {
      MoveFirst(
          of_region, chain,
          speed_sampling ? HomeWeighting::kBySpeed : HomeWeighting::kEqual,
          kOrderedPerRegion, sample);
    }
    const std::size_t count =
        chain != 0 ? kRandomPerRegion : kUnorderedPerRegion;
    if (speed_sampling) {
      std::erase_if(subset, [&sample](const TargetState* it) {
        return HasTarget(sample, it);
      });
      AppendBySpeed(std::move(subset), count, random, sample);
    } else {
      AppendRandom(std::move(of_region), count, random, sample);
    }
  }
  return sample;
}

std::vector<TargetState*> ExtendSample(
    const std::vector<TargetState*>& targets,
    const std::vector<TargetState*>& sample, std::minstd_rand& random,
    const std::optional<SpeedSampling>& speed_sampling) {
  std::vector<TargetState*> extended = sample;
  if (speed_sampling) {
    std::vector<TargetState*> subset;
    for (const bool is_local : {true, false}) {
      for (TargetState* it : RouterSubset(OfRegion(targets, is_local),
                                          speed_sampling->router_position)) {
        if (!HasTarget(extended, it)) {
          subset.push_back(it);
        }
      }
    }
    AppendBySpeed(std::move(subset), kMoreTargets, random, extended);
  }
  const std::size_t drawn = extended.size() - sample.size();
  std::vector<TargetState*> others;
  for (TargetState* it : targets) {
    if (!HasTarget(extended, it)) {
      others.push_back(it);
    }
  }
  AppendRandom(std::move(others), kMoreTargets - drawn, random, extended);
  return extended;
}

}  // namespace corianderpost
