// Plays one scenario: play NAME RECORD
#include <sys/resource.h>
#include <unistd.h>

#include <exception>
#include <filesystem>
#include <iostream>
#include <map>

#include "scenarios.h"

int main(int argc, char** argv) {
  using namespace review;
  const std::map<std::string, Outcome (*)(Record&)> scenarios = {
      {"parts", PlayParts},
      {"restart", PlayRestart},
      {"crash-after-event", PlayCrashAfterEvent},
      {"deep-part", PlayDeepPart},
      {"stale", PlayStale},
  };
  const auto scenario = argc == 3 ? scenarios.find(argv[1]) : scenarios.end();
  if (scenario == scenarios.end()) {
    std::cerr << "usage: play NAME RECORD\n";
    return 2;
  }
  // The stand-ins of all clients and replicas share this process.
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
  Record record(argv[2]);
  Outcome outcome = Outcome::kCouldNotRun;
  try {
    outcome = scenario->second(record);
  } catch (const std::exception& ex) {
    record.Line(std::string("could not run: ") + ex.what());
  }
  record.Line(outcome == Outcome::kBroken ? "the rule was broken"
              : outcome == Outcome::kHeld ? "the rule held"
                                          : "the case could not run");
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(TemporaryFolder(), ignored);
  }
  // Threads of stand-ins may still wait.
  std::cout.flush();
  _exit(static_cast<int>(outcome));
}
