#include "router/own_load.h"

#include <doctest/doctest.h>

namespace corianderpost {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart(seconds(100));

// Ticks on time every 25 ms from `from` on; returns when the router takes
// requests again.
TimePoint ReturnsAt(OwnLoad& load, TimePoint from) {
  TimePoint now = from;
  while (load.is_overloaded() && now < from + seconds(60)) {
    now += milliseconds(25);
    load.NoteTick(now, Duration(0));
  }
  return now;
}

TEST_CASE("A router whose ticks are on time takes requests") {
  OwnLoad load;
  for (int i = 0; i < 100; ++i) {
    load.NoteTick(kStart + milliseconds(25 * i), milliseconds(3));
  }
  CHECK_FALSE(load.is_busy());
  CHECK_FALSE(load.is_overloaded());
}

TEST_CASE("A router whose ticks are often late is busy") {
  OwnLoad load;
  for (int i = 0; i < 40; ++i) {
    load.NoteTick(kStart + milliseconds(25 * i), milliseconds(35));
  }
  CHECK(load.is_busy());
  CHECK_FALSE(load.is_overloaded());
}

// Ranwala grown scale-1: edge-matale-10 returned every two seconds, and the
// same callers overloaded it again.
TEST_CASE("A router that is overloaded again soon stays out longer") {
  OwnLoad load;
  load.NoteTick(kStart, milliseconds(300));
  const TimePoint first = ReturnsAt(load, kStart);
  load.NoteTick(first + seconds(1), milliseconds(300));
  const TimePoint second = ReturnsAt(load, first + seconds(1));
  CHECK(second - (first + seconds(1)) >= 2 * (first - kStart) - seconds(1));
  load.NoteTick(second + seconds(30), milliseconds(300));
  const TimePoint third = ReturnsAt(load, second + seconds(30));
  CHECK(third - (second + seconds(30)) <= first - kStart + seconds(1));
}

}  // namespace
}  // namespace corianderpost
