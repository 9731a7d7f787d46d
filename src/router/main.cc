// Main program of corianderpost-router, one router of the fleet.
#include <fcntl.h>
#include <malloc.h>
#include <signal.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>

#include "platform/platform_deployment.h"
#include "router/router.h"
#include "runtime/bind_retry.h"
#include "runtime/command_line.h"
#include "runtime/json_log.h"
#include "runtime/signal_mask.h"

namespace {

namespace po = boost::program_options;
namespace internal = corianderpost::internal;

// Buffers of at least this size are returned to the system when they are freed.
// Without a fixed threshold the allocator keeps them, beyond the memory that
// `MemoryBudget` leaves to the rest of the program.
constexpr int kMinMappedBytes = 256 * 1024;

// Runs before the constructors of static objects, in libraries too, which take
// time and may start threads. The router unblocks the signals.
void BlockSignalsAtStart(int, char**, char**) {
  internal::BlockHandledSignals();
}
__attribute__((section(".preinit_array"),
               used)) void (*const block_signals_at_start)(int, char**,
                                                           char**) =
    BlockSignalsAtStart;

std::string ReadSettings(const std::string& path) {
  std::ifstream in(path);
  if (!in) {
    throw internal::UsageError("cannot read the settings at " + path);
  }
  return {std::istreambuf_iterator<char>(in), {}};
}

// Keeps the numbers of closed standard streams from sockets, into which the log
// would be written.
void OpenStandardStreams() {
  for (int fd = open("/dev/null", O_RDWR); fd >= 0;
       fd = open("/dev/null", O_RDWR)) {
    if (fd > STDERR_FILENO) {
      close(fd);
      break;
    }
  }
}

int Run(const po::variables_map& values) {
  mallopt(M_MMAP_THRESHOLD, kMinMappedBytes);
  const auto path = values["settings"].as<std::string>();
  const std::string text = ReadSettings(path);
  const auto settings = corianderpost::RouterSettings::FromYaml(
      corianderpost::CheckedYaml::FromText(text, path));
  if (values.count("check") != 0) {
    std::cout << "the settings are valid\n";
    return internal::kExitSuccess;
  }
  internal::OpenLog(values.count("verbose") != 0 ? internal::LogLevel::kDebug
                                                 : internal::LogLevel::kInfo);
  const corianderpost::platform::PlatformDeployment deployment;
  std::optional<corianderpost::Router> router;
  try {
    const bool has_started = internal::RetryBinding(
        corianderpost::SystemClock(),
        [&] { router.emplace(settings, path, text, deployment); },
        [](corianderpost::Duration pause) {
          return !internal::AwaitStopSignal(pause);
        });
    if (has_started) {
      router->Run();
    } else {
      internal::Log(internal::LogLevel::kInfo, "router stopped",
                    {{"vm", settings.vm}});
    }
  } catch (const std::exception& ex) {
    internal::Log(internal::LogLevel::kError, "router ended by an exception",
                  {{"vm", settings.vm}, {"reason", ex.what()}});
    throw;
  }
  // Skips static destructors: log4cplus may wait for its idle threads beyond
  // the grace period. No output is lost, because all responses are written and
  // log lines are not buffered.
  std::quick_exit(internal::kExitSuccess);
}

}  // namespace

int main(int argc, char** argv) {
  OpenStandardStreams();
  // The reader of the log may end before the router.
  signal(SIGPIPE, SIG_IGN);
  internal::ProgramDescription program{
      "corianderpost-router",
      "routes callers' requests to targets as part of a fleet of routers",
      po::options_description("options"),
      {}};
  program.options.add_options()(
      "settings", po::value<std::string>()->required(),
      "path of the YAML file with this router's settings")(
      "check", "check the settings and exit")("verbose",
                                              "also log debug messages");
  return internal::RunProgram(argc, argv, program, Run);
}
