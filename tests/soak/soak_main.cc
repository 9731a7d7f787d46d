// corianderpost-soak: real router processes under faults from outside them.
//
// Starts routers as processes of their own, with a stand-in store, targets and
// fault proxies in this process. While callers send requests, it kills, stops,
// pauses and restarts routers and harms connections, in an order that the seed
// draws. It checks what callers and targets see:
//   - a non-idempotent request runs at most once
//   - a request that was refused as not run has not run
//   - an answer is whole and belongs to its request
//   - a stream has no gap and no repeat, and is whole if it ends as whole
//   - nothing runs for a key that was taken away, nor at a target that left
//   - once the faults end, callers are served again
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/write.hpp>
#include <fstream>
#include <iostream>
#include <optional>
#include <random>
#include <set>

#include "platform/platform_deployment.h"
#include "platform/standin_wire.h"
#include "runtime/command_line.h"
#include "soak/standins.h"

extern char** environ;  // NOLINT: declared by POSIX.

namespace corianderpost::soak {
namespace {

namespace asio = boost::asio;
namespace po = boost::program_options;
using asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kHost[] = "soak.example";
constexpr char kService[] = "assistant";
constexpr char kKey[] = "key-that-stays";
constexpr char kRevokedKey[] = "key-that-goes";
constexpr int kTargets = 4;
constexpr int kCallersPort = 19100;
constexpr int kReadinessPort = 19101;
constexpr int kControlPort = 19102;
constexpr int kPeerPort = 19103;
constexpr int kStorePort = 19104;
constexpr int kTargetPort = 19200;
constexpr int kProxyPort = 19300;
constexpr Duration kCallTimeout = seconds(6);
constexpr Duration kGrace = seconds(4);
// Until a change is in force everywhere, as the users ask, and the longest
// outage of the store that may come in between.
constexpr Duration kInForce = seconds(5) + milliseconds(2800);
// Calm at the end, of which the second half must be served.
constexpr Duration kCalm = seconds(8);
constexpr double kServedAfterFaults = 0.9;

// Loopback network of this run, so that several run side by side.
int& Network() {
  static int network = 0;
  return network;
}

std::string LoopbackIp(int host) {
  return "127.0." + std::to_string(Network()) + "." + std::to_string(host);
}

std::string Loopback(int host, int port) {
  return LoopbackIp(host) + ":" + std::to_string(port);
}

// A router as a process, ended by its id alone.
class RouterProcess {
 public:
  RouterProcess(std::string program, const std::string& folder, int number)
      : program_(std::move(program)),
        settings_(folder + "/router-" + std::to_string(number) + ".yaml"),
        log_(folder + "/router-" + std::to_string(number) + ".jsonl"),
        host_(10 + number) {
    std::ofstream(settings_)
        << "vm: router-" << number
        << "\nzone: a\nregion: west\nip: " << LoopbackIp(host_)
        << "\ncallers: " << address()
        << "\nreadiness: " << Loopback(host_, kReadinessPort)
        << "\ncontrol: " << Loopback(host_, kControlPort)
        << "\npeer_port: " << kPeerPort << "\nseeds: [\""
        << Loopback(10, kControlPort) << "\", \"" << Loopback(11, kControlPort)
        << "\"]\nzones: {a: west}\nstore: " << Loopback(1, kStorePort)
        << "\ngrace_seconds: "
        << std::chrono::duration_cast<seconds>(kGrace).count()
        << "\nretry_ratio: 0.2\nretry_window_seconds: 10\n"
           "retry_slack: 50\nmax_descriptors: 4100\nmemory_mb: 110\n"
           "processor_share: 1\nregion_link_mbit: 30\n";
  }
  ~RouterProcess() { Kill(); }
  RouterProcess(const RouterProcess&) = delete;
  RouterProcess& operator=(const RouterProcess&) = delete;

  void Start() {
    was_paused_ = false;
    stopped_at_.reset();
    std::vector<std::string> words = {program_, "--settings", settings_};
    std::vector<char*> argv;
    argv.reserve(words.size() + 1);
    for (std::string& it : words) {
      argv.push_back(it.data());
    }
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    if (posix_spawn(&pid_, program_.c_str(), &actions, nullptr, argv.data(),
                    environ) != 0) {
      pid_ = 0;
      throw std::runtime_error("cannot start " + program_);
    }
    posix_spawn_file_actions_destroy(&actions);
  }
  void Signal(int signal) {
    if (pid_ > 0) {
      kill(pid_, signal);
      was_paused_ = was_paused_ || signal == SIGSTOP;
    }
  }
  // Asks the process to end.
  void Stop(TimePoint now) {
    Signal(SIGTERM);
    if (!stopped_at_) {
      stopped_at_ = now;
    }
  }
  // Returns, once, whether the process outlived its grace period unhindered.
  bool HasOverstayed(TimePoint now) {
    const bool is_late =
        pid_ > 0 && !was_paused_ && stopped_at_ && now > *stopped_at_ + kGrace;
    if (is_late) {
      stopped_at_.reset();
    }
    return is_late;
  }
  void Kill() {
    if (pid_ > 0) {
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
      pid_ = 0;
    }
  }
  // Returns whether the process has ended by itself, and forgets it if so.
  bool HasEnded() {
    if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_) {
      pid_ = 0;
    }
    return pid_ == 0;
  }
  std::string address() const { return Loopback(host_, kCallersPort); }

 private:
  const std::string program_;
  const std::string settings_;
  const std::string log_;
  const int host_;
  pid_t pid_ = 0;
  bool was_paused_ = false;
  std::optional<TimePoint> stopped_at_;
};

enum class CallKind { kOnce, kRead, kStream };

// What one caller got.
struct Call {
  std::string id;
  CallKind kind = CallKind::kOnce;
  std::string key;
  TimePoint sent_at;
  std::string got;
  bool was_served = false;
  bool was_refused_as_not_run = false;
};

class Soak {
 public:
  Soak(const std::string& program, const std::string& folder,
       std::uint64_t seed, int routers, int per_second);
  // Runs for `length` and returns the violations.
  std::vector<std::string> Run(Duration length);
  std::string Summary() const;

 private:
  void PublishConfiguration(bool with_revoked_key);
  void PublishTargets();
  void SendCall();
  void EndCall(Call call);
  void CheckStream(const Call& call, const std::string& body);
  void Disturb();
  void Undo(Duration after, std::function<void()> undo);
  void Violate(const Call& call, const std::string& what);
  TimePoint Now() const { return clock_.Now(); }

  asio::io_context loop_;
  SystemClock clock_;
  platform::PlatformDeployment deployment_;
  std::mt19937_64 random_;
  const int per_second_;
  Store store_;
  RunsById runs_;
  std::vector<std::unique_ptr<Target>> targets_;
  std::vector<std::unique_ptr<Proxy>> proxies_;
  std::vector<std::unique_ptr<RouterProcess>> routers_;
  std::vector<std::pair<TimePoint, std::function<void()>>> undo_;
  std::vector<Call> refused_;
  std::vector<std::string> violations_;
  std::map<std::string, int> faults_;
  std::set<int> leaving_;
  std::uint64_t version_ = 0;
  std::uint64_t sequence_ = 0;
  std::uint64_t calls_ = 0;
  int open_ = 0;
  int served_ = 0;
  std::optional<TimePoint> revoked_at_;
  TimePoint calm_at_ = TimePoint::max();
  int calm_calls_ = 0;
  int calm_served_ = 0;
};

Soak::Soak(const std::string& program, const std::string& folder,
           std::uint64_t seed, int routers, int per_second)
    : random_(seed),
      per_second_(per_second),
      store_(loop_, Loopback(1, kStorePort), deployment_, clock_) {
  for (int i = 0; i < kTargets; ++i) {
    targets_.push_back(std::make_unique<Target>(
        loop_, Loopback(1, kTargetPort + i), deployment_, clock_, runs_));
    proxies_.push_back(std::make_unique<Proxy>(
        loop_, Loopback(1, kProxyPort + i), Loopback(1, kTargetPort + i)));
  }
  for (int i = 0; i < routers; ++i) {
    routers_.push_back(std::make_unique<RouterProcess>(program, folder, i));
  }
}

void Soak::PublishConfiguration(bool with_revoked_key) {
  std::vector<std::string> keys = {kKey};
  if (with_revoked_key) {
    keys.emplace_back(kRevokedKey);
  }
  store_.Put(
      platform::StandinConfigurationKey(),
      platform::FormatStandinConfiguration(++version_, kHost, kService, keys));
}

void Soak::PublishTargets() {
  ++sequence_;
  for (int i = 0; i < kTargets; ++i) {
    TargetEntry entry;
    entry.id = "t" + std::to_string(i);
    entry.service = kService;
    entry.address = Loopback(1, kProxyPort + i);
    entry.zone = "a";
    entry.slots = 64;
    entry.is_draining = leaving_.contains(i);
    entry.incarnation = 1;
    store_.Put(platform::StandinEntryKey(entry.id),
               platform::FormatStandinEntry(entry, sequence_));
  }
}

void Soak::Violate(const Call& call, const std::string& what) {
  violations_.push_back("request " + call.id + ": " + what);
}

void Soak::SendCall() {
  Call call;
  call.id = "c" + std::to_string(++calls_);
  call.kind = static_cast<CallKind>(random_() % 3);
  call.key = random_() % 8 == 0 ? kRevokedKey : kKey;
  call.sent_at = Now();
  constexpr const char* kPaths[] = {"/once/x", "/read/x", "/stream/x"};
  const std::string text = platform::FormatStandinRequest(
      {call.kind == CallKind::kRead ? "GET" : "POST",
       kPaths[static_cast<int>(call.kind)], kHost, call.id, call.key,
       kCallTimeout});
  const std::string address = routers_[random_() % routers_.size()]->address();
  ++open_;

  struct Exchange {
    explicit Exchange(asio::io_context& loop) : socket(loop), timer(loop) {}
    tcp::socket socket;
    asio::steady_timer timer;
    std::array<char, 8192> buffer{};
    std::string text;
    Call call;
  };
  auto exchange = std::make_shared<Exchange>(loop_);
  exchange->text = text;
  exchange->call = std::move(call);
  const auto end = [this, exchange] {
    exchange->timer.cancel();
    --open_;
    EndCall(std::move(exchange->call));
  };
  auto read = std::make_shared<std::function<void()>>();
  *read = [exchange, end, read] {
    exchange->socket.async_read_some(
        asio::buffer(exchange->buffer),
        [exchange, end, read](boost::system::error_code ec, std::size_t n) {
          exchange->call.got.append(exchange->buffer.data(), n);
          if (ec) {
            end();
            *read = nullptr;
          } else {
            (*read)();
          }
        });
  };
  exchange->timer.expires_after(kCallTimeout);
  exchange->timer.async_wait([exchange](boost::system::error_code ec) {
    if (!ec) {
      boost::system::error_code ignored;
      exchange->socket.close(ignored);
    }
  });
  exchange->socket.async_connect(
      *ParseEndpoint(address),
      [exchange, end, read](boost::system::error_code ec) {
        if (ec) {
          end();
          *read = nullptr;
          return;
        }
        asio::async_write(exchange->socket, asio::buffer(exchange->text),
                          [](boost::system::error_code, std::size_t) {});
        (*read)();
      });
}

void Soak::CheckStream(const Call& call, const std::string& body) {
  std::string expected;
  bool is_prefix = body.empty();
  for (int i = 1; i <= Target::kEvents; ++i) {
    expected += FormatChunk("id: " + std::to_string(i) + "\ndata: x\n\n");
    is_prefix = is_prefix || body == expected;
  }
  const bool is_whole = body.ends_with(kLastChunk);
  if (is_whole && body != expected + std::string(kLastChunk)) {
    Violate(call, "a stream ends as whole and is not: " + body);
  }
  // A cut may fall within a chunk.
  if (!is_whole && !expected.starts_with(body)) {
    Violate(call, "a stream has a gap or a repeat: " + body);
  }
}

void Soak::EndCall(Call call) {
  const std::size_t head_end = call.got.find("\r\n\r\n");
  if (call.got.starts_with("HTTP/1.1 ") && head_end != std::string::npos) {
    const int status = std::stoi(call.got.substr(9, 3));
    const std::string body = call.got.substr(head_end + 4);
    if (status == 200 && call.kind == CallKind::kStream) {
      CheckStream(call, body);
      call.was_served = body.ends_with(kLastChunk);
    } else if (status == 200) {
      call.was_served = body == "ran:" + call.id;
      if (!call.was_served &&
          ("ran:" + call.id).compare(0, body.size(), body) != 0) {
        Violate(call, "an answer is not its own: " + body);
      }
    }
    call.was_refused_as_not_run = status == 503 || status == 429;
    if (status == 200 && call.key == kRevokedKey && revoked_at_ &&
        call.sent_at > *revoked_at_ + kInForce) {
      Violate(call, "served with a key that was taken away");
    }
  }
  if (call.kind == CallKind::kOnce && runs_[call.id].count > 1) {
    Violate(call, "ran more than once");
  }
  served_ += call.was_served ? 1 : 0;
  if (call.sent_at >= calm_at_ && call.key == kKey) {
    ++calm_calls_;
    calm_served_ += call.was_served ? 1 : 0;
  }
  if (call.was_refused_as_not_run && call.kind == CallKind::kOnce) {
    refused_.push_back(std::move(call));
  }
}

void Soak::Undo(Duration after, std::function<void()> undo) {
  undo_.emplace_back(Now() + after, std::move(undo));
}

void Soak::Disturb() {
  RouterProcess& router = *routers_[random_() % routers_.size()];
  Proxy& proxy = *proxies_[random_() % proxies_.size()];
  const Duration length = milliseconds(300 + random_() % 2500);
  const auto harm = [&](const char* name, ProxyFault fault) {
    ++faults_[name];
    proxy.SetFault(fault);
    Undo(length, [&proxy] { proxy.SetFault(ProxyFault::kNone); });
  };
  switch (random_() % 11) {
    case 0:
      harm("delay", ProxyFault::kDelay);
      break;
    case 1:
      harm("reset", ProxyFault::kReset);
      break;
    case 2:
      harm("cut_one_way", ProxyFault::kCutOneWay);
      break;
    case 3:
      harm("silence", ProxyFault::kSilence);
      break;
    case 4:
      ++faults_["kill"];
      router.Kill();
      Undo(milliseconds(200), [&router] {
        if (router.HasEnded()) {
          router.Start();
        }
      });
      break;
    case 5:
      ++faults_["pause"];
      router.Signal(SIGSTOP);
      Undo(length, [&router] { router.Signal(SIGCONT); });
      break;
    case 6:
      ++faults_["stop"];
      router.Stop(Now());
      break;
    case 7:
      ++faults_["hup"];
      router.Signal(SIGHUP);
      break;
    case 8:
      ++faults_["store_down"];
      store_.SetDown(true);
      Undo(length, [this] { store_.SetDown(false); });
      break;
    case 9:
      ++faults_["configuration"];
      PublishConfiguration(!revoked_at_);
      break;
    default: {
      ++faults_["leaving_target"];
      const int target = static_cast<int>(random_() % kTargets);
      if (leaving_.size() + 2 < kTargets) {
        leaving_.insert(target);
        Undo(length, [this, target] { leaving_.erase(target); });
      }
    }
  }
}

std::vector<std::string> Soak::Run(Duration length) {
  PublishConfiguration(true);
  PublishTargets();
  for (const auto& it : routers_) {
    it->Start();
  }
  const TimePoint began = Now();
  const TimePoint ends = began + length;
  const TimePoint faults_begin = began + seconds(3);
  const TimePoint faults_end = ends - kCalm;
  TimePoint next_call = began + seconds(2);
  TimePoint next_fault = faults_begin;
  TimePoint next_list = began;
  while (Now() < ends || open_ > 0) {
    loop_.run_for(milliseconds(4));
    loop_.restart();
    const TimePoint now = Now();
    for (; now >= next_call && now < ends;
         next_call += Duration(1'000'000 / per_second_)) {
      SendCall();
    }
    if (now >= next_fault && now < faults_end) {
      Disturb();
      next_fault = now + milliseconds(100 + random_() % 900);
    }
    if (now >= next_list) {
      next_list = now + milliseconds(600);
      PublishTargets();
      store_.Tick(now);
      for (const auto& it : targets_) {
        it->Tick(now);
      }
    }
    if (!revoked_at_ && now - began > length / 2) {
      PublishConfiguration(false);
      store_.SetDown(false);
      revoked_at_ = now;
    }
    for (std::size_t i = 0; i < undo_.size();) {
      if (now >= undo_[i].first || now >= faults_end) {
        const std::function<void()> undo = std::move(undo_[i].second);
        undo_.erase(undo_.begin() + static_cast<std::ptrdiff_t>(i));
        undo();
      } else {
        ++i;
      }
    }
    for (const auto& it : routers_) {
      if (it->HasOverstayed(now)) {
        violations_.push_back("router " + it->address() +
                              " was still there at the end of its grace");
      }
      // The platform starts what ended.
      if (it->HasEnded() && undo_.empty()) {
        it->Start();
      }
    }
    if (now >= faults_end + kCalm / 2 && calm_at_ == TimePoint::max()) {
      calm_at_ = now;
    }
  }
  for (const Call& it : refused_) {
    if (runs_[it.id].count > 0) {
      Violate(it, "was refused as not run, and ran");
    }
  }
  if (calm_served_ < kServedAfterFaults * calm_calls_ || calm_calls_ == 0) {
    violations_.push_back("after the faults " + std::to_string(calm_served_) +
                          " of " + std::to_string(calm_calls_) +
                          " requests were served");
  }
  return violations_;
}

std::string Soak::Summary() const {
  std::string text = std::to_string(calls_) + " requests, " +
                     std::to_string(served_) + " served, " +
                     std::to_string(refused_.size()) +
                     " non-idempotent ones refused as not run; faults:";
  for (const auto& [name, count] : faults_) {
    text += " " + name + " " + std::to_string(count);
  }
  return text;
}

int Main(const po::variables_map& values) {
  const auto seed = values["seed"].as<std::uint64_t>();
  const std::string folder = values["folder"].as<std::string>();
  Network() = values["network"].as<int>();
  std::cout << "seed " << seed << std::endl;
  Soak soak(values["router"].as<std::string>(), folder, seed,
            values["routers"].as<int>(), values["rate"].as<int>());
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
  namespace in = corianderpost::internal;
  namespace po = corianderpost::soak::po;
  in::ProgramDescription program{
      "corianderpost-soak",
      "runs router processes under faults and checks what callers get",
      po::options_description("options"),
      {}};
  program.options.add_options()(
      "seed", po::value<std::uint64_t>()->default_value(1), "random seed")(
      "seconds", po::value<int>()->default_value(30), "length of the run")(
      "routers", po::value<int>()->default_value(4), "router processes")(
      "rate", po::value<int>()->default_value(100), "requests a second")(
      "network", po::value<int>()->default_value(0),
      "third part of the loopback addresses, 0 to 255")(
      "router", po::value<std::string>()->required(), "router program")(
      "folder", po::value<std::string>()->default_value("/tmp"),
      "where settings and logs go");
  return in::RunProgram(argc, argv, program, corianderpost::soak::Main);
}
