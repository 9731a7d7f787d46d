#include "fleet/engine_fleet.h"

#include <signal.h>

#include <algorithm>
#include <boost/asio/write.hpp>
#include <filesystem>

#include "dataplane/event_splitter.h"
#include "platform/standin_wire.h"

namespace corianderpost::soak {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kHost[] = "fleet.example";
constexpr char kService[] = "assistant";
constexpr double kTokensPerSecond = 4e6;
constexpr int kEvents = 4;
// Time from the arrival of a request to the start of its answer.
constexpr auto kStartDelay = milliseconds(60);
constexpr Duration kDownTime = milliseconds(1500);
constexpr Duration kCallerTimeout = seconds(4);
// Interval of the loop that plays a fleet.
constexpr auto kStepInterval = milliseconds(2);
// Throttled routers run once in each slice. A slice is shorter than the lag of
// the event loop that a router takes for overload.
constexpr Duration kSlice = milliseconds(32);
constexpr Duration kHousekeepingInterval = milliseconds(200);

template <typename Callback>
void RunAfter(asio::io_context& loop, milliseconds delay, Callback callback) {
  auto timer = std::make_shared<asio::steady_timer>(loop, delay);
  timer->async_wait([timer, callback](boost::system::error_code ec) {
    if (!ec) {
      callback();
    }
  });
}

std::string FreshFolder(int network) {
  const auto folder = std::filesystem::temp_directory_path() /
                      ("corianderpost-engines-" + std::to_string(network));
  std::filesystem::remove_all(folder);
  std::filesystem::create_directories(folder);
  return folder.string();
}

}  // namespace

Engine::Engine(asio::io_context& loop, std::string address,
               const Deployment& deployment, const Clock& clock)
    : loop_(loop),
      address_(std::move(address)),
      deployment_(deployment),
      clock_(clock) {
  listener_.emplace(loop_, address_, *this, clock_);
}

void Engine::OnRequest(const std::shared_ptr<CallerConnection>& caller,
                       ReceivedRequest request) {
  const RequestMeta meta = deployment_.dialect().DecodeRequest(request.message);
  std::uint64_t crashing_part = 0;
  for (std::size_t i = 0; i + 1 < meta.prompt.size(); ++i) {
    if (crashing_parts.contains(meta.prompt[i].id)) {
      crashing_part = meta.prompt[i].id;
    }
  }
  arrivals_.push_back({clock_.Now(), meta.request_id, crashing_part});
  open_.push_back(caller);
  if (is_refusing) {
    caller->Write("HTTP/1.1 503 Service Unavailable\r\n" +
                  platform::FormatStandinSignature(meta.request_id) +
                  platform::FormatStandinNotExecuted() + refusal_headers +
                  "Content-Length: 0\r\n\r\n");
    caller->FinishResponse(false);
    return;
  }
  RunAfter(loop_, kStartDelay,
           [this, caller, meta, crashing_part, incarnation = incarnation_] {
             if (incarnation == incarnation_ && caller->is_open()) {
               Begin(caller, meta, crashing_part);
             }
           });
}

void Engine::Begin(const std::shared_ptr<CallerConnection>& caller,
                   const RequestMeta& meta, std::uint64_t crashing_part) {
  if (crashing_part != 0) {
    crashes_.push_back(clock_.Now());
    Crash();
    return;
  }
  caller->Write("HTTP/1.1 200 OK\r\n" +
                platform::FormatStandinSignature(meta.request_id) +
                extra_headers +
                "Content-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n\r\n");
  SendEventsFrom(
      caller,
      1 + static_cast<int>(ParseEventNumber(meta.last_event_id).value_or(0)));
}

void Engine::SendEventsFrom(const std::shared_ptr<CallerConnection>& caller,
                            int number) {
  if (!caller->is_open()) {
    return;
  }
  if (number > kEvents) {
    caller->Write(std::string(kLastChunk));
    caller->FinishResponse(false);
    return;
  }
  caller->Write(FormatChunk("id: " + std::to_string(number) + "\ndata: x\n\n"));
  RunAfter(loop_, event_interval,
           [this, caller, number] { SendEventsFrom(caller, number + 1); });
}

void Engine::Crash() {
  ++incarnation_;
  restart_at_ = clock_.Now() + kDownTime;
  for (const auto& it : open_) {
    if (const auto caller = it.lock(); caller && caller->is_open()) {
      caller->Abort();
    }
  }
  open_.clear();
  listener_->CloseIdle();
  // The listener may be running this call.
  asio::post(loop_, [this] { listener_.reset(); });
}

void Engine::Restart() { listener_.emplace(loop_, address_, *this, clock_); }

void Engine::Tick(TimePoint now) {
  if (!listener_ && now >= restart_at_) {
    Restart();
  }
  if (listener_) {
    listener_->Tick(now);
  }
  std::erase_if(open_, [](const auto& it) { return it.expired(); });
}

struct EngineFleet::OpenCall {
  explicit OpenCall(asio::io_context& loop) : socket(loop), timer(loop) {}
  std::shared_ptr<EngineCall> call;
  tcp::socket socket;
  asio::steady_timer timer;
  std::string request;
  std::array<char, 4096> buffer{};
};

EngineFleet::EngineFleet(int network, int routers, int engines,
                         const std::vector<std::string>& customers)
    : network_{network},
      customers_(customers),
      store_(loop_, network_.Address(1, kStorePort), deployment_, clock_),
      listed_incarnations_(static_cast<std::size_t>(engines), 0) {
  const std::string folder = FreshFolder(network);
  for (int i = 0; i < engines; ++i) {
    engines_.push_back(std::make_unique<Engine>(
        loop_, network_.Address(1, kTargetPort + i), deployment_, clock_));
  }
  for (int i = 0; i < routers; ++i) {
    routers_.push_back(
        std::make_unique<RouterProcess>(network_, CORIANDERPOST_ROUTER_PROGRAM,
                                        folder, i, i % 2 == 0 ? "a" : "b"));
  }
}

void EngineFleet::PublishAllEngines() {
  for (std::size_t i = 0; i < engines_.size(); ++i) {
    if (engines_[i]->is_running()) {
      PublishEngine(i, draining_engines_.contains(i));
    }
  }
}

void EngineFleet::PublishEngine(std::size_t index, bool is_draining) {
  if (is_draining) {
    draining_engines_.insert(index);
  }
  TargetEntry entry;
  entry.is_draining = is_draining;
  entry.id = "t" + std::to_string(index);
  entry.service = kService;
  entry.address = network_.Address(1, kTargetPort + static_cast<int>(index));
  entry.zone = index % 2 == 0 ? "a" : "b";
  entry.slots = 128;
  entry.incarnation = engines_[index]->incarnation();
  listed_incarnations_[index] = entry.incarnation;
  store_.Put(platform::StandinEntryKey(entry.id),
             platform::FormatStandinEntry(
                 entry, static_cast<std::uint64_t>(entry.incarnation)));
}

void EngineFleet::PublishConfiguration(std::uint64_t version,
                                       int added_routes) {
  store_.Put(
      platform::StandinConfigurationKey(),
      platform::FormatStandinConfiguration(version, kHost, kService, customers_,
                                           kTokensPerSecond, added_routes));
}

void EngineFleet::ApplyThrottle(TimePoint now) {
  is_stopped_.resize(routers_.size());
  for (std::size_t i = 0; i < routers_.size(); ++i) {
    // The routers' slices begin at different times.
    const Duration offset =
        kSlice * static_cast<int>(i) / static_cast<int>(routers_.size());
    const Duration position = (now.time_since_epoch() + offset) % kSlice;
    const bool is_stopped =
        run_fraction_ < 1 &&
        static_cast<double>(position.count()) >=
            run_fraction_ * static_cast<double>(kSlice.count());
    if (is_stopped != is_stopped_[i]) {
      routers_[i]->Signal(is_stopped ? SIGSTOP : SIGCONT);
      is_stopped_[i] = is_stopped;
    }
  }
}

void EngineFleet::Start() {
  PublishConfiguration(1, 0);
  for (const auto& it : routers_) {
    it->Start();
  }
  PlayFor(seconds(3));
}

void EngineFleet::PlayFor(Duration duration,
                          const std::function<void(TimePoint)>& on_step) {
  const TimePoint end = clock_.Now() + duration;
  TimePoint next_housekeeping;
  for (TimePoint now = clock_.Now(); now < end; now = clock_.Now()) {
    if (on_step) {
      on_step(now);
    }
    if (now >= next_housekeeping) {
      next_housekeeping = now + kHousekeepingInterval;
      store_.Tick(now);
      for (std::size_t i = 0; i < engines_.size(); ++i) {
        engines_[i]->Tick(now);
        if (engines_[i]->is_running() &&
            engines_[i]->incarnation() != listed_incarnations_[i]) {
          PublishEngine(i);
        }
      }
    }
    ApplyThrottle(now);
    loop_.run_for(kStepInterval);
    loop_.restart();
  }
}

std::shared_ptr<const EngineCall> EngineFleet::Send(
    std::size_t router, const std::string& customer,
    std::vector<PromptPart> prompt, const std::string& path) {
  auto open = std::make_shared<OpenCall>(loop_);
  open->call = std::make_shared<EngineCall>(
      EngineCall{clock_.Now(), {}, router, customer, std::move(prompt)});
  calls_.push_back(open->call);
  std::int64_t prompt_tokens = 0;
  for (const PromptPart& it : open->call->prompt) {
    prompt_tokens += it.tokens;
  }
  open->request = platform::FormatStandinRequest(
      {"GET", path + "x" + std::to_string(calls_.size()), kHost,
       "c" + std::to_string(calls_.size()), customer, kCallerTimeout,
       prompt_tokens, 20, open->call->prompt});
  Start(open, routers_[router]->address());
  return open->call;
}

std::shared_ptr<const EngineCall> EngineFleet::SendReadinessCheck(
    std::size_t router) {
  auto open = std::make_shared<OpenCall>(loop_);
  open->call =
      std::make_shared<EngineCall>(EngineCall{clock_.Now(), {}, router});
  open->request =
      "GET /ready HTTP/1.1\r\nHost: router\r\nConnection: close\r\n\r\n";
  Start(open, routers_[router]->readiness_address());
  return open->call;
}

void EngineFleet::Start(const std::shared_ptr<OpenCall>& open,
                        const std::string& address) {
  open->timer.expires_after(kCallerTimeout);
  open->timer.async_wait([open](boost::system::error_code ec) {
    if (!ec) {
      boost::system::error_code ignored;
      open->socket.close(ignored);
    }
  });
  open->socket.async_connect(
      *ParseEndpoint(address), [this, open](boost::system::error_code ec) {
        if (ec) {
          open->timer.cancel();
          return;
        }
        asio::async_write(open->socket, asio::buffer(open->request),
                          [open](boost::system::error_code, std::size_t) {});
        Read(open);
      });
}

void EngineFleet::Read(const std::shared_ptr<OpenCall>& open) {
  open->socket.async_read_some(
      asio::buffer(open->buffer),
      [this, open](boost::system::error_code ec, std::size_t n) {
        open->call->response.append(open->buffer.data(), n);
        if (n > 0) {
          open->call->answered_at = clock_.Now();
        }
        if (ec) {
          open->timer.cancel();
        } else {
          Read(open);
        }
      });
}

std::size_t EngineFleet::RouterOf(const Arrival& arrival) const {
  // The id is "c" and the number of the call.
  return calls_.at(std::stoul(arrival.request_id.substr(1)) - 1)->router;
}

std::vector<TimePoint> EngineFleet::Crashes() const {
  std::vector<TimePoint> crashes;
  for (const auto& it : engines_) {
    crashes.insert(crashes.end(), it->crashes().begin(), it->crashes().end());
  }
  std::sort(crashes.begin(), crashes.end());
  return crashes;
}

}  // namespace corianderpost::soak
