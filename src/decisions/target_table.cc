#include "decisions/target_table.h"

#include <algorithm>
#include <cmath>

namespace corianderpost {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// An entry this much younger than a failed connect was written after it:
// heartbeat interval and the list's lag, by the platform's settings about
// 1.2 s.
constexpr Duration kEntryAfterFailure = milliseconds(1500);
// First and longest time without requests after a failure.
constexpr Duration kFirstEjection = milliseconds(400);
constexpr Duration kLongestEjection = seconds(4);
// Weight of one outcome in the share of failures.
constexpr double kOutcomeWeight = 0.12;
// A target that fails more than this share of its requests is left.
constexpr double kFailureShareLimit = 0.30;
// Where all targets of a service fail, one is left only if it fails this many
// times as often.
constexpr double kFailureRatio = 1.5;
// Attempts of all routers that must have failed before a target is left.
constexpr double kMinFleetFailures = 3;
// So many first events a second weigh as much as the assumption that a target
// is as fast as its service's targets are together.
constexpr double kSlownessPrior = 1.0;
// Bounds of one observation. The mean of logarithms follows the usual first
// event; single long ones, such as behind a long prompt, hardly move it.
constexpr double kMinSlowness = 0.3;
constexpr double kMaxSlowness = 20.0;
constexpr double kShortestExpected = 1e-3;
// Less than this is no evidence worth telling.
constexpr double kLeastEvidence = 0.05;
// Outcomes before the share of failures means anything.
constexpr int kMinOutcomes = 5;
// Stalls in a row after which a target is left.
constexpr int kStallLimit = 2;
// Connections that break within this time break together.
constexpr Duration kTogether = milliseconds(60);
// So many broken connections at once are a crash.
constexpr int kCrashConnections = 3;

}  // namespace

void TargetTable::SetRegions(std::map<std::string, std::string> region_of_zone,
                             std::string own_region) {
  region_of_zone_ = std::move(region_of_zone);
  own_region_ = std::move(own_region);
  for (auto& [id, target] : targets_) {
    Locate(target);
  }
}

void TargetTable::Locate(TargetState& target) const {
  const auto it = region_of_zone_.find(target.entry.zone);
  target.region = it == region_of_zone_.end() ? "" : it->second;
  target.is_near = !target.region.empty() && target.region == own_region_;
}

bool TargetTable::TakeEntry(TimePoint now, const TargetEntry& entry) {
  const auto [it, is_new] = targets_.try_emplace(entry.id);
  TargetState& target = it->second;
  const bool is_reborn =
      !is_new && target.entry.incarnation != entry.incarnation;
  const bool is_moved = !is_new && target.entry.address != entry.address;
  const bool is_changed = is_new || is_reborn || is_moved ||
                          !target.is_listed ||
                          target.entry.zone != entry.zone ||
                          target.entry.is_draining != entry.is_draining ||
                          target.entry.service != entry.service;
  target.id = TargetId::FromName(entry.id);
  target.entry = entry;
  if (is_changed) {
    Locate(target);
    by_service_.clear();
  }
  target.is_listed = true;
  target.removal_at = TimePoint::max();
  target.cold_until = now + entry.cold_remaining;
  if (is_reborn) {
    target.kept.clear();
    target.slowness = 1.0;
    target.failure_share = 0;
    target.outcomes = 0;
    target.ejected_until = TimePoint();
    target.ejection = Duration(0);
    target.is_on_trial = false;
  }
  if (is_reborn ||
      (target.is_unsure && now - target.unsure_since >= kEntryAfterFailure)) {
    target.is_unsure = false;
  }
  return is_changed;
}

void TargetTable::TakeRemoval(TimePoint now, const std::string& id,
                              Duration grace) {
  TargetState* target = Find(id);
  if (target == nullptr) {
    return;
  }
  if (grace > Duration(0) && !target->entry.is_draining) {
    target->removal_at = std::min(target->removal_at, now + grace);
  } else {
    target->is_listed = false;
  }
}

void TargetTable::Expire(TimePoint now) {
  for (auto it = targets_.begin(); it != targets_.end();) {
    TargetState& target = it->second;
    if (target.is_listed && now >= target.removal_at) {
      target.is_listed = false;
    }
    if (!target.is_listed && target.own.in_flight == 0) {
      it = targets_.erase(it);
      by_service_.clear();
    } else {
      ++it;
    }
  }
}

void TargetTable::Eject(TimePoint now, TargetState& target, Duration first) {
  if (now < target.ejected_until) {
    return;
  }
  target.ejection = target.ejection == Duration(0)
                        ? first
                        : std::min(2 * target.ejection, kLongestEjection);
  target.ejected_until = now + target.ejection;
  target.is_on_trial = true;
}

void TargetTable::NoteOutcome(TimePoint now, TargetState& target,
                              AttemptOutcome outcome) {
  const auto count = [now, &target](double failed) {
    target.ended.Add(now, 1);
    target.failed.Add(now, failed);
    target.failure_share += kOutcomeWeight * (failed - target.failure_share);
    ++target.outcomes;
  };
  switch (outcome) {
    case AttemptOutcome::kCompleted:
      count(0);
      target.consecutive_stalls = 0;
      if (target.is_on_trial && now >= target.ejected_until) {
        target.is_on_trial = false;
        target.ejection = Duration(0);
        target.failure_share =
            std::min(target.failure_share, kFailureShareLimit / 2);
      }
      break;
    case AttemptOutcome::kServerError:
    case AttemptOutcome::kRejected:
      count(1);
      break;
    case AttemptOutcome::kMisdirected:
      // The entry is stale: the target that it names has ended.
      target.is_listed = false;
      break;
    case AttemptOutcome::kConnectFailed:
      target.is_unsure = true;
      target.unsure_since = now;
      count(1);
      Eject(now, target, kFirstEjection);
      break;
    case AttemptOutcome::kBroken:
      count(1);
      target.broken_together =
          now - target.broken_at <= kTogether ? target.broken_together + 1 : 1;
      target.broken_at = now;
      if (target.broken_together >= kCrashConnections) {
        target.is_unsure = true;
        target.unsure_since = now;
        Eject(now, target, kFirstEjection);
      }
      break;
    case AttemptOutcome::kStalled:
      count(1);
      if (++target.consecutive_stalls >= kStallLimit) {
        Eject(now, target, kFirstEjection);
      }
      break;
    case AttemptOutcome::kCancelled:
      break;
  }
  if (target.outcomes >= kMinOutcomes &&
      target.failure_share > FailureLimit(target.entry.service)) {
    Eject(now, target, kFirstEjection);
  }
}

void TargetTable::NotePeerEvidence(TimePoint now, const std::string& id) {
  if (TargetState* target = Find(id); target != nullptr) {
    target->is_unsure = true;
    target->unsure_since = now;
    Eject(now, *target, kFirstEjection);
  }
}

std::map<TargetId, TargetLoad> TargetTable::OwnLoad(TimePoint now) const {
  std::map<TargetId, TargetLoad> load;
  for (const auto& [id, target] : targets_) {
    const double ended = target.ended.PerSecond(now);
    if (target.own.in_flight == 0 && ended < kLeastEvidence) {
      continue;
    }
    TargetLoad& own = load[target.id];
    own = target.own;
    own.pending_tokens = target.pending_tokens.Sum(now);
    own.ended = ended;
    own.failed = target.failed.PerSecond(now);
    own.first_events = target.first_events.PerSecond(now);
    own.log_slowness = target.log_slowness.PerSecond(now);
  }
  return load;
}

void TargetTable::SetPeerLoad(TimePoint now,
                              const std::map<TargetId, TargetLoad>& load) {
  for (auto& [id, target] : targets_) {
    const auto it = load.find(target.id);
    target.peers = it == load.end() ? TargetLoad{} : it->second;
  }
  JudgeAll(now);
}

void TargetTable::NoteFirstEvent(TimePoint now, TargetState& target,
                                 double seen_seconds, double expected_seconds) {
  const double ratio =
      std::clamp(seen_seconds / std::max(kShortestExpected, expected_seconds),
                 kMinSlowness, kMaxSlowness);
  target.first_events.Add(now, 1);
  target.log_slowness.Add(now, std::log(ratio));
}

double TargetTable::FailureLimit(const std::string& service) const {
  const auto it = failure_shares_.find(service);
  return std::max(kFailureShareLimit, it == failure_shares_.end()
                                          ? 0.0
                                          : kFailureRatio * it->second);
}

void TargetTable::JudgeAll(TimePoint now) {
  struct Sum {
    double ended = 0;
    double failed = 0;
    double first_events = 0;
    double log_slowness = 0;
  };
  std::map<std::string, Sum> sums;
  const auto of_all = [now](const TargetState& target) {
    return Sum{target.ended.PerSecond(now) + target.peers.ended,
               target.failed.PerSecond(now) + target.peers.failed,
               target.first_events.PerSecond(now) + target.peers.first_events,
               target.log_slowness.PerSecond(now) + target.peers.log_slowness};
  };
  for (auto& [id, target] : targets_) {
    const Sum sum = of_all(target);
    Sum& service = sums[target.entry.service];
    service.ended += sum.ended;
    service.failed += sum.failed;
    service.first_events += sum.first_events;
    service.log_slowness += sum.log_slowness;
  }
  failure_shares_.clear();
  for (const auto& [service, sum] : sums) {
    failure_shares_[service] = sum.ended > 0 ? sum.failed / sum.ended : 0.0;
  }
  for (auto& [id, target] : targets_) {
    const Sum sum = of_all(target);
    const Sum& service = sums[target.entry.service];
    const double usual =
        service.log_slowness / (service.first_events + kSlownessPrior);
    target.slowness = std::exp((sum.log_slowness + usual * kSlownessPrior) /
                               (sum.first_events + kSlownessPrior));
    if (sum.ended >= kMinOutcomes && sum.failed >= kMinFleetFailures &&
        sum.failed > FailureLimit(target.entry.service) * sum.ended) {
      Eject(now, target, kFirstEjection);
    }
  }
}

TargetState* TargetTable::Find(const std::string& id) {
  const auto it = targets_.find(id);
  return it == targets_.end() ? nullptr : &it->second;
}

const std::vector<TargetState*>& TargetTable::OfService(
    const std::string& service) {
  if (by_service_.empty()) {
    for (auto& [id, target] : targets_) {
      by_service_[target.entry.service].push_back(&target);
    }
  }
  return by_service_[service];
}

bool TargetTable::IsOpen(TimePoint now, const TargetState& target) const {
  return target.is_listed && now < target.removal_at &&
         !target.entry.is_draining &&
         !taken_out_zones_.contains(target.entry.zone);
}

}  // namespace corianderpost
