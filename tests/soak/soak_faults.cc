#include <signal.h>

#include "soak/soak.h"

namespace corianderpost::soak {
namespace {

using std::chrono::milliseconds;

// The platform starts an ended process again after this time.
constexpr auto kRestartDelay = milliseconds(200);

}  // namespace

void Soak::ScheduleUndo(const std::string& fault, Duration delay,
                        std::function<void()> undo) {
  auto& pending = pending_undos_[fault];
  pending = {std::max(pending.first, Now() + delay), std::move(undo)};
}

void Soak::RunUndos(TimePoint now, bool runs_all) {
  for (auto it = pending_undos_.begin(); it != pending_undos_.end();) {
    if (now >= it->second.first || runs_all) {
      const std::function<void()> undo = std::move(it->second.second);
      it = pending_undos_.erase(it);
      undo();
    } else {
      ++it;
    }
  }
}

void Soak::StartRouter(std::size_t router) {
  const TimePoint now = Now();
  impairments_.End({Subject::Kind::kStopped, router}, now);
  impairments_.End({Subject::Kind::kRouter, router}, now);
  routers_[router]->Start();
  for (const auto& [delay, signal] : signals_after_start_[router]) {
    ScheduleUndo(
        "signal " + std::to_string(signal) + " " + std::to_string(router),
        delay, [this, router, signal = signal] {
          if (signal == SIGTERM) {
            Stop(router);
          } else {
            Reload(router);
          }
        });
  }
  signals_after_start_[router].clear();
}

void Soak::RestartExitedRouters(TimePoint now) {
  for (std::size_t i = 0; i < routers_.size(); ++i) {
    if (routers_[i]->HasExceededGracePeriod(now)) {
      violations_.push_back("router " + routers_[i]->address() +
                            " was still running after its grace period");
    }
    if (!routers_[i]->HasExited()) {
      continue;
    }
    if (!restarts_[i]) {
      restarts_[i] = now + kRestartDelay;
    } else if (now >= *restarts_[i]) {
      restarts_[i].reset();
      StartRouter(i);
    }
  }
}

void Soak::Stop(std::size_t router) {
  impairments_.Begin({Subject::Kind::kStopped, router}, Now());
  routers_[router]->Stop(Now());
}

void Soak::Reload(std::size_t router) {
  impairments_.Note({Subject::Kind::kReload, router}, Now());
  routers_[router]->Signal(SIGHUP);
}

void Soak::ChangeConfiguration() {
  impairments_.Note({Subject::Kind::kConfiguration}, Now());
  PublishConfiguration(!revoked_at_);
}

void Soak::LetTargetLeave(Duration duration) {
  const int target = static_cast<int>(random_() % kTargetCount);
  // At most half of the targets drain at a time.
  if (draining_targets_.size() + 2 < kTargetCount) {
    draining_targets_.insert(target);
    ScheduleUndo("leaving " + std::to_string(target), duration,
                 [this, target] { draining_targets_.erase(target); });
  }
}

void Soak::InjectPlannedWork() {
  const std::size_t router = random_() % routers_.size();
  switch (random_() % 5) {
    case 0:
      ++fault_counts_["stop"];
      Stop(router);
      break;
    case 1: {
      ++fault_counts_["stop_series"];
      const Duration reload_after = milliseconds(random_() % 400);
      signals_after_start_[router] = {
          {reload_after, SIGHUP},
          {reload_after + milliseconds(random_() % 400), SIGTERM}};
      Stop(router);
      break;
    }
    case 2:
      ++fault_counts_["hup"];
      Reload(router);
      break;
    case 3:
      ++fault_counts_["configuration"];
      ChangeConfiguration();
      break;
    default:
      ++fault_counts_["leaving_target"];
      LetTargetLeave(milliseconds(300 + random_() % 7000));
  }
}

void Soak::InjectFault() {
  const std::size_t router_index = random_() % routers_.size();
  const std::size_t proxy_index = random_() % proxies_.size();
  RouterProcess& router = *routers_[router_index];
  Proxy& proxy = *proxies_[proxy_index];
  const Subject router_subject = {Subject::Kind::kRouter, router_index};
  const Subject target_subject = {Subject::Kind::kTarget, proxy_index};
  const Subject store_subject = {Subject::Kind::kStore};
  const Duration duration = milliseconds(300 + random_() % 2500);
  const auto inject_proxy_fault = [&](const char* name, ProxyFault fault) {
    ++fault_counts_[name];
    proxy.SetFault(fault);
    impairments_.Begin(target_subject, Now());
    ScheduleUndo("proxy " + std::to_string(proxy_index), duration,
                 [this, &proxy, target_subject] {
                   proxy.SetFault(ProxyFault::kNone);
                   impairments_.End(target_subject, Now());
                 });
  };
  switch (random_() % 7) {
    case 0:
      inject_proxy_fault("delay", ProxyFault::kDelay);
      break;
    case 1:
      inject_proxy_fault("reset", ProxyFault::kReset);
      break;
    case 2:
      inject_proxy_fault("cut_one_way", ProxyFault::kCutOneWay);
      break;
    case 3:
      inject_proxy_fault("silence", ProxyFault::kSilence);
      break;
    case 4:
      ++fault_counts_["kill"];
      impairments_.Begin(router_subject, Now());
      router.Kill();
      break;
    case 5:
      ++fault_counts_["pause"];
      impairments_.Begin(router_subject, Now());
      router.Signal(SIGSTOP);
      ScheduleUndo("pause " + std::to_string(router_index), duration,
                   [this, &router, router_subject] {
                     router.Signal(SIGCONT);
                     impairments_.End(router_subject, Now());
                   });
      break;
    default:
      ++fault_counts_["store_down"];
      store_.SetDown(true);
      impairments_.Begin(store_subject, Now());
      ScheduleUndo("store", duration, [this, store_subject] {
        store_.SetDown(false);
        impairments_.End(store_subject, Now());
      });
  }
}

}  // namespace corianderpost::soak
