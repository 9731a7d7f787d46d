#include "router/overload_detector.h"

#include <doctest/doctest.h>

namespace corianderpost {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart(seconds(100));

// Records ticks without lag every 25 ms from `overloaded_at` on. Returns the
// time at which the router is no longer overloaded; gives up after 60 s.
TimePoint RecoversAt(OverloadDetector& detector, TimePoint overloaded_at) {
  TimePoint now = overloaded_at;
  while (detector.is_overloaded() && now < overloaded_at + seconds(60)) {
    now += milliseconds(25);
    detector.RecordTick(now, Duration(0));
  }
  return now;
}

TEST_CASE("A router whose ticks are on time is neither busy nor overloaded") {
  OverloadDetector detector;
  for (int i = 0; i < 100; ++i) {
    detector.RecordTick(kStart + milliseconds(25 * i), milliseconds(3));
  }
  CHECK_FALSE(detector.is_busy());
  CHECK_FALSE(detector.is_overloaded());
}

TEST_CASE(
    "A router whose ticks are often slightly late is busy but not overloaded") {
  OverloadDetector detector;
  for (int i = 0; i < 40; ++i) {
    detector.RecordTick(kStart + milliseconds(25 * i), milliseconds(35));
  }
  CHECK(detector.is_busy());
  CHECK_FALSE(detector.is_overloaded());
}

// Guards against oscillation: in Ranwala grown scale-1, edge-matale-10 accepted
// requests again two seconds after each overload, and the same callers
// overloaded it again.
TEST_CASE("The recovery time grows if a router is overloaded again soon") {
  OverloadDetector detector;
  detector.RecordTick(kStart, milliseconds(300));
  const TimePoint first_recovery = RecoversAt(detector, kStart);
  detector.RecordTick(first_recovery + seconds(1), milliseconds(300));
  const TimePoint second_recovery =
      RecoversAt(detector, first_recovery + seconds(1));
  CHECK(second_recovery - (first_recovery + seconds(1)) >=
        2 * (first_recovery - kStart) - seconds(1));
  detector.RecordTick(second_recovery + seconds(30), milliseconds(300));
  const TimePoint third_recovery =
      RecoversAt(detector, second_recovery + seconds(30));
  CHECK(third_recovery - (second_recovery + seconds(30)) <=
        first_recovery - kStart + seconds(1));
}

}  // namespace
}  // namespace corianderpost
