#include "decisions/crash_suspects.h"

#include <doctest/doctest.h>

namespace corianderpost {
namespace {

using std::chrono::seconds;

constexpr RequestFingerprint kRequest = 7;
const TimePoint kStart(seconds(100));

TEST_CASE("CrashSuspects quarantines a request after three crashes") {
  CrashSuspects suspects;
  suspects.RecordCrash(kStart, {kRequest, 1});
  suspects.RecordCrash(kStart, {kRequest, 2});
  CHECK_FALSE(suspects.IsQuarantined(kStart, kRequest));
  suspects.RecordCrash(kStart, {kRequest, 3});
  CHECK(suspects.IsQuarantined(kStart, kRequest));
}

TEST_CASE("CrashSuspects counts a crash reported several times only once") {
  CrashSuspects suspects;
  CHECK(suspects.RecordCrash(kStart, {kRequest, 1}));
  CHECK_FALSE(suspects.RecordCrash(kStart, {kRequest, 1}));
  CHECK(suspects.CrashCount(kRequest) == 1);
}

TEST_CASE("CrashSuspects clears a request that completes") {
  CrashSuspects suspects;
  for (std::uint64_t crash = 1; crash <= 3; ++crash) {
    suspects.RecordCrash(kStart, {kRequest, crash});
  }
  suspects.Clear(kStart, kRequest);
  CHECK_FALSE(suspects.IsQuarantined(kStart, kRequest));
}

// In a soak run (seed 107), connections to several targets were reset, and a
// request that many callers send was rejected permanently.
TEST_CASE("CrashSuspects does not quarantine a request that has been cleared") {
  CrashSuspects suspects;
  suspects.RecordCrash(kStart, {kRequest, 1});
  suspects.Clear(kStart, kRequest);
  for (std::uint64_t crash = 2; crash <= 9; ++crash) {
    CHECK_FALSE(suspects.RecordCrash(kStart + seconds(1), {kRequest, crash}));
  }
  CHECK_FALSE(suspects.IsQuarantined(kStart + seconds(1), kRequest));
}

TEST_CASE("CrashSuspects reports only recent crashes to peers") {
  CrashSuspects suspects;
  suspects.RecordCrash(kStart, {kRequest, 1});
  CHECK(suspects.RecentReports(kStart + seconds(1)).size() == 1);
  CHECK(suspects.RecentReports(kStart + seconds(5)).empty());
}

}  // namespace
}  // namespace corianderpost
