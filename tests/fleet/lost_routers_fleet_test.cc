// Plays the loss of routers in ways that leave nobody to know which software
// version began a stream, while engines of two versions serve.
#include <doctest/doctest.h>

#include <algorithm>
#include <cstdlib>
#include <string>
#include <vector>

#include "fleet/engine_fleet.h"
#include "fleet/version_play.h"

namespace corianderpost::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kRouters = 6;
// Callers notice a lost connection late, and try again at any router.
constexpr ResumePolicy kPatientCallers = {.max_resumptions = 20,
                                          .max_delay = milliseconds(1500)};
const std::vector<std::string> kVersions = {"v1", "v1", "v2", "v2",
                                            "v1", "v1", "v2", "v2"};
// So many that few requests have a part in common.
constexpr std::uint64_t kManyFirstParts = 10'000;

// The environment may name another seed.
std::uint64_t Seed(std::uint64_t seed) {
  const char* text = std::getenv("CORIANDERPOST_TEST_SEED");
  return text != nullptr ? std::strtoull(text, nullptr, 10) : seed;
}

// Only the loss of routers or engines breaks off the streams.
struct LossPlay : Play {
  LossPlay(int network, std::uint64_t play_seed,
           const ResumePolicy& policy = kPatientCallers,
           const platform::StandinRules& rules = {})
      : Play(network, kRouters, kVersions, play_seed, policy, rules),
        seed(play_seed) {
    breaks_streams = false;
    load->first_parts = kManyFirstParts;
    Run(seconds(2));
  }

  void KillAllRouters() { KillRouters(fleet.routers().size()); }

  void KillRoutersOfZoneA() {
    // Every other router is in zone a.
    for (std::size_t i = 0; i < fleet.routers().size(); i += 2) {
      fleet.routers()[i]->Kill();
    }
  }

  // Crashes a quarter of the engines, chosen at random, and returns them.
  std::vector<Engine*> CrashEngines() {
    std::vector<Engine*> engines;
    for (const auto& it : fleet.engines()) {
      engines.push_back(it.get());
    }
    std::shuffle(engines.begin(), engines.end(), random);
    engines.resize(engines.size() / 4);
    for (Engine* it : engines) {
      it->Crash(kRouterDownTime);
    }
    return engines;
  }

  // Kills all routers and starts them again.
  void LoseAllRouters(Duration time_after) {
    KillAllRouters();
    Run(kRouterDownTime);
    StartRouters();
    Run(time_after);
  }

  // Starts the routers that have been stopped and have ended.
  void RunAndStartRouters(Duration duration) {
    constexpr Duration kStep = milliseconds(50);
    for (Duration it{0}; it < duration; it += kStep) {
      Run(kStep);
      for (const auto& router : fleet.routers()) {
        if (router->HasExited()) {
          router->Start();
        }
      }
    }
  }

  Tally End() {
    fleet.PlayUntilCallsEnd();
    Tally tally = TallyOf(fleet);
    MESSAGE("seed ", seed, ": ", tally);
    CheckOrder(tally);
    return tally;
  }

  const std::uint64_t seed;
};

TEST_CASE("Streams go on at their software version after most routers died") {
  LossPlay play(100, Seed(1));
  for (int i = 0; i < 2; ++i) {
    play.KillRouters(kRouters - 1);
    play.Run(kRouterDownTime);
    play.StartRouters();
    play.Run(seconds(2));
  }
  CheckResumed(play.End());
}

TEST_CASE(
    "Streams go on at their software version after a zone's routers and most "
    "others died") {
  LossPlay play(101, Seed(1));
  for (int i = 0; i < 2; ++i) {
    play.KillRoutersOfZoneA();
    play.Run(milliseconds(300));
    for (const std::size_t router : {1, 3}) {
      play.fleet.routers()[router]->Kill();
    }
    play.Run(kRouterDownTime);
    play.StartRouters();
    play.Run(seconds(2));
  }
  CheckResumed(play.End());
}

TEST_CASE(
    "Streams go on at their software version after half of the routers died "
    "twice within a second") {
  LossPlay play(102, Seed(1));
  for (int i = 0; i < 2; ++i) {
    play.KillRouters(kRouters / 2);
    play.Run(milliseconds(300));
    play.StartRouters();
    play.Run(milliseconds(400));
    play.KillRouters(kRouters / 2);
    play.Run(milliseconds(300));
    play.StartRouters();
    play.Run(seconds(2));
  }
  CheckResumed(play.End());
}

TEST_CASE(
    "Streams go on at their software version while routers are killed and "
    "started in quick succession") {
  LossPlay play(103, Seed(1));
  for (int i = 0; i < 2; ++i) {
    for (const auto& it : play.fleet.routers()) {
      it->Kill();
      it->Start();
      play.Run(milliseconds(150));
    }
    play.Run(seconds(2));
  }
  CheckResumed(play.End());
}

TEST_CASE(
    "Streams go on at their software version while routers are stopped and "
    "started in quick succession") {
  LossPlay play(104, Seed(1));
  play.breaks_streams = true;
  for (int i = 0; i < 2; ++i) {
    for (const auto& it : play.fleet.routers()) {
      it->Stop(play.fleet.Now());
      play.RunAndStartRouters(milliseconds(150));
    }
    play.RunAndStartRouters(seconds(2));
  }
  CheckResumed(play.End());
}

TEST_CASE(
    "Streams go on at their software version when lost routers return one by "
    "one") {
  LossPlay play(105, Seed(1));
  play.KillAllRouters();
  play.Run(kRouterDownTime);
  for (const auto& it : play.fleet.routers()) {
    it->Start();
    play.Run(milliseconds(500));
  }
  play.Run(seconds(1));
  CheckResumed(play.End());
}

TEST_CASE(
    "Streams go on at their software version after all routers died twice "
    "within seconds") {
  LossPlay play(106, Seed(1), {.max_resumptions = 20, .max_delay = seconds(3)});
  for (int i = 0; i < 2; ++i) {
    play.LoseAllRouters(milliseconds(1500));
  }
  play.Run(seconds(1));
  CheckResumed(play.End());
}

TEST_CASE(
    "Streams go on at their software version after all routers and a quarter "
    "of the engines died") {
  LossPlay play(107, Seed(5));
  for (int i = 0; i < 2; ++i) {
    play.CrashEngines();
    play.LoseAllRouters(seconds(2));
  }
  CheckResumed(play.End());
}

TEST_CASE(
    "Engines that return with a newer software version after the loss of all "
    "routers join no streams") {
  LossPlay play(108, Seed(1));
  for (Engine* it : play.CrashEngines()) {
    it->version = "v3";
  }
  play.LoseAllRouters(seconds(3));
  CheckResumed(play.End());
}

TEST_CASE(
    "Streams go on at their software version after the loss of all routers "
    "while an engine does not answer their questions") {
  LossPlay play(109, Seed(1));
  for (int i = 0; i < 2; ++i) {
    Engine& engine =
        *play.fleet.engines()[play.random() % play.fleet.engines().size()];
    engine.ignores_questions = true;
    play.LoseAllRouters(seconds(2));
    engine.ignores_questions = false;
    play.Run(seconds(1));
  }
  CheckResumed(play.End());
}

TEST_CASE(
    "Streams go on at their software version when callers return seconds after "
    "the loss of all routers") {
  constexpr Duration kTimeout = seconds(10);
  LossPlay play(110, Seed(1),
                {.max_resumptions = 1,
                 .min_delay = seconds(5),
                 .max_delay = milliseconds(5500)},
                {.route_timeout = kTimeout});
  play.load->options.timeout = kTimeout;
  play.Run(seconds(1));
  play.LoseAllRouters(seconds(6));
  CheckResumed(play.End());
}

// Requests of a session may run at several versions.
TEST_CASE(
    "Sessions join no streams of two software versions after all routers and a "
    "quarter of the engines died") {
  LossPlay play(111, Seed(4));
  play.load->sessions = 60;
  for (int i = 0; i < 2; ++i) {
    play.Run(seconds(1));
    play.CrashEngines();
    play.LoseAllRouters(seconds(2));
  }
  const Tally tally = play.End();
  CHECK(tally.resumptions.sent >= kMinResumptions);
}

TEST_CASE(
    "Sessions join no streams of two software versions after the loss of all "
    "routers while an engine does not answer their questions") {
  LossPlay play(112, Seed(1));
  play.load->sessions = 60;
  for (int i = 0; i < 2; ++i) {
    play.Run(seconds(1));
    Engine& engine =
        *play.fleet.engines()[play.random() % play.fleet.engines().size()];
    engine.ignores_questions = true;
    play.LoseAllRouters(seconds(2));
    engine.ignores_questions = false;
  }
  const Tally tally = play.End();
  CHECK(tally.resumptions.sent >= kMinResumptions);
}

// A retry may run at another version than the attempt whose event was lost.
TEST_CASE(
    "Retries join no streams of two software versions after all routers and a "
    "quarter of the engines died") {
  LossPlay play(113, Seed(5));
  for (const auto& it : play.fleet.engines()) {
    it->lost_start_interval = 3;
  }
  for (int i = 0; i < 2; ++i) {
    play.Run(seconds(1));
    play.CrashEngines();
    play.LoseAllRouters(seconds(2));
  }
  const Tally tally = play.End();
  CHECK(tally.resumptions.sent >= kMinResumptions);
}

}  // namespace
}  // namespace corianderpost::soak
