// Starts router processes under conditions that once ended them.
#include <doctest/doctest.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/stat.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <string>
#include <thread>

#include "soak/router_process.h"

namespace corianderpost::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kProgram[] = CORIANDERPOST_ROUTER_PROGRAM;

std::string FreshFolder(int network) {
  const auto folder = std::filesystem::temp_directory_path() /
                      ("corianderpost-life-" + std::to_string(network));
  std::filesystem::remove_all(folder);
  std::filesystem::create_directories(folder);
  return folder.string();
}

// Waits until `condition` holds, for ten seconds at most, and returns whether
// it does.
template <typename Condition>
bool Eventually(Condition condition) {
  const auto end = std::chrono::steady_clock::now() + seconds(10);
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(milliseconds(2));
  }
  return true;
}

std::string ReadText(const std::string& path) {
  std::ifstream in(path);
  return {std::istreambuf_iterator<char>(in), {}};
}

// Guards against a start that leaves signals to their default action for as
// long as the settings, the log and the sockets take.
TEST_CASE("Signals during the start of a router lead to its planned stop") {
  const std::string folder = FreshFolder(200);
  const std::string path = folder + "/router-0.yaml";
  RouterProcess router({200}, kProgram, folder, 0);
  const std::string settings = ReadText(path);
  // The router waits for the end of its settings while it reads a pipe.
  std::filesystem::remove(path);
  REQUIRE(mkfifo(path.c_str(), 0600) == 0);
  router.Start();
  int fd = -1;
  REQUIRE(Eventually([&] {
    fd = open(path.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
    return fd >= 0;
  }));
  router.Signal(SIGHUP);
  router.Signal(SIGTERM);
  std::filesystem::remove(path);
  std::ofstream(path) << settings;
  CHECK(write(fd, settings.data(), settings.size()) ==
        static_cast<ssize_t>(settings.size()));
  close(fd);
  REQUIRE(Eventually([&] { return router.HasExited(); }));
  CHECK(ToString(router.ends().back()) == "exit code 0 after SIGTERM");
  const std::string log = ReadText(folder + "/router-0.jsonl");
  CHECK(log.find("SIGHUP received") != std::string::npos);
  CHECK(log.find("router stopped") != std::string::npos);
}

}  // namespace
}  // namespace corianderpost::soak
