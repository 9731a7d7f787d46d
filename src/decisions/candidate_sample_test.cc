#include "decisions/candidate_sample.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <string>

#include "decisions/prompt_homes.h"

namespace corianderpost {
namespace {

constexpr std::uint64_t kChain = 4711;

// Targets of two regions.
class Targets {
 public:
  Targets(int local, int remote) {
    for (int i = 0; i < local + remote; ++i) {
      TargetState& state = states_.emplace_back();
      state.entry.id = "t" + std::to_string(i);
      state.is_in_local_region = i < local;
    }
  }
  std::vector<TargetState*> All() {
    std::vector<TargetState*> all;
    for (TargetState& it : states_) {
      all.push_back(&it);
    }
    return all;
  }

 private:
  std::deque<TargetState> states_;
};

// Gives each target in turn one of three speeds, as from many observations.
void SetUnevenSpeeds(const std::vector<TargetState*>& targets) {
  ServiceSpeeds speeds;
  constexpr double kLogSpeeds[] = {-0.45, 0.0, 0.45};
  for (std::size_t i = 0; i < targets.size(); ++i) {
    speeds.Add(targets[i]->speed, {0, 0, 1e6, 1e6 * kLogSpeeds[i % 3]});
  }
  speeds.Evaluate();
}

std::set<TargetState*> AsSet(const std::vector<TargetState*>& targets) {
  return {targets.begin(), targets.end()};
}

TEST_CASE("SampleCandidates has the homes of a chain at every router") {
  Targets targets(30, 21);
  const Homes homes = FindHomes(targets.All(), kChain);
  for (unsigned seed = 1; seed < 50; ++seed) {
    INFO("seed ", seed);
    std::minstd_rand random(seed);
    const auto sample = SampleCandidates(targets.All(), kChain, random);
    CHECK(std::count(sample.begin(), sample.end(), homes.of_local_region) == 1);
    CHECK(std::count(sample.begin(), sample.end(), homes.of_remote_region) ==
          1);
    CHECK(AsSet(sample).size() == sample.size());
  }
}

TEST_CASE("SampleCandidates is small whatever the number of targets") {
  std::minstd_rand random(1);
  for (const int count : {12, 51, 300, 4300}) {
    Targets targets(count, count);
    INFO("targets ", 2 * count);
    CHECK(SampleCandidates(targets.All(), kChain, random).size() == 6);
    CHECK(SampleCandidates(targets.All(), 0, random).size() == 6);
  }
}

TEST_CASE("SampleCandidates looks at all of a few targets") {
  std::minstd_rand random(1);
  Targets targets(3, 2);
  CHECK(SampleCandidates(targets.All(), kChain, random).size() == 5);
  Targets none(0, 0);
  CHECK(SampleCandidates(none.All(), kChain, random).empty());
}

TEST_CASE("A lost target changes only the samples that had it") {
  Targets targets(40, 0);
  const auto all = targets.All();
  const std::vector<TargetState*> without_first(all.begin() + 1, all.end());
  int changed = 0;
  for (std::uint64_t chain = 1; chain <= 400; ++chain) {
    const Homes before = FindHomes(all, chain);
    const Homes after = FindHomes(without_first, chain);
    changed += before.of_fleet != after.of_fleet ? 1 : 0;
    CHECK((before.of_fleet == all.front()) ==
          (before.of_fleet != after.of_fleet));
  }
  CHECK(changed < 400 / 10);
}

TEST_CASE("Samples without a chain use all targets equally") {
  constexpr unsigned kSeed = 5;
  INFO("seed ", kSeed);
  std::minstd_rand random(kSeed);
  Targets targets(20, 0);
  std::map<TargetState*, int> uses;
  for (int i = 0; i < 4000; ++i) {
    for (TargetState* it : SampleCandidates(targets.All(), 0, random)) {
      ++uses[it];
    }
  }
  for (TargetState* it : targets.All()) {
    INFO(it->entry.id);
    CHECK(uses[it] == doctest::Approx(600).epsilon(0.2));
  }
}

TEST_CASE("ExtendSample adds targets that the sample lacks") {
  std::minstd_rand random(1);
  Targets targets(20, 10);
  const auto sample = SampleCandidates(targets.All(), kChain, random);
  const auto extended = ExtendSample(targets.All(), sample, random);
  CHECK(extended.size() == sample.size() + 6);
  CHECK(AsSet(extended).size() == extended.size());
  CHECK(ExtendSample(sample, sample, random).size() == sample.size());
}

// Guards against slow engines that are homes of as many chains as fast ones.
TEST_CASE("Fast targets are homes of more chains, and few chains move") {
  Targets targets(30, 0);
  const auto all = targets.All();
  SetUnevenSpeeds(all);
  std::map<double, int> homes;
  int moved = 0;
  for (std::uint64_t chain = 1; chain <= 6000; ++chain) {
    const Homes by_speed = FindHomes(all, chain, HomeWeighting::kBySpeed);
    ++homes[by_speed.of_fleet->speed.quantized_speed()];
    moved += by_speed.of_fleet != FindHomes(all, chain).of_fleet ? 1 : 0;
  }
  REQUIRE(homes.size() == 3);
  const int slow = homes.begin()->second;
  const int fast = homes.rbegin()->second;
  const double ratio = homes.rbegin()->first / homes.begin()->first;
  CHECK(fast / static_cast<double>(slow) ==
        doctest::Approx(ratio).epsilon(0.1));
  CHECK(moved < 6000 / 4);
}

TEST_CASE("Equal speeds leave the homes as they are") {
  Targets targets(30, 21);
  for (std::uint64_t chain = 1; chain <= 400; ++chain) {
    CHECK(FindHomes(targets.All(), chain, HomeWeighting::kBySpeed).of_fleet ==
          FindHomes(targets.All(), chain).of_fleet);
  }
}

// Guards against routers that connect to all targets, and against targets that
// few routers use.
TEST_CASE("Each target is in about the same number of routers' subsets") {
  Targets targets(70, 0);
  const auto all = targets.All();
  std::map<TargetState*, int> uses;
  for (int router = 0; router < 74; ++router) {
    const auto subset = RouterSubset(all, router);
    CHECK(subset.size() == 14);
    for (TargetState* it : subset) {
      ++uses[it];
    }
  }
  for (TargetState* it : all) {
    CHECK(uses[it] >= 14);
    CHECK(uses[it] <= 15);
  }
  CHECK(RouterSubset(targets.All(), 3) == RouterSubset(all, 3));
  Targets few(20, 0);
  CHECK(RouterSubset(few.All(), 3).size() == 20);
}

TEST_CASE("A lost target hardly changes the subsets") {
  Targets targets(70, 0);
  const auto all = targets.All();
  const std::vector<TargetState*> without_first(all.begin() + 1, all.end());
  for (int router = 0; router < 74; ++router) {
    const auto before = AsSet(RouterSubset(all, router));
    int kept = 0;
    for (TargetState* it : RouterSubset(without_first, router)) {
      kept += before.contains(it) ? 1 : 0;
    }
    CHECK(kept >= 12);
  }
}

TEST_CASE("Random targets come from the router's subset, by speed") {
  constexpr unsigned kSeed = 5;
  INFO("seed ", kSeed);
  std::minstd_rand random(kSeed);
  Targets targets(48, 0);
  const auto all = targets.All();
  SetUnevenSpeeds(all);
  const auto subset = AsSet(RouterSubset(all, 2));
  std::map<double, std::pair<int, int>> uses;
  for (TargetState* it : subset) {
    ++uses[it->speed.quantized_speed()].second;
  }
  for (std::uint64_t chain = 1; chain <= 6000; ++chain) {
    const auto sample = SampleCandidates(all, chain, random, SpeedSampling{2});
    REQUIRE(sample.size() == 3);
    CHECK(subset.contains(sample.back()));
    ++uses[sample.back()->speed.quantized_speed()].first;
    const auto extended = ExtendSample(all, sample, random, SpeedSampling{2});
    CHECK(AsSet(extended).size() == 9);
  }
  const auto mean = [](const auto& it) {
    return it.second.first / static_cast<double>(it.second.second);
  };
  CHECK(mean(*uses.rbegin()) > 1.7 * mean(*uses.begin()));
}

}  // namespace
}  // namespace corianderpost
