// Plays streams that break off and are resumed while engines of several
// software versions serve.
#include <doctest/doctest.h>
#include <signal.h>

#include <algorithm>
#include <string>
#include <vector>

#include "fleet/engine_fleet.h"
#include "fleet/version_play.h"

namespace corianderpost::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// With a single version, nothing may keep a stream from going on.
constexpr double kMinResumedRatioOfSingleVersion = 0.9;
// A resumption that can't go on is refused within this time.
constexpr Duration kRefusalBound = seconds(1);

TEST_CASE("Broken streams go on at the software version that began them") {
  const std::uint64_t seed = 1;
  Play play(251, 6, {"v1", "v1", "v2", "v2", "v1", "v1", "v2", "v2"}, seed);
  play.Run(seconds(6));
  play.fleet.PlayUntilCallsEnd();
  const Tally tally = TallyOf(play.fleet);
  MESSAGE("seed ", seed, ": ", tally);
  CheckOrder(tally);
  CheckResumed(tally);
}

TEST_CASE(
    "Streams go on at the software version that began them while routers of a "
    "fleet with relays are killed") {
  const std::uint64_t seed = 2;
  Play play(252, 14, {"v1", "v1", "v2", "v2", "v1", "v1", "v2", "v2"}, seed);
  play.Run(seconds(1));
  for (int i = 0; i < 4; ++i) {
    play.KillRouters(play.fleet.routers().size() / 3);
    play.Run(milliseconds(700));
    play.StartRouters();
    play.Run(milliseconds(800));
  }
  play.fleet.PlayUntilCallsEnd();
  const Tally tally = TallyOf(play.fleet);
  MESSAGE("seed ", seed, ": ", tally);
  CheckOrder(tally);
  CheckResumed(tally);
}

TEST_CASE("Routers killed at once join no streams of two software versions") {
  const std::uint64_t seed = 3;
  Play play(253, 6, {"v1", "v1", "v2", "v2", "v2", "v2"}, seed,
            {.max_resumptions = 40, .retries_refused = true});
  play.Run(milliseconds(1500));
  play.RestartAllRouters();

  // The old version has drained and leaves while no router runs.
  play.fleet.PublishEngine(0, /*is_draining=*/true);
  play.fleet.PublishEngine(1, /*is_draining=*/true);
  play.Run(milliseconds(300));
  play.KillRouters(play.fleet.routers().size());
  play.Run(kRouterDownTime / 2);
  play.fleet.RemoveEngine(0);
  play.fleet.RemoveEngine(1);
  play.Run(kRouterDownTime / 2);
  play.StartRouters();
  play.Run(seconds(2));

  // The old version leaves just before the routers are killed.
  for (int i = 0; i < 4; ++i) {
    play.fleet.AddEngine("v3");
  }
  play.Run(milliseconds(1500));
  for (std::size_t i = 2; i < 6; ++i) {
    play.fleet.RemoveEngine(i);
  }
  play.Run(milliseconds(50));
  play.RestartAllRouters();
  play.fleet.PlayUntilCallsEnd();
  const Tally tally = TallyOf(play.fleet);
  MESSAGE("seed ", seed, ": ", tally);
  CheckOrder(tally);
  CHECK(tally.resumptions.sent >= kMinResumptions);
}

TEST_CASE(
    "Streams go on at their software version after the loss of all routers and "
    "of their runs") {
  const std::uint64_t seed = 9;
  Play play(250, 6, {"v1", "v1", "v2", "v2", "v1", "v1", "v2", "v2"}, seed,
            {.max_resumptions = 1, .max_delay = seconds(3)});
  play.breaks_streams = false;
  for (int i = 0; i < 3; ++i) {
    play.Run(seconds(2));
    play.RestartAllRouters();
  }
  play.fleet.PlayUntilCallsEnd();
  const Tally tally = TallyOf(play.fleet);
  MESSAGE("seed ", seed, ": ", tally);
  CheckOrder(tally);
  CheckResumed(tally);
}

TEST_CASE("Paused routers join no streams of a software version they missed") {
  const std::uint64_t seed = 8;
  Play play(254, 6, {"v1", "v1", "v1", "v1"}, seed);
  play.Run(seconds(1));
  for (int round = 0; round < 2; ++round) {
    // Requests that arrive meanwhile are read when the routers run again.
    for (std::size_t i = 0; i < 2; ++i) {
      play.fleet.routers()[i]->Signal(SIGSTOP);
    }
    for (int i = 0; i < 4; ++i) {
      play.fleet.AddEngine("v" + std::to_string(2 + round));
    }
    play.Run(seconds(2));
    for (std::size_t i = 0; i < 2; ++i) {
      play.fleet.routers()[i]->Signal(SIGCONT);
    }
    play.Run(seconds(1));
  }
  play.fleet.PlayUntilCallsEnd();
  const Tally tally = TallyOf(play.fleet);
  MESSAGE("seed ", seed, ": ", tally);
  CheckOrder(tally);
  CHECK(tally.resumptions.sent >= kMinResumptions);
}

TEST_CASE("Resumptions are refused at once when their software version left") {
  const std::uint64_t seed = 4;
  Play play(254, 6, {"v1", "v1", "v1", "v2", "v2", "v2"}, seed);
  play.breaks_streams = false;
  play.Run(seconds(2));
  const TimePoint left_at = play.fleet.Now();
  for (std::size_t i = 0; i < 3; ++i) {
    play.fleet.RemoveEngine(i);
  }
  play.Run(seconds(2));
  play.fleet.PlayUntilCallsEnd();
  std::size_t resumed = 0;
  std::size_t refused = 0;
  Duration slowest{0};
  for (const auto& call : play.fleet.calls()) {
    if (call->began_at >= left_at || FirstWriterOf(*call) != "v1") {
      continue;
    }
    for (std::size_t i = 1; i < call->tries.size(); ++i) {
      const CallTry& it = call->tries[i];
      ++resumed;
      refused += it.status == 503 ? 1 : 0;
      slowest = std::max(slowest, it.ended_at - it.began_at);
    }
  }
  const Tally tally = TallyOf(play.fleet);
  MESSAGE("seed ", seed, ": ", tally, ", resumed after the version had left ",
          resumed, ", refused ", refused, ", slowest after ",
          slowest / milliseconds(1), " ms");
  CheckOrder(tally);
  CHECK(resumed >= kMinResumptions);
  CHECK(refused == resumed);
  CHECK(slowest <= kRefusalBound);
}

TEST_CASE(
    "Streams don't go on at an engine that restarted with a newer software "
    "version") {
  const std::uint64_t seed = 5;
  Play play(251, 6, {"v1", "v1", "v1", "v1", "v1", "v1"}, seed);
  play.Run(seconds(1));
  for (const auto& it : play.fleet.engines()) {
    it->Crash(milliseconds(300));
    it->version = "v2";
    play.Run(milliseconds(800));
  }
  play.fleet.PlayUntilCallsEnd();
  const Tally tally = TallyOf(play.fleet);
  MESSAGE("seed ", seed, ": ", tally);
  CheckOrder(tally);
  CHECK(tally.resumptions.sent >= kMinResumptions);
}

TEST_CASE("An unstated software version equals no other version") {
  const std::uint64_t seed = 6;
  Play play(252, 6, {"v1", "v1", "v2", "v2", "v3", "v3", "", ""}, seed);
  play.Run(seconds(6));
  play.fleet.PlayUntilCallsEnd();
  const Tally tally = TallyOf(play.fleet);
  MESSAGE("seed ", seed, ": ", tally);
  CheckOrder(tally);
  CheckResumed(TallyOf(play.fleet, /*includes_unstated=*/false));
}

TEST_CASE("Streams of a single software version go on while routers die") {
  const std::uint64_t seed = 7;
  Play play(253, 6, std::vector<std::string>(8, "v1"), seed);
  play.Run(seconds(1));
  for (int i = 0; i < 4; ++i) {
    play.KillRouters(play.fleet.routers().size() / 3);
    play.Run(milliseconds(700));
    play.StartRouters();
    play.Run(milliseconds(800));
  }
  play.fleet.PlayUntilCallsEnd();
  const Tally tally = TallyOf(play.fleet);
  MESSAGE("seed ", seed, ": ", tally);
  CheckOrder(tally);
  CheckResumed(tally, kMinResumedRatioOfSingleVersion);
}

}  // namespace
}  // namespace corianderpost::soak
