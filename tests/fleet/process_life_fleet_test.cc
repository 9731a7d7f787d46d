// Starts router processes under conditions that once ended them.
#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <string>
#include <thread>
#include <utility>

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

// A socket bound to the address until it is closed. Not copyable.
class HeldAddress {
 public:
  // `type` is SOCK_STREAM, which then listens, or SOCK_DGRAM.
  HeldAddress(const std::string& ip, int port, int type)
      : fd_(socket(AF_INET, type | SOCK_CLOEXEC, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = inet_addr(ip.c_str());
    REQUIRE(bind(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address) ==
            0);
    REQUIRE((type == SOCK_DGRAM || listen(fd_, 1) == 0));
  }
  ~HeldAddress() { Release(); }
  HeldAddress(const HeldAddress&) = delete;
  HeldAddress& operator=(const HeldAddress&) = delete;
  void Release() {
    if (fd_ >= 0) {
      close(std::exchange(fd_, -1));
    }
  }

 private:
  int fd_;
};

// Starts a router while its address is held, and checks that it starts when the
// address is free.
void CheckStartsWhenFree(int network, int port, int type) {
  const std::string folder = FreshFolder(network);
  const std::string log = folder + "/router-0.jsonl";
  const LoopbackNetwork loopback{network};
  HeldAddress held(loopback.Ip(10), port, type);
  RouterProcess router(loopback, kProgram, folder, 0);
  router.Start();
  CHECK(Eventually([&] {
    return router.HasExited() ||
           ReadText(log).find("address is unavailable") != std::string::npos;
  }));
  REQUIRE_FALSE(router.HasExited());
  held.Release();
  CHECK(Eventually([&] {
    return ReadText(log).find("router started") != std::string::npos;
  }));
  CHECK_FALSE(router.HasExited());
}

// Guards against a restart that fails because a socket still holds a port.
TEST_CASE("A port that is held for a moment ends no router") {
  SUBCASE("callers") { CheckStartsWhenFree(201, kCallersPort, SOCK_STREAM); }
  SUBCASE("readiness") {
    CheckStartsWhenFree(202, kReadinessPort, SOCK_STREAM);
  }
  SUBCASE("control") { CheckStartsWhenFree(203, kControlPort, SOCK_STREAM); }
  SUBCASE("peers") { CheckStartsWhenFree(204, kPeerPort, SOCK_DGRAM); }
}

TEST_CASE("A router that waits for a port stops on SIGTERM") {
  const std::string folder = FreshFolder(205);
  const std::string log = folder + "/router-0.jsonl";
  const LoopbackNetwork network{205};
  const HeldAddress held(network.Ip(10), kCallersPort, SOCK_STREAM);
  RouterProcess router(network, kProgram, folder, 0);
  router.Start();
  CHECK(Eventually([&] {
    return ReadText(log).find("address is unavailable") != std::string::npos;
  }));
  router.Signal(SIGTERM);
  REQUIRE(Eventually([&] { return router.HasExited(); }));
  CHECK(ToString(router.ends().back()) == "exit code 0 after SIGTERM");
  CHECK(ReadText(log).find("router stopped") != std::string::npos);
}

}  // namespace
}  // namespace corianderpost::soak
