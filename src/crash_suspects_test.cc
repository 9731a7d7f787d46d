#include "corianderpost/internal/crash_suspects.h"

#include <doctest/doctest.h>

#include "corianderpost/internal/timing.h"

namespace corianderpost::internal {
namespace {

const TimePoint kNow(seconds(1));
constexpr std::uint64_t kPoison = 1;
constexpr std::uint64_t kInnocent = 2;

TEST_CASE("a request aboard three crashes is refused") {
  CrashSuspects suspects;
  for (int i = 0; i < kQuarantineCrashes; ++i) {
    CHECK_FALSE(suspects.IsQuarantined(kNow, kPoison));
    suspects.NoteCrash(kNow, {kPoison});
  }
  CHECK(suspects.IsQuarantined(kNow, kPoison));
}

TEST_CASE("the others aboard a known suspect's target are not blamed") {
  CrashSuspects suspects;
  suspects.NoteCrash(kNow, {kPoison});
  suspects.NoteCrash(kNow, {kPoison, kInnocent});
  CHECK_FALSE(suspects.IsSuspect(kNow, kInnocent));
}

TEST_CASE("a suspect that completes is cleared, here and at peers") {
  CrashSuspects here;
  CrashSuspects peer;
  here.NoteCrash(kNow, {kInnocent});
  peer.Merge(kNow, here.TakeChanges());
  CHECK(peer.IsSuspect(kNow, kInnocent));
  here.Clear(kInnocent);
  peer.Merge(kNow, here.TakeChanges());
  CHECK_FALSE(peer.IsSuspect(kNow, kInnocent));
}

TEST_CASE("a peer passes on what it learns, so that cut pairs hear of it") {
  CrashSuspects first;
  CrashSuspects second;
  CrashSuspects third;
  first.NoteCrash(kNow, {kPoison});
  second.Merge(kNow, first.TakeChanges());
  third.Merge(kNow, second.TakeChanges());
  CHECK(third.IsSuspect(kNow, kPoison));
}

TEST_CASE("a suspicion ends with time") {
  CrashSuspects suspects;
  suspects.NoteCrash(kNow, {kPoison});
  CHECK_FALSE(suspects.IsSuspect(kNow + kSuspectLifetime, kPoison));
}

}  // namespace
}  // namespace corianderpost::internal
