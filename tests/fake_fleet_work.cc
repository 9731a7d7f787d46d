// The fake fleet's callers and targets.
#include <algorithm>
#include <cmath>

#include "fake_fleet.h"
#include "fake_fleet_state.h"

namespace corianderpost::testing {
namespace {

// Callers who send once-only work again stop after this many tries.
constexpr int kOnceOnlyTries = 6;
constexpr Duration kResendDelay{300'000};
// How long a crashed engine is away before it is back, cold.
constexpr Duration kRestartTime{1'000'000};
constexpr Duration kColdAfterCrash{8'000'000};
constexpr Duration kLedgerTime{20'000};

}  // namespace

// Callers ------------------------------------------------------------------

void FakeFleet::SetLoad(std::vector<CustomerLoad> load) {
  load_ = std::move(load);
  ++load_generation_;
  for (std::size_t i = 0; i < load_.size(); ++i) {
    ScheduleLoad(i, load_generation_);
  }
}

void FakeFleet::ScheduleLoad(std::size_t source, std::uint64_t generation) {
  const double gap = -std::log(1.0 - Chance()) / load_[source].rate;
  At(Duration(static_cast<Duration::rep>(gap * 1e6)),
     [this, source, generation] {
       if (generation != load_generation_) {
         return;
       }
       NewWork(load_[source]);
       ScheduleLoad(source, generation);
     });
}

void FakeFleet::NewWork(const CustomerLoad& load) {
  auto work = std::make_unique<Work>();
  work->id = next_id_++;
  work->customer = load.customer;
  work->is_once_only = load.is_once_only;
  work->routers = load.routers;
  work->tries_left = load.is_once_only ? kOnceOnlyTries : 1;
  work->units = static_cast<std::uint64_t>(options_.least_units) +
                Pick(static_cast<std::uint64_t>(options_.most_units) -
                     static_cast<std::uint64_t>(options_.least_units) + 1);
  const std::uint64_t id = work->id;
  works_[id] = std::move(work);
  SendWork(id);
}

void FakeFleet::SendPoison(int customer, int resends) {
  auto work = std::make_unique<Work>();
  work->id = next_id_++;
  work->customer = customer;
  work->is_poison = true;
  work->tries_left = 1 + resends;
  work->units = static_cast<std::uint64_t>(options_.most_units);
  const std::uint64_t id = work->id;
  works_[id] = std::move(work);
  SendWork(id);
}

void FakeFleet::SendWork(std::uint64_t id) {
  Work& work = *works_.at(id);
  --work.tries_left;
  work.received = 0;
  const auto is_open = [this](int router) {
    const Router& it = *routers_[static_cast<std::size_t>(router)];
    return it.is_alive && !it.is_draining && it.paused_until <= now_;
  };
  std::vector<int> open;
  for (int i = 0; i < router_count(); ++i) {
    const bool is_reached = work.routers.empty() ||
                            std::find(work.routers.begin(), work.routers.end(),
                                      i) != work.routers.end();
    if (is_reached && is_open(i)) {
      open.push_back(i);
    }
  }
  if (open.empty()) {
    EndTry(id, true);
    return;
  }
  const int index = open[Pick(open.size())];
  Router& router = *routers_[static_cast<std::size_t>(index)];
  ++stats_.requests;
  RequestArrived arrived;
  arrived.id = next_id_++;
  arrived.customer = CustomerId::FromName(CustomerNameOf(work.customer));
  arrived.service =
      ServiceId::FromName(work.is_once_only ? kLedgerName : kModelName);
  arrived.idempotent = !work.is_once_only;
  if (!work.key.empty()) {
    arrived.key = work.key;
  }
  arrived.fingerprint = id;
  router.work_of_request[arrived.id] = id;
  Deliver(index, router.life, arrived);
}

void FakeFleet::EndTry(std::uint64_t id, bool may_send_again) {
  const auto it = works_.find(id);
  if (it == works_.end()) {
    return;
  }
  if (may_send_again && it->second->tries_left > 0) {
    At(kResendDelay, [this, id] { SendWork(id); });
    return;
  }
  // Poison and once-only work stay known for the checks.
  if (!it->second->is_once_only && !it->second->is_poison) {
    works_.erase(it);
  }
}

void FakeFleet::Do(int index, const Refuse& it) {
  Router& router = *routers_[static_cast<std::size_t>(index)];
  const auto found = router.work_of_request.find(it.request);
  if (found == router.work_of_request.end()) {
    Violate("request answered twice: " + std::to_string(it.request));
    return;
  }
  const std::uint64_t work = found->second;
  router.work_of_request.erase(found);
  ++stats_.refusals[std::string(Name(it.reason))];
  const bool is_not_run = it.outcome == RefusalOutcome::kNotRun;
  ++(is_not_run ? stats_.refused_not_run : stats_.refused_unknown);
  if (is_not_run && router.begun.contains(it.request)) {
    Violate("refusal says not-run of request that a target began: " +
            std::string(Name(it.reason)));
  }
  if (router.open_when_drained.contains(it.request) &&
      it.reason == RefusalReason::kDraining) {
    Violate("graceful stop cut off an open request");
  }
  Work& sent = *works_.at(work);
  if (is_not_run && sent.is_once_only && !sent.key.empty() &&
      sent.executions > 0) {
    Violate("refusal says not-run of work that ran");
  }
  if (it.reason == RefusalReason::kKeyRequired) {
    if (sent.key.empty()) {
      sent.key = it.issued_key;
    }
    ++sent.tries_left;
  }
  EndTry(work, true);
}

void FakeFleet::Do(int index, const Complete& it) {
  Router& router = *routers_[static_cast<std::size_t>(index)];
  const auto found = router.work_of_request.find(it.request);
  if (found == router.work_of_request.end()) {
    Violate("request answered twice: " + std::to_string(it.request));
    return;
  }
  Work& work = *works_.at(found->second);
  if (work.received != work.units && !work.is_once_only) {
    Violate("answer looks whole but is not");
  }
  ++stats_.whole;
  router.answers.insert(it.request);
  const std::uint64_t id = found->second;
  router.work_of_request.erase(found);
  EndTry(id, false);
}

void FakeFleet::Do(int index, const Replay& it) {
  Router& router = *routers_[static_cast<std::size_t>(index)];
  const auto found = router.work_of_request.find(it.request);
  if (found == router.work_of_request.end() ||
      !router.answers.contains(it.original)) {
    Violate("replay of an answer that nobody has");
    return;
  }
  const std::uint64_t id = found->second;
  router.work_of_request.erase(found);
  EndTry(id, false);
}

void FakeFleet::Do(int index, const ForgetAnswer& it) {
  routers_[static_cast<std::size_t>(index)]->answers.erase(it.request);
}

void FakeFleet::Do(int index, const ForwardToHome& it) {
  Router& router = *routers_[static_cast<std::size_t>(index)];
  const auto found = router.work_of_request.find(it.request);
  if (found == router.work_of_request.end()) {
    Violate("forward of a request that nobody sent");
    return;
  }
  const std::uint64_t id = found->second;
  router.work_of_request.erase(found);
  const int home = RouterOf(it.home);
  const Work& work = *works_.at(id);
  if (home < 0 || ArePeersCut(index, home) ||
      !routers_[static_cast<std::size_t>(home)]->is_alive) {
    ++stats_.refused_unknown;
    ++stats_.refusals["key-home-unreachable"];
    EndTry(id, true);
    return;
  }
  Router& target = *routers_[static_cast<std::size_t>(home)];
  RequestArrived arrived;
  arrived.id = next_id_++;
  arrived.customer = CustomerId::FromName(CustomerNameOf(work.customer));
  arrived.service = ServiceId::FromName(kLedgerName);
  arrived.idempotent = false;
  arrived.key = work.key;
  arrived.fingerprint = id;
  target.work_of_request[arrived.id] = id;
  const std::uint64_t life = target.life;
  At(Latency(router.zone, target.zone),
     [this, home, life, arrived] { Deliver(home, life, arrived); });
}

// Targets ------------------------------------------------------------------

void FakeFleet::CheckDispatch(int index, int engine) {
  const Router& router = *routers_[static_cast<std::size_t>(index)];
  const Engine& target = *engines_[static_cast<std::size_t>(engine)];
  const auto bundle = router.core->bundle();
  if (!bundle || bundle->revision() < RevisionInForce()) {
    Violate("router " + std::to_string(index) + " works under revision " +
            std::to_string(bundle ? bundle->revision() : 0) + ", " +
            std::to_string(RevisionInForce()) + " is in force" +
            DescribePeers(index));
  }
  const Bundle& in_force =
      *published_[std::max<std::uint64_t>(1, RevisionInForce()) - 1];
  const bool is_newest = RevisionInForce() == published_.size();
  if (is_newest && !in_force.IsZoneInService(target.zone)) {
    Violate("new work in a zone that was taken out");
  }
  if (target.is_leaving && now_ - target.left_at > kInForceWithin) {
    Violate("new work for a leaving target");
  }
}

void FakeFleet::Do(int index, const Dispatch& it) {
  Router& router = *routers_[static_cast<std::size_t>(index)];
  const auto found = router.work_of_request.find(it.request);
  const int engine = EngineOf(it.target);
  if (found == router.work_of_request.end() || engine < 0) {
    Violate("dispatch of a request that nobody sent");
    return;
  }
  Work& work = *works_.at(found->second);
  if (it.resume_from != work.received) {
    Violate("resume leaves a gap or repeats");
  }
  stats_.resumed += it.resume_from > 0 ? 1 : 0;
  ++stats_.dispatches;
  if (!router.dispatched.insert(it.request).second) {
    ++stats_.retries;
  }
  CheckDispatch(index, engine);
  auto execution = std::make_unique<Execution>();
  execution->id = next_id_++;
  execution->work = found->second;
  execution->router = index;
  execution->life = router.life;
  execution->request = it.request;
  execution->attempt = it.attempt;
  execution->engine = engine;
  execution->next_unit = it.resume_from;
  router.execution_of_attempt[it.attempt] = execution->id;
  const std::uint64_t id = execution->id;
  executions_[id] = std::move(execution);
  const std::string& zone = engines_[static_cast<std::size_t>(engine)]->zone;
  if (IsCut(router.zone, zone)) {
    At(kLostConnection,
       [this, id] { EndExecution(id, AttemptOutcome::kNotSent); });
    return;
  }
  At(Latency(router.zone, zone), [this, id] { Arrive(id); });
}

void FakeFleet::Do(int index, const CancelAttempt& it) {
  Router& router = *routers_[static_cast<std::size_t>(index)];
  const auto found = router.execution_of_attempt.find(it.attempt);
  if (found != router.execution_of_attempt.end()) {
    EndExecution(found->second, AttemptOutcome::kLostAfterSend);
  }
}

std::string FakeFleet::DescribePeers(int index) {
  const RouterStatus status = core(index).Status(LocalTime(index));
  std::string text = "; serving " + std::to_string(status.serving) +
                     ", highest " + std::to_string(status.highest_revision) +
                     ", list " + std::to_string(status.list_revision) +
                     ", hears";
  for (const PeerStatus& it : status.peers) {
    text += " " + std::to_string(RouterOf(it.router)) + (it.heard ? "+" : "-") +
            std::to_string(it.bundle_revision);
  }
  return text;
}

std::string FakeFleet::DescribeRunning(int index) {
  std::string text;
  for (const std::uint64_t id :
       engines_[static_cast<std::size_t>(index)]->running) {
    const Execution& it = *executions_.at(id);
    text += " router " + std::to_string(it.router) + " since " +
            std::to_string((now_ - it.arrived_at).count() / 1000) + " ms;";
  }
  for (int i = 0; i < router_count(); ++i) {
    if (!routers_[static_cast<std::size_t>(i)]->is_alive) {
      continue;
    }
    for (const TargetStatus& it : core(i).Status(LocalTime(i)).targets) {
      if (it.owned_here &&
          it.target == engines_[static_cast<std::size_t>(index)]->vm) {
        text += " owner " + std::to_string(i) + " with " +
                std::to_string(it.outstanding) + " out, lease " +
                std::to_string(it.lease_held) + ", warm " +
                std::to_string(it.warm) + ";";
      }
    }
  }
  return text;
}

void FakeFleet::CheckConcurrency(int index) {
  Engine& engine = *engines_[static_cast<std::size_t>(index)];
  if (engine.is_plain || !engine.IsCold(now_)) {
    return;
  }
  ++stats_.cold_arrivals;
  if (static_cast<int>(engine.running.size()) <= options_.cold_slots) {
    return;
  }
  if (now_ - engine.cold_since > kColdKnownWithin) {
    Violate("cold " + engine.name + " got " +
            std::to_string(engine.running.size()) + " at once, cold for " +
            std::to_string((now_ - engine.cold_since).count() / 1000) +
            " ms:" + DescribeRunning(index));
  } else {
    ++stats_.unknowable_overloads;
  }
}

void FakeFleet::Arrive(std::uint64_t id) {
  const auto it = executions_.find(id);
  if (it == executions_.end()) {
    return;
  }
  Execution& execution = *it->second;
  Engine& engine = *engines_[static_cast<std::size_t>(execution.engine)];
  if (now_ < engine.away_until) {
    EndExecution(id, AttemptOutcome::kNotSent);
    return;
  }
  execution.arrived_at = now_;
  engine.running.insert(id);
  engine.Record(now_);
  Router& router = *routers_[static_cast<std::size_t>(execution.router)];
  if (router.life == execution.life) {
    router.begun.insert(execution.request);
  }
  Work& work = *works_.at(execution.work);
  ++work.executions;
  stats_.once_only_run += work.is_once_only ? 1 : 0;
  if (work.is_once_only && work.executions > 1) {
    Violate("once-only work ran " + std::to_string(work.executions) + " times");
  }
  CheckConcurrency(execution.engine);
  if (work.is_poison) {
    ++stats_.crashes_by_poison;
    if (++work.crashes > kMaxCrashesOfOne) {
      Violate("one request crashed " + std::to_string(work.crashes) +
              " targets");
    }
    CrashEngine(execution.engine, kColdAfterCrash);
    return;
  }
  At(engine.is_plain ? kLedgerTime : kProduceInterval,
     [this, id] { Produce(id); });
}

void FakeFleet::Produce(std::uint64_t id) {
  const auto it = executions_.find(id);
  if (it == executions_.end()) {
    return;
  }
  Execution& execution = *it->second;
  const Engine& engine = *engines_[static_cast<std::size_t>(execution.engine)];
  Router& router = *routers_[static_cast<std::size_t>(execution.router)];
  if (engine.is_plain) {
    EndExecution(id, AttemptOutcome::kCompleted);
    return;
  }
  if (IsCut(engine.zone, router.zone)) {
    EndExecution(id, AttemptOutcome::kLostAfterSend);
    return;
  }
  Work& work = *works_.at(execution.work);
  const std::uint64_t step =
      std::min(static_cast<std::uint64_t>(options_.units_a_second / 10),
               work.units - execution.next_unit);
  execution.next_unit += step;
  units_[work.customer] += step;
  work.received += step;
  Deliver(execution.router, execution.life,
          AttemptProgress{execution.attempt, static_cast<std::uint32_t>(step)});
  if (execution.next_unit == work.units) {
    EndExecution(id, AttemptOutcome::kCompleted);
    return;
  }
  At(kProduceInterval, [this, id] { Produce(id); });
}

void FakeFleet::EndExecution(std::uint64_t id, AttemptOutcome outcome) {
  const auto it = executions_.find(id);
  if (it == executions_.end()) {
    return;
  }
  const Execution execution = *it->second;
  executions_.erase(it);
  Engine& engine = *engines_[static_cast<std::size_t>(execution.engine)];
  engine.running.erase(id);
  engine.Record(now_);
  const Router& router = *routers_[static_cast<std::size_t>(execution.router)];
  At(Latency(engine.zone, router.zone), [this, execution, outcome] {
    Deliver(execution.router, execution.life,
            AttemptEnded{execution.attempt, outcome});
  });
}

void FakeFleet::CrashEngine(int index, Duration cold_time) {
  Engine& engine = *engines_[static_cast<std::size_t>(index)];
  engine.away_until = now_ + kRestartTime;
  engine.cold_since = now_;
  engine.cold_until = engine.away_until + cold_time;
  for (const std::uint64_t id : std::set<std::uint64_t>(engine.running)) {
    EndExecution(id, AttemptOutcome::kLostAfterSend);
  }
  engine.Record(now_);
}

void FakeFleet::RestartEngine(int engine, Duration cold_time) {
  CrashEngine(engine, cold_time);
}

void FakeFleet::TurnCold(int index, Duration time) {
  Engine& engine = *engines_[static_cast<std::size_t>(index)];
  engine.cold_since = now_;
  engine.cold_until = now_ + time;
  engine.Record(now_);
}

void FakeFleet::AnnounceLeaving(int index, bool leaving) {
  Engine& engine = *engines_[static_cast<std::size_t>(index)];
  engine.is_leaving = leaving;
  engine.left_at = now_;
  PublishList();
}

void FakeFleet::Do(int index, const PollLoad& it) {
  const int engine = EngineOf(it.target);
  const Router& router = *routers_[static_cast<std::size_t>(index)];
  const std::uint64_t life = router.life;
  Engine& target = *engines_[static_cast<std::size_t>(engine)];
  Event answer = LoadReportFailed{it.target};
  if (!IsCut(router.zone, target.zone) && now_ >= target.away_until) {
    target.Record(now_);
    const auto& sample = target.history.front();
    answer =
        LoadReported{it.target, sample.in_flight, sample.cold, it.asked_at};
  }
  At(2 * Latency(router.zone, target.zone),
     [this, index, life, answer] { Deliver(index, life, answer); });
}

// Witnesses ----------------------------------------------------------------

std::uint64_t FakeFleet::UnitsOf(int customer) const {
  const auto it = units_.find(customer);
  return it == units_.end() ? 0 : it->second;
}

std::uint64_t FakeFleet::UnitsTotal() const {
  std::uint64_t total = 0;
  for (const auto& [customer, units] : units_) {
    total += units;
  }
  return total;
}

int FakeFleet::BusySlots() const {
  int busy = 0;
  for (const auto& it : engines_) {
    busy += it->is_plain ? 0 : static_cast<int>(it->running.size());
  }
  return busy;
}

std::size_t FakeFleet::WaitingTotal() const {
  std::size_t open = 0;
  for (const auto& it : routers_) {
    open += it->work_of_request.size();
  }
  const std::size_t running = executions_.size();
  return open > running ? open - running : 0;
}

std::size_t FakeFleet::WaitingOf(int customer) const {
  std::size_t open = 0;
  for (const auto& it : routers_) {
    for (const auto& [request, work] : it->work_of_request) {
      open += works_.at(work)->customer == customer ? 1 : 0;
    }
  }
  return open;
}

}  // namespace corianderpost::testing
