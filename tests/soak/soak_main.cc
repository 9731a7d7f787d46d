// corianderpost-soak: randomized fault injection against router processes.
//
// Runs the routers as separate processes. The store, the targets and the
// proxies between routers and targets are stand-ins within this process. While
// callers send requests, faults are injected: routers are killed, stopped,
// paused and sent SIGHUP; connections are delayed, reset or silenced; the store
// becomes unavailable; targets drain; configurations are published. The first
// half of the fault period has planned work only: stops, reloads,
// configurations and leaving targets, in series and overlapping. In the second
// half all kinds are drawn.
//
// Half of the callers open a connection for each request, the others keep one
// until the router closes it, also while the router drains.
//
// Calls and faults draw from one generator as time passes, so a seed fixes the
// random numbers but does not reproduce a run exactly.
//
// Checks:
//   - a non-idempotent request is executed at most once
//   - a non-idempotent request that was rejected (503 or 429) is never executed
//   - the body of a 200 response is the one for its request; it may be
//     truncated, since faults break connections, but isn't complete then
//     according to its framing
//   - no bytes arrive that belong to no request
//   - a stream has no missing or repeated events, and has all of them if it
//     ends with the last chunk
//   - a revoked API key gets no 200 response once the revocation must have
//     reached all routers
//   - a router exits within its grace period after SIGTERM, with status 0, and
//     never by itself
//   - in planned work, no router ends the connection of a request without a
//     complete response; at other times at most three do so at sound targets
//   - a leaving target gets no requests after the drain time
//   - after the last fault, requests are served again
#include <iostream>

#include "runtime/command_line.h"
#include "soak/soak.h"

namespace corianderpost::soak {
namespace {

namespace po = boost::program_options;
using std::chrono::seconds;

int Main(const po::variables_map& values) {
  const auto seed = values["seed"].as<std::uint64_t>();
  const std::string folder = values["folder"].as<std::string>();
  std::cout << "seed " << seed << std::endl;
  Soak soak({values["network"].as<int>()}, values["router"].as<std::string>(),
            folder, seed, values["routers"].as<int>(),
            values["rate"].as<int>());
  const std::vector<std::string> violations =
      soak.Run(seconds(values["seconds"].as<int>()));
  std::cout << soak.Summary() << "\n";
  for (const std::string& it : violations) {
    std::cout << "VIOLATION " << it << "\n";
  }
  std::cout << violations.size() << " violations" << std::endl;
  return violations.empty() ? internal::kExitSuccess : internal::kExitFailure;
}

}  // namespace
}  // namespace corianderpost::soak

int main(int argc, char** argv) {
  namespace internal = corianderpost::internal;
  namespace po = corianderpost::soak::po;
  internal::ProgramDescription program{
      "corianderpost-soak",
      "runs router processes, injects faults and checks the responses",
      po::options_description("options"),
      {}};
  program.options.add_options()("seed",
                                po::value<std::uint64_t>()->default_value(1),
                                "seed of the random draws")(
      "seconds", po::value<int>()->default_value(30),
      "duration of the run in seconds; runs of 11 s or less have no faults")(
      "routers", po::value<int>()->default_value(4),
      "number of router processes")("rate",
                                    po::value<int>()->default_value(100),
                                    "requests per second, over all routers")(
      "network", po::value<int>()->default_value(0),
      "third octet of the loopback addresses, 0 to 255")(
      "router", po::value<std::string>()->required(),
      "path of the router program")(
      "folder", po::value<std::string>()->default_value("/tmp"),
      "existing folder for the routers' settings and logs");
  return internal::RunProgram(argc, argv, program, corianderpost::soak::Main);
}
