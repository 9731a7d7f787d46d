#include "decisions/drain_schedule.h"

#include <doctest/doctest.h>

namespace corianderpost {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart = TimePoint(seconds(1000));
const DrainSchedule kSchedule(kStart, seconds(8));

TEST_CASE("A drain takes any request while callers still arrive") {
  CHECK(kSchedule.Accepts(kStart, seconds(30)));
  CHECK(kSchedule.Accepts(kStart + milliseconds(2700), seconds(30)));
  CHECK_FALSE(kSchedule.HasLeftRotation(kStart + milliseconds(2700)));
}

TEST_CASE("A late drain takes only requests whose time ends before the abort") {
  const TimePoint now = kStart + seconds(4);
  CHECK(kSchedule.HasLeftRotation(now));
  CHECK(kSchedule.Accepts(now, kSchedule.abort_at() - now));
  CHECK_FALSE(
      kSchedule.Accepts(now, kSchedule.abort_at() - now + milliseconds(1)));
  CHECK_FALSE(kSchedule.Accepts(kSchedule.abort_at(), milliseconds(1)));
}

// An abort in the last sixth of the grace may be the target's fault.
TEST_CASE("A drain aborts open requests in the last sixth of the grace") {
  for (const Duration grace : {seconds(3), seconds(4), seconds(8)}) {
    const DrainSchedule schedule(kStart, grace);
    CHECK(schedule.abort_at() - kStart >= grace * 5 / 6);
    CHECK(schedule.abort_at() < schedule.exit_at());
    CHECK(schedule.exit_at() < kStart + grace);
  }
}

TEST_CASE(
    "A drain with a short grace keeps its second half for open requests") {
  const DrainSchedule schedule(kStart, seconds(2));
  CHECK_FALSE(schedule.Accepts(kStart + seconds(1), seconds(1)));
  CHECK(schedule.Accepts(kStart + seconds(1), milliseconds(500)));
  CHECK(schedule.Accepts(kStart + milliseconds(900), seconds(30)));
}

TEST_CASE("A drain without grace takes no request") {
  const DrainSchedule schedule(kStart, Duration(0));
  CHECK_FALSE(schedule.Accepts(kStart, milliseconds(1)));
  CHECK(schedule.exit_at() == kStart);
}

}  // namespace
}  // namespace corianderpost
