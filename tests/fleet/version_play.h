// Plays streams that break off and are resumed while engines of several
// software versions serve, and checks what became of them.
#ifndef CORIANDERPOST_TESTS_FLEET_VERSION_PLAY_H_
#define CORIANDERPOST_TESTS_FLEET_VERSION_PLAY_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <ostream>
#include <random>
#include <string>
#include <vector>

#include "fleet/engine_fleet.h"
#include "fleet/random_load.h"

namespace corianderpost::soak {

// The requirement: while two targets of the version serve, the share of
// resumptions that go on is at least this fraction of the share of new streams
// that begin. It holds from this number of resumptions on.
inline constexpr double kMinResumedRatio = 0.5;
inline constexpr std::size_t kMinResumptions = 12;
inline constexpr Duration kRouterDownTime = std::chrono::milliseconds(400);

// A fleet under load whose streams break off. Not thread-safe.
struct Play {
  // Starts the routers and one engine for each version. `rules` are those of
  // the configuration.
  Play(int network, int routers, const std::vector<std::string>& versions,
       std::uint64_t seed, ResumePolicy policy = {.max_resumptions = 4},
       const platform::StandinRules& rules = {});

  // Plays under load. While `breaks_streams`, engines and callers break off
  // streams.
  void Run(Duration duration);
  // Kills `n` routers that are chosen at random; they may be killed already.
  // `n` is at most the number of routers.
  void KillRouters(std::size_t n);
  // Starts the routers that don't run.
  void StartRouters();
  void RestartAllRouters();

  EngineFleet fleet;
  std::optional<RandomLoad> load;
  std::mt19937_64 random;
  bool breaks_streams = true;
  TimePoint next_break_at = {};
};

// Returns the writer of the call's first event; empty if it got none.
std::string FirstWriterOf(const EngineCall& call);

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
  void Add(const CallTry& one_try);
};

struct Tally {
  Requests new_streams;
  Requests resumptions;
  // Streams with events of several versions, in one response or over all.
  std::size_t joined_in_response = 0;
  std::size_t joined = 0;
  // Ids of the first requests of those.
  std::vector<std::string> joined_ids = {};
  // Streams with missing or repeated events.
  std::size_t not_contiguous = 0;
};

// Counts the calls, without those that began at engines that state no version
// unless `includes_unstated`.
Tally TallyOf(const EngineFleet& fleet, bool includes_unstated = true);

std::ostream& operator<<(std::ostream& out, const Requests& requests);
std::ostream& operator<<(std::ostream& out, const Tally& tally);

// Checks that no stream has events of several versions, or misses any.
void CheckOrder(const Tally& tally);
// Checks the requirement, or another ratio.
void CheckResumed(const Tally& tally, double min_ratio = kMinResumedRatio);

}  // namespace corianderpost::soak

#endif  // CORIANDERPOST_TESTS_FLEET_VERSION_PLAY_H_
