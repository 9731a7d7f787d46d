#include "decisions/target_table.h"

#include <algorithm>

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
  const auto count = [&target](double failed) {
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
      target.failure_share > kFailureShareLimit) {
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
  static_cast<void>(now);
  std::map<TargetId, TargetLoad> load;
  for (const auto& [id, target] : targets_) {
    if (target.own.in_flight > 0) {
      load[target.id] = target.own;
    }
  }
  return load;
}

void TargetTable::SetPeerLoad(TimePoint now,
                              const std::map<TargetId, TargetLoad>& load) {
  static_cast<void>(now);
  for (auto& [id, target] : targets_) {
    const auto it = load.find(target.id);
    target.peers = it == load.end() ? TargetLoad{} : it->second;
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
