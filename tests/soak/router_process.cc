#include "soak/router_process.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <vector>

extern char** environ;  // NOLINT: declared by POSIX.

namespace corianderpost::soak {

std::string LoopbackNetwork::Ip(int host) const {
  return "127.0." + std::to_string(number) + "." + std::to_string(host);
}

std::string LoopbackNetwork::Address(int host, int port) const {
  return Ip(host) + ":" + std::to_string(port);
}

std::string ToString(const ProcessEnd& end) {
  const std::string text = end.signal != 0
                               ? "signal " + std::to_string(end.signal)
                               : "exit code " + std::to_string(end.exit_code);
  return text + (end.was_requested ? " after SIGTERM" : " without SIGTERM");
}

RouterProcess::RouterProcess(const LoopbackNetwork& network,
                             std::string program, const std::string& folder,
                             int index, std::string zone)
    : network_(network),
      program_(std::move(program)),
      settings_path_(folder + "/router-" + std::to_string(index) + ".yaml"),
      log_path_(folder + "/router-" + std::to_string(index) + ".jsonl"),
      host_(10 + index),
      zone_(std::move(zone)) {
  WriteSettings();
}

void RouterProcess::SetGracePeriod(std::chrono::seconds grace_period) {
  grace_period_ = grace_period;
  WriteSettings();
}

void RouterProcess::SetResources(int memory_mb, int max_descriptors) {
  memory_mb_ = memory_mb;
  max_descriptors_ = max_descriptors;
  WriteSettings();
}

void RouterProcess::WriteSettings() const {
  std::ofstream(settings_path_)
      << "vm: router-" << host_ - 10 << "\nzone: " << zone_
      << "\nregion: " << (zone_ == "a" ? "west" : "east")
      << "\nip: " << network_.Ip(host_) << "\ncallers: " << address()
      << "\nreadiness: " << readiness_address()
      << "\ncontrol: " << network_.Address(host_, kControlPort)
      << "\npeer_port: " << kPeerPort << "\nseeds: [\""
      << network_.Address(10, kControlPort) << "\", \""
      << network_.Address(11, kControlPort)
      << "\"]\nzones: {a: west, b: east}\nstore: "
      << network_.Address(1, kStorePort) << "\ngrace_seconds: "
      << std::chrono::duration_cast<std::chrono::seconds>(grace_period_).count()
      << "\nretry_ratio: 0.2\nretry_window_seconds: 10\n"
         "retry_slack: 50\nmax_descriptors: "
      << max_descriptors_ << "\nmemory_mb: " << memory_mb_
      << "\n"
         "processor_share: 1\nregion_link_mbit: 30\n";
}

void RouterProcess::Start() {
  was_paused_ = false;
  was_stopped_ = false;
  sigterm_sent_at_.reset();
  std::vector<std::string> arguments = {program_, "--settings", settings_path_};
  std::vector<char*> argv;
  argv.reserve(arguments.size() + 1);
  for (std::string& it : arguments) {
    argv.push_back(it.data());
  }
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_path_.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  // A router that inherited a stand-in's listening socket would keep the port
  // open after the stand-in has closed it.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  if (posix_spawn(&pid_, program_.c_str(), &actions, nullptr, argv.data(),
                  environ) != 0) {
    pid_ = 0;
    throw std::runtime_error("cannot start router process " + program_);
  }
  posix_spawn_file_actions_destroy(&actions);
}

void RouterProcess::Signal(int signal) {
  if (pid_ > 0) {
    kill(pid_, signal);
    was_paused_ = was_paused_ || signal == SIGSTOP;
    was_stopped_ = was_stopped_ || signal == SIGTERM;
  }
}

void RouterProcess::Stop(TimePoint now) {
  Signal(SIGTERM);
  if (!sigterm_sent_at_) {
    sigterm_sent_at_ = now;
  }
}

bool RouterProcess::HasExceededGracePeriod(TimePoint now) {
  const bool has_exceeded = pid_ > 0 && !was_paused_ && sigterm_sent_at_ &&
                            now > *sigterm_sent_at_ + grace_period_;
  if (has_exceeded) {
    sigterm_sent_at_.reset();
  }
  return has_exceeded;
}

void RouterProcess::Kill() {
  if (pid_ > 0) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = 0;
  }
}

std::size_t RouterProcess::ResidentBytes() const {
  std::ifstream in("/proc/" + std::to_string(pid_) + "/statm");
  std::size_t total_pages = 0;
  std::size_t resident_pages = 0;
  in >> total_pages >> resident_pages;
  return pid_ > 0
             ? resident_pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE))
             : 0;
}

std::size_t RouterProcess::UnreadBytes() const {
  // The kernel writes an address as the hexadecimal number that its bytes are
  // in the machine's order.
  const std::string ip = network_.Ip(host_);
  in_addr address{};
  inet_pton(AF_INET, ip.c_str(), &address);
  std::size_t sum = 0;
  std::ifstream in("/proc/net/tcp");
  std::string line;
  while (std::getline(in, line)) {
    unsigned int local = 0;
    unsigned int state = 0;
    unsigned int unread = 0;
    constexpr unsigned int kListen = 10;
    // For a listening socket, the queue is that of unaccepted connections.
    if (std::sscanf(line.c_str(), " %*u: %x:%*x %*x:%*x %x %*x:%x", &local,
                    &state, &unread) == 3 &&
        local == address.s_addr && state != kListen) {
      sum += unread;
    }
  }
  return sum;
}

std::size_t RouterProcess::Descriptors() const {
  std::error_code ec;
  const std::filesystem::directory_iterator entries(
      "/proc/" + std::to_string(pid_) + "/fd", ec);
  return pid_ > 0 && !ec ? static_cast<std::size_t>(
                               std::distance(begin(entries), end(entries)))
                         : 0;
}

bool RouterProcess::HasExited() {
  int status = 0;
  if (pid_ > 0 && waitpid(pid_, &status, WNOHANG) == pid_) {
    ends_.push_back({WIFEXITED(status) ? WEXITSTATUS(status) : 0,
                     WIFSIGNALED(status) ? WTERMSIG(status) : 0, was_stopped_});
    pid_ = 0;
  }
  return pid_ == 0;
}

}  // namespace corianderpost::soak
