// Plays streams that break off and are resumed while engines of several
// software versions serve.
#include <doctest/doctest.h>
#include <signal.h>

#include <algorithm>
#include <optional>
#include <ostream>
#include <random>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "fleet/engine_fleet.h"
#include "fleet/random_load.h"

namespace corianderpost::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The requirement: while two targets of the version serve, the share of
// resumptions that go on is at least this fraction of the share of new streams
// that begin. It holds from this number of resumptions on.
constexpr double kMinResumedRatio = 0.5;
constexpr std::size_t kMinResumptions = 12;
// With a single version, nothing may keep a stream from going on.
constexpr double kMinResumedRatioOfSingleVersion = 0.9;
// A resumption that can't go on is refused within this time.
constexpr Duration kRefusalBound = seconds(1);

constexpr double kRequestsPerSecond = 100;
constexpr std::uint64_t kFirstParts = 12;
constexpr StreamShape kStreams = {20, milliseconds(40)};
// At this interval an engine breaks off its streams, and callers lose a share
// of their connections.
constexpr Duration kBreakInterval = milliseconds(250);
constexpr double kBrokenConnections = 0.05;
constexpr Duration kHeartbeatInterval = milliseconds(1200);
constexpr Duration kRouterDownTime = milliseconds(400);
const std::vector<std::string> kCustomers = {"c0", "c1", "c2"};

// A fleet under load whose streams break off.
struct Play {
  Play(int network, int routers, const std::vector<std::string>& versions,
       std::uint64_t seed, ResumePolicy policy = {.max_resumptions = 4})
      : fleet(network, routers, static_cast<int>(versions.size()), kCustomers),
        random(seed) {
    policy.seed = seed;
    fleet.SetResumePolicy(policy);
    fleet.SetStreamShape(kStreams);
    fleet.SetHeartbeatInterval(kHeartbeatInterval);
    for (std::size_t i = 0; i < versions.size(); ++i) {
      fleet.engines()[i]->version = versions[i];
    }
    fleet.Start();
    load.emplace(fleet, kCustomers, kRequestsPerSecond, kFirstParts, seed);
  }

  void Run(Duration duration) {
    fleet.PlayFor(duration, [this](TimePoint now) {
      (*load)(now);
      if (breaks_streams && now >= next_break_at) {
        next_break_at = now + kBreakInterval;
        fleet.engines()[random() % fleet.engines().size()]->BreakStreams();
        fleet.BreakCallerConnections(kBrokenConnections);
      }
    });
  }

  void KillRouters(std::size_t n) {
    std::vector<std::size_t> order(fleet.routers().size());
    for (std::size_t i = 0; i < order.size(); ++i) {
      order[i] = i;
    }
    std::shuffle(order.begin(), order.end(), random);
    for (std::size_t i = 0; i < n; ++i) {
      fleet.routers()[order[i]]->Kill();
    }
  }

  void StartRouters() {
    for (const auto& it : fleet.routers()) {
      if (it->pid() == 0) {
        it->Start();
      }
    }
  }

  void RestartAllRouters() {
    KillRouters(fleet.routers().size());
    Run(kRouterDownTime);
    StartRouters();
    Run(seconds(2));
  }

  EngineFleet fleet;
  std::optional<RandomLoad> load;
  std::mt19937_64 random;
  bool breaks_streams = true;
  TimePoint next_break_at = {};
};

std::string FirstWriterOf(const EngineCall& call) {
  for (const CallTry& it : call.tries) {
    if (!it.events.empty()) {
      return it.events.front().writer;
    }
  }
  return "";
}

std::size_t CountWriters(std::span<const CallTry> tries) {
  std::set<std::string> writers;
  for (const CallTry& one_try : tries) {
    for (const CallEvent& it : one_try.events) {
      writers.insert(it.writer);
    }
  }
  return writers.size();
}

bool IsContiguous(const EngineCall& call) {
  std::int64_t number = 0;
  for (const CallTry& one_try : call.tries) {
    for (const CallEvent& it : one_try.events) {
      if (it.number != ++number) {
        return false;
      }
    }
  }
  return true;
}

// Requests whose routers were in touch, and how they ended.
struct Requests {
  std::size_t sent = 0;
  // Got an event.
  std::size_t began = 0;
  std::size_t refused = 0;
  double share() const {
    return sent == 0 ? 0
                     : static_cast<double>(began) / static_cast<double>(sent);
  }
  void Add(const CallTry& one_try) {
    if (one_try.ended_at == TimePoint() ||
        (one_try.has_lost_router && one_try.events.empty())) {
      return;
    }
    ++sent;
    began += one_try.events.empty() ? 0 : 1;
    refused += one_try.status != 0 && one_try.status != 200 ? 1 : 0;
  }
};

struct Tally {
  Requests new_streams;
  Requests resumptions;
  // Streams with events of several versions, in one response or over all.
  std::size_t joined_in_response = 0;
  std::size_t joined = 0;
  // Streams with missing or repeated events.
  std::size_t not_contiguous = 0;
};

// Counts the calls, without those that began at engines that state no version
// unless `includes_unstated`.
Tally TallyOf(const EngineFleet& fleet, bool includes_unstated = true) {
  Tally tally;
  for (const auto& call : fleet.calls()) {
    const std::string writer = FirstWriterOf(*call);
    if (!includes_unstated && !writer.empty() && !writer.starts_with("v")) {
      continue;
    }
    for (std::size_t i = 0; i < call->tries.size(); ++i) {
      (i == 0 ? tally.new_streams : tally.resumptions).Add(call->tries[i]);
    }
    tally.joined += CountWriters(call->tries) > 1 ? 1 : 0;
    tally.joined_in_response +=
        std::any_of(call->tries.begin(), call->tries.end(),
                    [](const CallTry& it) {
                      return CountWriters({&it, 1}) > 1;
                    })
            ? 1
            : 0;
    tally.not_contiguous += IsContiguous(*call) ? 0 : 1;
  }
  return tally;
}

std::ostream& operator<<(std::ostream& out, const Requests& requests) {
  return out << requests.sent << " (began " << requests.began << ", refused "
             << requests.refused << ")";
}

std::ostream& operator<<(std::ostream& out, const Tally& tally) {
  return out << "new streams " << tally.new_streams << ", resumptions "
             << tally.resumptions << ", streams of several versions "
             << tally.joined << " (" << tally.joined_in_response
             << " in one response), not contiguous " << tally.not_contiguous;
}

void CheckOrder(const Tally& tally) {
  CHECK(tally.joined == 0);
  CHECK(tally.not_contiguous == 0);
}

void CheckResumed(const Tally& tally, double min_ratio = kMinResumedRatio) {
  REQUIRE(tally.resumptions.sent >= kMinResumptions);
  CHECK(tally.resumptions.share() >= min_ratio * tally.new_streams.share());
}

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
