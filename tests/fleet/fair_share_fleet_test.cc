// Plays load against router processes that each have a fraction of a processor,
// and checks what the callers of each customer get, second by second, over all
// routers.
#include <doctest/doctest.h>
#include <signal.h>
#include <sys/resource.h>

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <filesystem>
#include <functional>
#include <random>
#include <thread>

#include "platform/platform_deployment.h"
#include "platform/standin_wire.h"
#include "soak/router_process.h"
#include "soak/standins.h"

namespace corianderpost::soak {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kHost[] = "fleet.example";
constexpr char kService[] = "assistant";
constexpr int kTargetCount = 4;
// A router runs for `kRunTime` of every `kThrottlePeriod`.
constexpr auto kThrottlePeriod = milliseconds(10);
constexpr auto kRunTime = milliseconds(1);
constexpr Duration kCallerDeadline = seconds(4);
// Latency goal of the stand-in configuration's routes.
constexpr Duration kLatencyGoal = milliseconds(500);
constexpr Duration kConnectTimeout = seconds(1);
constexpr Duration kReadinessInterval = seconds(1);
// Failed readiness checks after which a router gets no new connections.
constexpr int kMaxReadinessMisses = 2;
// Seconds over which a customer must not fall behind. The requirement: in six
// seconds, each of them with a request that is rejected or late, a customer
// gets at least half of what it asked or of what the best served customer got,
// whichever is less, taken second by second.
constexpr std::size_t kFairnessWindow = 6;
constexpr double kMinFairShare = 0.5;

// Requests per second of one customer, whose callers all connect to one router
// or, if `router` is -1, to all routers.
struct CustomerLoad {
  std::string name;
  double requests_per_second = 0;
  int router = -1;
};

// What the callers of one customer got in one second.
struct CustomerSecond {
  int asked = 0;
  int served = 0;
  // A request was rejected, failed or missed its latency goal.
  bool has_unmet_request = false;
};
using CustomerSeconds = std::vector<CustomerSecond>;

// Pauses processes so that each has a fraction of a processor.
class ProcessorThrottle {
 public:
  explicit ProcessorThrottle(std::vector<pid_t> pids)
      : pids_(std::move(pids)), thread_([this] { Run(); }) {}
  ~ProcessorThrottle() {
    is_stopped_ = true;
    thread_.join();
  }
  ProcessorThrottle(const ProcessorThrottle&) = delete;
  ProcessorThrottle& operator=(const ProcessorThrottle&) = delete;

 private:
  void SignalAll(int signal) {
    for (const pid_t it : pids_) {
      kill(it, signal);
    }
  }
  void Run() {
    while (!is_stopped_) {
      SignalAll(SIGCONT);
      std::this_thread::sleep_for(kRunTime);
      SignalAll(SIGSTOP);
      std::this_thread::sleep_for(kThrottlePeriod - kRunTime);
    }
    SignalAll(SIGCONT);
  }
  const std::vector<pid_t> pids_;
  std::atomic<bool> is_stopped_{false};
  std::thread thread_;
};

// A fleet with its stand-ins, load balancer and callers. Not thread-safe.
class Fleet {
 public:
  Fleet(int network, int routers, std::vector<CustomerLoad> loads,
        double tokens_per_second, std::uint64_t seed);
  // Plays the load and returns, for each customer, what its callers got in each
  // second.
  std::vector<CustomerSeconds> Run(int duration_seconds);

 private:
  // One request of a caller, which connects anew for each attempt.
  struct Call {
    explicit Call(asio::io_context& loop) : socket(loop), timer(loop) {}
    tcp::socket socket;
    asio::steady_timer timer;
    std::array<char, 4096> buffer{};
    std::size_t customer = 0;
    std::size_t router = 0;
    TimePoint began_at;
    int attempt = 0;
    std::string request;
    std::string response;
  };
  void Publish();
  void CheckReadiness();
  // Returns the router that a caller of `router` connects to: the next one in
  // rotation from `router` on.
  std::size_t Balance(std::size_t router) const;
  void SendCall(std::size_t customer);
  void Attempt(const std::shared_ptr<Call>& call);
  void Read(const std::shared_ptr<Call>& call);
  void EndAttempt(const std::shared_ptr<Call>& call);
  void RetryAfter(const std::shared_ptr<Call>& call, Duration delay);
  CustomerSecond& SecondOf(std::size_t customer, TimePoint time);

  const LoopbackNetwork network_;
  const std::vector<CustomerLoad> loads_;
  const double tokens_per_second_;
  asio::io_context loop_;
  SystemClock clock_;
  platform::PlatformDeployment deployment_;
  std::mt19937_64 random_;
  Store store_;
  ExecutionsById executions_;
  std::vector<std::unique_ptr<Target>> targets_;
  std::vector<std::unique_ptr<RouterProcess>> routers_;
  std::vector<int> readiness_misses_;
  std::vector<CustomerSeconds> seconds_;
  TimePoint start_;
  std::uint64_t call_count_ = 0;
  int open_calls_ = 0;
};

std::string FolderOfNetwork(int network) {
  const auto folder = std::filesystem::temp_directory_path() /
                      ("corianderpost-fleet-" + std::to_string(network));
  std::filesystem::remove_all(folder);
  std::filesystem::create_directories(folder);
  return folder.string();
}

Fleet::Fleet(int network, int routers, std::vector<CustomerLoad> loads,
             double tokens_per_second, std::uint64_t seed)
    : network_{network},
      loads_(std::move(loads)),
      tokens_per_second_(tokens_per_second),
      random_(seed),
      store_(loop_, network_.Address(1, kStorePort), deployment_, clock_),
      readiness_misses_(static_cast<std::size_t>(routers), 0),
      seconds_(loads_.size()) {
  rlimit descriptors{};
  getrlimit(RLIMIT_NOFILE, &descriptors);
  descriptors.rlim_cur = descriptors.rlim_max;
  setrlimit(RLIMIT_NOFILE, &descriptors);
  for (int i = 0; i < kTargetCount; ++i) {
    targets_.push_back(
        std::make_unique<Target>(loop_, network_.Address(1, kTargetPort + i),
                                 deployment_, clock_, executions_));
  }
  const std::string folder = FolderOfNetwork(network);
  for (int i = 0; i < routers; ++i) {
    routers_.push_back(std::make_unique<RouterProcess>(
        network_, CORIANDERPOST_ROUTER_PROGRAM, folder, i));
  }
}

void Fleet::Publish() {
  std::vector<std::string> keys;
  keys.reserve(loads_.size());
  for (const CustomerLoad& it : loads_) {
    keys.push_back(it.name);
  }
  store_.Put(platform::StandinConfigurationKey(),
             platform::FormatStandinConfiguration(1, kHost, kService, keys,
                                                  tokens_per_second_));
  for (int i = 0; i < kTargetCount; ++i) {
    TargetEntry entry;
    entry.id = "t" + std::to_string(i);
    entry.service = kService;
    entry.address = network_.Address(1, kTargetPort + i);
    entry.zone = "a";
    entry.slots = 128;
    entry.incarnation = 1;
    store_.Put(platform::StandinEntryKey(entry.id),
               platform::FormatStandinEntry(entry, 1));
  }
}

void Fleet::CheckReadiness() {
  for (std::size_t i = 0; i < routers_.size(); ++i) {
    auto call = std::make_shared<Call>(loop_);
    // Counts as missed until the response arrives.
    ++readiness_misses_[i];
    call->socket.async_connect(
        *ParseEndpoint(routers_[i]->readiness_address()),
        [this, call, i](boost::system::error_code ec) {
          if (ec) {
            return;
          }
          call->request =
              "GET /ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n";
          asio::async_write(call->socket, asio::buffer(call->request),
                            [](boost::system::error_code, std::size_t) {});
          call->socket.async_read_some(
              asio::buffer(call->buffer),
              [this, call, i](boost::system::error_code, std::size_t n) {
                const std::string_view head(call->buffer.data(), n);
                if (head.starts_with("HTTP/1.1 200")) {
                  readiness_misses_[i] = 0;
                }
              });
        });
  }
}

std::size_t Fleet::Balance(std::size_t router) const {
  for (std::size_t i = 0; i < routers_.size(); ++i) {
    const std::size_t candidate = (router + i) % routers_.size();
    if (readiness_misses_[candidate] <= kMaxReadinessMisses) {
      return candidate;
    }
  }
  return router;
}

CustomerSecond& Fleet::SecondOf(std::size_t customer, TimePoint time) {
  const auto index = static_cast<std::size_t>((time - start_) / seconds(1));
  CustomerSeconds& list = seconds_[customer];
  if (list.size() <= index) {
    list.resize(index + 1);
  }
  return list[index];
}

void Fleet::SendCall(std::size_t customer) {
  auto call = std::make_shared<Call>(loop_);
  call->customer = customer;
  call->router = loads_[customer].router >= 0
                     ? static_cast<std::size_t>(loads_[customer].router)
                     : random_() % routers_.size();
  call->began_at = clock_.Now();
  ++open_calls_;
  ++SecondOf(customer, call->began_at).asked;
  Attempt(call);
}

void Fleet::Attempt(const std::shared_ptr<Call>& call) {
  const Duration remaining = kCallerDeadline - (clock_.Now() - call->began_at);
  ++call->attempt;
  call->response.clear();
  call->request = platform::FormatStandinRequest(
      {"GET", "/read/x", kHost, "c" + std::to_string(++call_count_),
       loads_[call->customer].name, remaining, 1000, 0});
  call->socket = tcp::socket(loop_);
  call->timer.expires_after(std::min(remaining, kConnectTimeout));
  const auto close_at_timeout = [call](boost::system::error_code ec) {
    if (!ec) {
      boost::system::error_code ignored;
      call->socket.close(ignored);
    }
  };
  call->timer.async_wait(close_at_timeout);
  call->socket.async_connect(
      *ParseEndpoint(routers_[Balance(call->router)]->address()),
      [this, call, remaining, close_at_timeout](boost::system::error_code ec) {
        if (ec) {
          EndAttempt(call);
          return;
        }
        call->timer.expires_after(remaining);
        call->timer.async_wait(close_at_timeout);
        asio::async_write(call->socket, asio::buffer(call->request),
                          [call](boost::system::error_code, std::size_t) {});
        Read(call);
      });
}

void Fleet::Read(const std::shared_ptr<Call>& call) {
  call->socket.async_read_some(
      asio::buffer(call->buffer),
      [this, call](boost::system::error_code ec, std::size_t n) {
        call->response.append(call->buffer.data(), n);
        if (ec) {
          EndAttempt(call);
        } else {
          Read(call);
        }
      });
}

void Fleet::EndAttempt(const std::shared_ptr<Call>& call) {
  call->timer.cancel();
  const TimePoint now = clock_.Now();
  const bool is_served = call->response.starts_with("HTTP/1.1 200") &&
                         call->response.find("ran:") != std::string::npos;
  if (is_served) {
    ++SecondOf(call->customer, now).served;
  }
  if (!is_served || now - call->began_at > kLatencyGoal) {
    SecondOf(call->customer, call->began_at).has_unmet_request = true;
  }
  if (is_served || call->attempt > 1) {
    --open_calls_;
    return;
  }
  Duration delay{0};
  constexpr std::string_view kRetryAfter = "Retry-After: ";
  if (const std::size_t pos = call->response.find(kRetryAfter);
      pos != std::string::npos) {
    delay = Duration(static_cast<std::int64_t>(
        1e6 * std::stod(call->response.substr(pos + kRetryAfter.size()))));
  }
  RetryAfter(call, delay);
}

void Fleet::RetryAfter(const std::shared_ptr<Call>& call, Duration delay) {
  call->timer.expires_after(delay);
  call->timer.async_wait([this, call](boost::system::error_code ec) {
    if (ec || clock_.Now() - call->began_at >= kCallerDeadline) {
      --open_calls_;
      return;
    }
    // A retry reaches another router.
    call->router = (call->router + 1 + random_() % (routers_.size() - 1)) %
                   routers_.size();
    Attempt(call);
  });
}

std::vector<CustomerSeconds> Fleet::Run(int duration_seconds) {
  Publish();
  std::vector<pid_t> pids;
  for (const auto& it : routers_) {
    it->Start();
    pids.push_back(it->pid());
  }
  // Time for the routers to start and to find each other.
  loop_.run_for(seconds(3));
  loop_.restart();
  ProcessorThrottle throttle(pids);
  start_ = clock_.Now();
  const TimePoint end = start_ + seconds(duration_seconds);
  std::vector<TimePoint> next_calls(loads_.size(), start_);
  TimePoint next_check = start_;
  while (clock_.Now() < end || open_calls_ > 0) {
    loop_.run_for(milliseconds(2));
    loop_.restart();
    const TimePoint now = clock_.Now();
    for (std::size_t i = 0; i < loads_.size(); ++i) {
      std::exponential_distribution<double> gap(loads_[i].requests_per_second);
      while (now >= next_calls[i] && next_calls[i] < end) {
        SendCall(i);
        next_calls[i] +=
            Duration(static_cast<std::int64_t>(1e6 * gap(random_)));
      }
    }
    if (now >= next_check) {
      next_check = now + kReadinessInterval;
      CheckReadiness();
      store_.Tick(now);
      for (const auto& it : targets_) {
        it->Tick(now);
      }
    }
  }
  for (CustomerSeconds& it : seconds_) {
    it.resize(static_cast<std::size_t>(duration_seconds));
  }
  return seconds_;
}

// Returns whether customer `customer` fell behind in the window that starts at
// second `first`, by the requirement stated at `kFairnessWindow`.
bool IsUnfair(const std::vector<CustomerSeconds>& results, std::size_t customer,
              std::size_t first) {
  double served = 0;
  double owed = 0;
  for (std::size_t i = first; i < first + kFairnessWindow; ++i) {
    const CustomerSecond& second = results[customer][i];
    if (!second.has_unmet_request) {
      return false;
    }
    int most_served = 0;
    for (const CustomerSeconds& it : results) {
      most_served = std::max(most_served, it[i].served);
    }
    served += second.served;
    owed += std::min(second.asked, most_served);
  }
  return served < kMinFairShare * owed;
}

void CheckFairness(const std::vector<CustomerLoad>& loads,
                   const std::vector<CustomerSeconds>& results) {
  for (std::size_t customer = 0; customer < loads.size(); ++customer) {
    std::string text = loads[customer].name + ", served/asked by second:";
    for (const CustomerSecond& it : results[customer]) {
      text += " " + std::to_string(it.served) + "/" + std::to_string(it.asked);
    }
    INFO(text);
    const std::size_t windows = results[customer].size() - kFairnessWindow + 1;
    for (std::size_t first = 0; first < windows; ++first) {
      INFO("six seconds from second ", first);
      CHECK_FALSE(IsUnfair(results, customer, first));
    }
  }
}

TEST_CASE("Callers of a flooded router get their customers' shares") {
  const std::uint64_t seed = 1;
  INFO("seed ", seed);
  const std::vector<CustomerLoad> loads = {{"large", 2000, 0},
                                           {"small", 40, 0},
                                           {"elsewhere", 100, 1},
                                           {"everywhere", 100, -1}};
  Fleet fleet(201, 4, loads, 4e6, seed);
  CheckFairness(loads, fleet.Run(12));
}

TEST_CASE("A flood at all routers leaves the other customers their shares") {
  const std::uint64_t seed = 2;
  INFO("seed ", seed);
  const std::vector<CustomerLoad> loads = {
      {"large", 3000, -1}, {"small", 40, -1}, {"other", 100, 0}};
  Fleet fleet(202, 2, loads, 4e6, seed);
  CheckFairness(loads, fleet.Run(12));
}

}  // namespace
}  // namespace corianderpost::soak
