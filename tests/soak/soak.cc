#include "soak/soak.h"

#include <absl/strings/str_cat.h>

#include <boost/asio/write.hpp>

#include "platform/standin_wire.h"

namespace corianderpost::soak {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kHost[] = "soak.example";
constexpr char kService[] = "assistant";
constexpr Duration kCallTimeout = seconds(6);
// Period without faults at the end of the run. Requests sent in its second half
// count for the ratio that must be served again.
constexpr Duration kRecoveryPeriod = seconds(8);
constexpr std::size_t kKeptCallersPerRouter = 4;

std::string FormatRequest(const Call& call, bool keeps_connection) {
  constexpr const char* kPaths[] = {"/once/x", "/read/x", "/stream/x"};
  platform::StandinRequest request = {
      call.kind == CallKind::kIdempotent ? "GET" : "POST",
      kPaths[static_cast<int>(call.kind)],
      kHost,
      call.id,
      call.api_key,
      kCallTimeout};
  request.keeps_connection = keeps_connection;
  return platform::FormatStandinRequest(request);
}

}  // namespace

Soak::Soak(const LoopbackNetwork& network, const std::string& program,
           const std::string& folder, std::uint64_t seed, int routers,
           int calls_per_second)
    : network_(network),
      random_(seed),
      calls_per_second_(calls_per_second),
      store_(loop_, network_.Address(1, kStorePort), deployment_, clock_) {
  for (int i = 0; i < kTargetCount; ++i) {
    targets_.push_back(
        std::make_unique<Target>(loop_, network_.Address(1, kTargetPort + i),
                                 deployment_, clock_, executions_));
    proxies_.push_back(
        std::make_unique<Proxy>(loop_, network_.Address(1, kProxyPort + i),
                                network_.Address(1, kTargetPort + i)));
  }
  for (int i = 0; i < routers; ++i) {
    routers_.push_back(
        std::make_unique<RouterProcess>(network_, program, folder, i));
  }
  restarts_.resize(routers_.size());
  signals_after_start_.resize(routers_.size());
}

std::optional<std::size_t> Soak::TargetIndex(const std::string& address) const {
  for (int i = 0; i < kTargetCount; ++i) {
    if (address == network_.Address(1, kTargetPort + i)) {
      return static_cast<std::size_t>(i);
    }
  }
  return std::nullopt;
}

void Soak::PublishConfiguration(bool includes_revoked_key) {
  std::vector<std::string> keys = {kValidApiKey};
  if (includes_revoked_key) {
    keys.emplace_back(kRevokedApiKey);
  }
  store_.Put(platform::StandinConfigurationKey(),
             platform::FormatStandinConfiguration(++configuration_version_,
                                                  kHost, kService, keys));
}

void Soak::PublishTargets() {
  ++target_list_sequence_;
  for (int i = 0; i < kTargetCount; ++i) {
    TargetEntry entry;
    entry.id = "t" + std::to_string(i);
    entry.service = kService;
    entry.address = network_.Address(1, kProxyPort + i);
    entry.zone = "a";
    entry.version = "v1";
    entry.slots = 64;
    entry.is_draining = draining_targets_.contains(i);
    const Subject subject = {Subject::Kind::kLeaving,
                             static_cast<std::size_t>(i)};
    if (entry.is_draining) {
      impairments_.Begin(subject, Now());
    } else {
      impairments_.End(subject, Now());
    }
    entry.incarnation = 1;
    store_.Put(platform::StandinEntryKey(entry.id),
               platform::FormatStandinEntry(entry, target_list_sequence_));
  }
}

Call Soak::MakeCall(std::size_t router) {
  Call call;
  call.id = "c" + std::to_string(++call_count_);
  call.kind = static_cast<CallKind>(random_() % 3);
  call.api_key = random_() % 8 == 0 ? kRevokedApiKey : kValidApiKey;
  call.router = router;
  call.sent_at = Now();
  return call;
}

void Soak::StartKeptCallers() {
  // Kept callers send as many requests as the others.
  const Duration max_pause = 2 * Duration(seconds(1)) *
                             (routers_.size() * kKeptCallersPerRouter) /
                             calls_per_second_;
  for (std::size_t i = 0; i < routers_.size(); ++i) {
    KeptCaller::Callbacks callbacks;
    callbacks.make_call = [this, i] {
      Call call = MakeCall(i);
      call.request = FormatRequest(call, true);
      ++open_calls_;
      return call;
    };
    callbacks.on_finished = [this](Call call) {
      --open_calls_;
      FinishCall(std::move(call));
    };
    callbacks.on_stray_bytes = [this, i](const std::string& bytes) {
      violations_.push_back("router " + routers_[i]->address() +
                            " sent bytes that belong to no request: " + bytes);
    };
    callbacks.draw_pause = [this, max_pause] {
      return Duration(static_cast<Duration::rep>(
          random_() % static_cast<std::uint64_t>(max_pause.count())));
    };
    for (std::size_t n = 0; n < kKeptCallersPerRouter; ++n) {
      kept_callers_.push_back(std::make_shared<KeptCaller>(
          loop_, clock_, routers_[i]->address(), kCallTimeout, callbacks));
    }
  }
}

void Soak::SendCall() {
  Call call = MakeCall(random_() % routers_.size());
  const std::string request = FormatRequest(call, false);
  const std::string address = routers_[call.router]->address();
  ++open_calls_;

  struct Exchange {
    explicit Exchange(asio::io_context& loop) : socket(loop), timer(loop) {}
    tcp::socket socket;
    asio::steady_timer timer;
    std::array<char, 8192> buffer{};
    std::string request;
    Call call;
  };
  auto exchange = std::make_shared<Exchange>(loop_);
  exchange->request = request;
  exchange->call = std::move(call);
  const auto finish = [this, exchange](CallEnd end) {
    exchange->timer.cancel();
    --open_calls_;
    exchange->call.end = end;
    exchange->call.ended_at = Now();
    FinishCall(std::move(exchange->call));
  };
  auto read = std::make_shared<std::function<void()>>();
  *read = [exchange, finish, read] {
    exchange->socket.async_read_some(
        asio::buffer(exchange->buffer),
        [exchange, finish, read](boost::system::error_code ec, std::size_t n) {
          exchange->call.response.append(exchange->buffer.data(), n);
          if (ec) {
            finish(ec == asio::error::eof                 ? CallEnd::kClosed
                   : ec == asio::error::operation_aborted ? CallEnd::kTimedOut
                                                          : CallEnd::kReset);
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
      [this, exchange, finish, read](boost::system::error_code ec) {
        if (ec) {
          finish(CallEnd::kNotConnected);
          *read = nullptr;
          return;
        }
        exchange->call.sent_at = Now();
        asio::async_write(exchange->socket, asio::buffer(exchange->request),
                          [](boost::system::error_code, std::size_t) {});
        (*read)();
      });
}

std::vector<std::string> Soak::Run(Duration duration) {
  PublishConfiguration(true);
  PublishTargets();
  for (std::size_t i = 0; i < routers_.size(); ++i) {
    StartRouter(i);
  }
  StartKeptCallers();
  start_ = Now();
  const TimePoint start = start_;
  const TimePoint end = start + duration;
  // The routers get 2 s to start before the first call, and 3 s before the
  // first fault.
  const TimePoint faults_start = start + seconds(3);
  const TimePoint faults_end = end - kRecoveryPeriod;
  // Planned work only until then.
  const TimePoint planned_end = faults_start + (faults_end - faults_start) / 2;
  TimePoint next_call = start + seconds(2);
  TimePoint next_fault = faults_start;
  TimePoint next_target_list = start;
  while (Now() < end || open_calls_ > 0) {
    loop_.run_for(milliseconds(4));
    loop_.restart();
    const TimePoint now = Now();
    for (; now >= next_call && now < end;
         next_call += Duration(1'000'000 / calls_per_second_)) {
      SendCall();
    }
    if (now >= start + seconds(2)) {
      for (const auto& it : kept_callers_) {
        if (now >= end) {
          it->Stop();
        }
        it->Tick(now);
      }
    }
    if (now >= next_fault && now < faults_end) {
      // In the second half, the kinds are drawn as often as they are many.
      if (now < planned_end || random_() % 11 < 4) {
        InjectPlannedWork();
      } else {
        InjectFault();
      }
      next_fault =
          now + (now < planned_end ? milliseconds(50 + random_() % 450)
                                   : milliseconds(100 + random_() % 500));
    }
    if (now >= next_target_list) {
      // Targets write their entries again at regular intervals.
      next_target_list = now + milliseconds(600);
      PublishTargets();
      store_.Tick(now);
      for (const auto& it : targets_) {
        it->Tick(now);
      }
    }
    if (!revoked_at_ && now - start > duration / 2) {
      revoked_at_ = now;
      ChangeConfiguration();
      // Ends an outage, so that routers can read the revocation.
      store_.SetDown(false);
      impairments_.End({Subject::Kind::kStore}, now);
    }
    RunUndos(now, now >= faults_end);
    if (now >= faults_end) {
      signals_after_start_.assign(routers_.size(), {});
    }
    RestartExitedRouters(now);
    if (now >= faults_end + kRecoveryPeriod / 2 &&
        recovery_check_start_ == TimePoint::max()) {
      recovery_check_start_ = now;
    }
  }
  CheckWholeRun();
  return violations_;
}

std::string Soak::Summary() const {
  const auto list = [](const auto& counts) {
    std::string text;
    for (const auto& [name, count] : counts) {
      text += absl::StrCat(" ", name, " ", count);
    }
    return text;
  };
  return absl::StrCat(
      call_count_, " requests, ", served_calls_, " served, ",
      rejected_calls_.size(),
      " non-idempotent requests rejected; responses:", list(response_counts_),
      "; lost: ", planned_losses_, " in planned work, ",
      unplanned_losses_.size(), " at other times, ", excused_losses_,
      " beside faults; crossed a close: ", crossed_calls_,
      "; faults:", list(fault_counts_));
}

}  // namespace corianderpost::soak
