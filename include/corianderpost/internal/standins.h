// Stand-ins for the outside systems, for demos, tests and measurements.
//
// Each runs one HTTP server until it is stopped. POST /fault switches faults on
// and GET /stats tells what the stand-in witnessed.
#ifndef CORIANDERPOST_INTERNAL_STANDINS_H_
#define CORIANDERPOST_INTERNAL_STANDINS_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "corianderpost/clock.h"

namespace httplib {
class Server;
}

namespace corianderpost::internal {

struct EngineOptions {
  int slots = 8;
  int cold_slots = 1;
  Duration first_token{20'000};
  Duration between_tokens{5'000};
  // Tokens of an answer unless the request limits them.
  int mean_tokens = 40;
  // How long a start or a crash leaves the engine cold.
  Duration cold_time{5'000'000};
  // How long it is away after a crash.
  Duration restart_time{1'000'000};
  // By how much load reports lag.
  Duration report_lag{300'000};
  bool starts_cold = false;
};

// Text that makes a stand-in engine crash when a prompt contains it.
inline constexpr char kCrashMarker[] = "crash-the-engine";

// Returns the engine's token `index` for the prompt; the same on each engine.
std::string StandinToken(std::uint64_t prompt_hash, std::uint64_t index);
// Returns how many tokens an engine gives for the prompt.
int StandinTokenCount(std::uint64_t prompt_hash, int mean_tokens);
// Returns the whole answer that a caller must get for the prompt.
std::string StandinAnswer(std::string_view prompt, int mean_tokens);

// Each installs a stand-in's handlers; the state lives as long as the server.
void InstallEngine(httplib::Server& server, const EngineOptions& options);
// A plain service: echoes and counts calls by the header Work-Id.
void InstallPlainService(httplib::Server& server, Duration work_time);
// The read-only configuration service, with long-poll watch. PUT /publish is
// the users' own publishing step.
void InstallConfigurationService(httplib::Server& server);
// The list of VMs; PUT /publish replaces it, shown after `lag`.
void InstallVmList(httplib::Server& server, Duration lag);
// The weight store: GET /weights/NAME at a limited rate.
void InstallWeightStore(httplib::Server& server, int bytes_a_second);

}  // namespace corianderpost::internal

#endif  // CORIANDERPOST_INTERNAL_STANDINS_H_
