// Starts router processes under conditions that once ended them.
#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

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

// Guards against an end whose reason is on standard error only, or nowhere.
TEST_CASE("A router whose port stays held names it at the end of its log") {
  const std::string folder = FreshFolder(205);
  const LoopbackNetwork network{205};
  const HeldAddress held(network.Ip(10), kCallersPort, SOCK_STREAM);
  RouterProcess router(network, kProgram, folder, 0);
  router.Start();
  const auto has_exited = [&] { return router.HasExited(); };
  REQUIRE((Eventually(has_exited) || Eventually(has_exited)));
  CHECK(ToString(router.ends().back()) == "exit code 1 without SIGTERM");
  const std::string log = ReadText(folder + "/router-0.jsonl");
  const std::size_t end = log.find("router ended by an exception");
  REQUIRE(end != std::string::npos);
  const std::size_t begin = log.rfind('\n', end) + 1;
  CHECK(log.substr(begin).find(router.address()) != std::string::npos);
}

// Starts a router with `output` as standard output, or with none if it is
// negative.
pid_t StartWithOutput(const std::string& settings_path, int output) {
  std::vector<std::string> arguments = {kProgram, "--settings", settings_path};
  std::vector<char*> argv;
  argv.reserve(arguments.size() + 1);
  for (std::string& it : arguments) {
    argv.push_back(it.data());
  }
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  if (output < 0) {
    posix_spawn_file_actions_addclose(&actions, STDOUT_FILENO);
  } else {
    posix_spawn_file_actions_adddup2(&actions, output, STDOUT_FILENO);
  }
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  pid_t pid = 0;
  REQUIRE(posix_spawn(&pid, kProgram, &actions, nullptr, argv.data(),
                      environ) == 0);
  posix_spawn_file_actions_destroy(&actions);
  return pid;
}

// Returns how the process ends after SIGTERM; signal 9 if it does not end in
// time.
ProcessEnd EndAfterSigterm(pid_t pid) {
  kill(pid, SIGTERM);
  int status = 0;
  if (!Eventually([&] { return waitpid(pid, &status, WNOHANG) == pid; })) {
    kill(pid, SIGKILL);
    waitpid(pid, &status, 0);
  }
  return {WIFEXITED(status) ? WEXITSTATUS(status) : 0,
          WIFSIGNALED(status) ? WTERMSIG(status) : 0, true};
}

// Guards against SIGPIPE at the next line of the log.
TEST_CASE("A router outlives the reader of its log") {
  const std::string folder = FreshFolder(206);
  const RouterProcess settings({206}, kProgram, folder, 0);
  int fds[2];
  REQUIRE(pipe2(fds, O_CLOEXEC) == 0);
  const pid_t pid = StartWithOutput(folder + "/router-0.yaml", fds[1]);
  close(fds[1]);
  char first = 0;
  CHECK(read(fds[0], &first, 1) == 1);
  close(fds[0]);
  CHECK(ToString(EndAfterSigterm(pid)) == "exit code 0 after SIGTERM");
}

// Guards against log lines in a socket that got the number of standard output.
TEST_CASE("A router without standard output opens none of its sockets as it") {
  const std::string folder = FreshFolder(207);
  const RouterProcess settings({207}, kProgram, folder, 0);
  const pid_t pid = StartWithOutput(folder + "/router-0.yaml", -1);
  const std::string fds = "/proc/" + std::to_string(pid) + "/fd/";
  const auto is_socket = [&](int fd) {
    std::error_code ec;
    return std::filesystem::read_symlink(fds + std::to_string(fd), ec)
        .string()
        .starts_with("socket:");
  };
  CHECK(Eventually([&] {
    int sockets = 0;
    for (int fd = 0; fd < 20; ++fd) {
      sockets += is_socket(fd) ? 1 : 0;
    }
    return sockets >= 4;
  }));
  std::error_code ec;
  CHECK(std::filesystem::read_symlink(fds + "1", ec).string() == "/dev/null");
  CHECK(ToString(EndAfterSigterm(pid)) == "exit code 0 after SIGTERM");
}

// Adds so many seeds to the settings that the line `router started`, which has
// them, is longer than 20,000 characters.
void LengthenFirstLine(const std::string& path, int network) {
  std::string text = ReadText(path);
  const std::string key = "seeds: [";
  REQUIRE(text.find(key) != std::string::npos);
  std::string seeds;
  for (int i = 0; i < 1000; ++i) {
    seeds += "\"" + LoopbackNetwork{network}.Address(11, kControlPort) + "\", ";
  }
  text.insert(text.find(key) + key.size(), seeds);
  std::ofstream(path) << text;
}

// Guards against a write of a long line that waits for the reader of the log.
TEST_CASE("A line that does not fit into the log's pipe blocks no router") {
  const std::string folder = FreshFolder(208);
  const std::string path = folder + "/router-0.yaml";
  const RouterProcess settings({208}, kProgram, folder, 0);
  LengthenFirstLine(path, 208);
  int fds[2];
  REQUIRE(pipe2(fds, O_CLOEXEC) == 0);
  REQUIRE(fcntl(fds[1], F_SETPIPE_SZ, 4096) > 0);
  REQUIRE(fcntl(fds[1], F_GETPIPE_SZ) < 20'000);
  const pid_t pid = StartWithOutput(path, fds[1]);
  close(fds[1]);
  pollfd readable{fds[0], POLLIN, 0};
  REQUIRE(poll(&readable, 1, 10'000) == 1);
  CHECK(ToString(EndAfterSigterm(pid)) == "exit code 0 after SIGTERM");
  close(fds[0]);
}

// Guards against a broken line when the reader of the log was slow.
TEST_CASE("A log that is read late has no broken line") {
  const std::string folder = FreshFolder(209);
  const std::string path = folder + "/router-0.yaml";
  const RouterProcess settings({209}, kProgram, folder, 0);
  LengthenFirstLine(path, 209);
  int fds[2];
  REQUIRE(pipe2(fds, O_CLOEXEC) == 0);
  REQUIRE(fcntl(fds[1], F_SETPIPE_SZ, 4096) > 0);
  const pid_t pid = StartWithOutput(path, fds[1]);
  close(fds[1]);
  pollfd readable{fds[0], POLLIN, 0};
  REQUIRE(poll(&readable, 1, 10'000) == 1);
  std::string log;
  std::array<char, 4096> buf;
  REQUIRE(fcntl(fds[0], F_SETFL, O_NONBLOCK) == 0);
  // Each SIGHUP causes a line, before which the rest of the first is written.
  CHECK(Eventually([&] {
    kill(pid, SIGHUP);
    const ssize_t n = read(fds[0], buf.data(), buf.size());
    log.append(buf.data(), static_cast<std::size_t>(std::max<ssize_t>(n, 0)));
    return log.find("SIGHUP received") != std::string::npos &&
           log.ends_with('\n');
  }));
  CHECK(ToString(EndAfterSigterm(pid)) == "exit code 0 after SIGTERM");
  close(fds[0]);
  std::istringstream lines(log);
  for (std::string line; std::getline(lines, line);) {
    CAPTURE(line.substr(0, 200));
    CHECK(nlohmann::json::accept(line));
  }
}

}  // namespace
}  // namespace corianderpost::soak
