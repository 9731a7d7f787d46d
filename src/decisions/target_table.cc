#include "decisions/target_table.h"

#include <algorithm>
#include <cmath>

namespace corianderpost {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Upper bound of the age of a list entry on arrival: heartbeat interval plus
// propagation delay, about 1.2 s with the platform's settings. An entry that
// arrives later than this after a failure was written after the failure.
constexpr Duration kMaxEntryLag = milliseconds(1500);
// Duration of the first ejection, and the bound up to which it doubles.
constexpr Duration kInitialEjectionTime = milliseconds(400);
constexpr Duration kMaxEjectionTime = seconds(4);
// Weight of one outcome in the exponentially weighted failure rate.
constexpr double kFailureRateWeight = 0.12;
// Fraction of failed attempts above which a target is ejected.
constexpr double kMaxFailureRate = 0.30;
// If the whole service fails often, a target is ejected only if its failure
// rate exceeds that of the service by this factor.
constexpr double kMaxFailureRateRatio = 1.5;
// Failed attempts per second, at all routers together, below which a target is
// not ejected for its failure rate.
constexpr double kMinFleetFailures = 3;
// Targets with fewer ended attempts per second, no requests in flight and fewer
// observations of their speed are left out of peer reports.
constexpr double kMinReportedRate = 0.05;
constexpr double kMinReportedObservations = 0.2;
// Minimum number of outcomes for a meaningful failure rate. Also the minimum
// rate of ended attempts per second at all routers together.
constexpr int kMinOutcomes = 5;
// Number of stalls without a completed request in between after which a target
// is ejected.
constexpr int kEjectionStallCount = 2;
// Bounds the age of a rate limit in a peer's report.
constexpr Duration kMaxRateLimitAge = std::chrono::hours(1);
// How long reports say that a target's rate limit has ended.
constexpr Duration kEndedRateLimitReportTime = seconds(5);
// A copy from which the store is restored is not older than this.
constexpr Duration kDepartureRetention = seconds(60);
// Maximum time between broken connections that are attributed to one crash.
constexpr Duration kMaxCrashBreakGap = milliseconds(60);
// Number of such connections that indicates a crash.
constexpr int kMinCrashBreaks = 3;

}  // namespace

std::string_view ToString(EjectionCause cause) {
  switch (cause) {
    case EjectionCause::kConnectFailed:
      return "connect_failed";
    case EjectionCause::kPeerConnectFailed:
      return "peer_connect_failed";
    case EjectionCause::kCrash:
      return "crash";
    case EjectionCause::kStalls:
      return "stalls";
    case EjectionCause::kLocalFailureRate:
      return "local_failure_rate";
    case EjectionCause::kFleetFailureRate:
      return "fleet_failure_rate";
  }
  return "unknown";
}

void TargetTable::SetRegions(std::map<std::string, std::string> region_of_zone,
                             std::string local_region) {
  region_of_zone_ = std::move(region_of_zone);
  local_region_ = std::move(local_region);
  for (auto& [id, target] : targets_) {
    UpdateRegion(target);
  }
}

void TargetTable::UpdateRegion(TargetState& target) const {
  const auto it = region_of_zone_.find(target.entry.zone);
  target.region = it == region_of_zone_.end() ? "" : it->second;
  target.is_in_local_region =
      !target.region.empty() && target.region == local_region_;
}

void TargetTable::RecordVersion(TimePoint now, const TargetState& target) {
  const bool is_in_use =
      std::any_of(targets_.begin(), targets_.end(), [&target](const auto& it) {
        const TargetState& other = it.second;
        return &other != &target && other.is_listed &&
               other.version == target.version &&
               other.entry.service == target.entry.service;
      });
  if (is_in_use) {
    return;
  }
  std::map<VersionId, TimePoint>& versions =
      versions_new_until_[target.entry.service];
  const bool is_first_list =
      std::all_of(versions.begin(), versions.end(),
                  [now](const auto& it) { return it.second == now; });
  std::erase_if(versions, [now](const auto& it) {
    return it.second <= now - kNewVersionHoldTime;
  });
  versions[target.version] = is_first_list ? now : now + kNewVersionHoldTime;
}

bool TargetTable::HasNewVersion(TimePoint now,
                                const TargetState& target) const {
  const auto versions = versions_new_until_.find(target.entry.service);
  if (versions == versions_new_until_.end()) {
    return false;
  }
  const auto it = versions->second.find(target.version);
  return it != versions->second.end() && now < it->second;
}

void TargetTable::RecordEnd(const TargetState& target) {
  ended_incarnations_.push_back({target.entry.id, target.entry.incarnation});
}

bool TargetTable::ApplyEntry(TimePoint now, const TargetEntry& entry) {
  const auto [it, is_new] = targets_.try_emplace(entry.id);
  TargetState& target = it->second;
  const bool is_restarted =
      !is_new && target.entry.incarnation != entry.incarnation;
  const bool has_new_address = !is_new && target.entry.address != entry.address;
  const bool is_changed = is_new || is_restarted || has_new_address ||
                          !target.is_listed ||
                          target.entry.zone != entry.zone ||
                          target.entry.version != entry.version ||
                          target.entry.is_draining != entry.is_draining ||
                          target.entry.service != entry.service;
  const bool has_other_version = is_new || !target.is_listed ||
                                 target.entry.version != entry.version ||
                                 target.entry.service != entry.service;
  if (is_restarted) {
    RecordEnd(target);
  }
  target.id = TargetId::FromName(entry.id);
  target.entry = entry;
  if (is_changed) {
    target.version = VersionId::FromName(entry.version);
    UpdateRegion(target);
    by_service_.clear();
  }
  if (has_other_version) {
    RecordVersion(now, target);
  }
  target.is_listed = true;
  target.removal_effective_at = TimePoint::max();
  target.cold_until = now + entry.cold_remaining;
  if (is_restarted) {
    target.is_leaving = false;
    target.paused_until = TimePoint();
    target.cached_chains.clear();
    target.named_rate_limit.reset();
    target.rate_limit_named_at = now;
    target.speed.Reset();
    target.failure_rate = 0;
    target.outcome_count = 0;
    target.ejected_until = TimePoint();
    target.ejection_time = Duration(0);
    target.is_half_open = false;
  }
  if (is_restarted ||
      (target.may_be_cold && now - target.may_be_cold_since >= kMaxEntryLag)) {
    target.may_be_cold = false;
  }
  if (is_restarted || (target.may_have_restarted &&
                       now - target.may_have_restarted_since >= kMaxEntryLag)) {
    target.may_have_restarted = false;
  }
  return is_changed;
}

bool TargetTable::ApplyRestoredEntry(TimePoint now, const TargetEntry& entry) {
  const auto departure = departures_.find(entry.id);
  const TargetState* target = Find(entry.id);
  if (target != nullptr && entry.is_draining &&
      entry.incarnation == target->entry.incarnation) {
    // A drain doesn't end, so this router has missed it.
    return ApplyEntry(now, entry);
  }
  const std::int64_t known_incarnation =
      target != nullptr                ? target->entry.incarnation
      : departure != departures_.end() ? departure->second.incarnation
                                       : -1;
  return entry.incarnation > known_incarnation && ApplyEntry(now, entry);
}

void TargetTable::ApplyRemoval(TimePoint now, const std::string& id,
                               Duration grace) {
  TargetState* target = Find(id);
  if (target == nullptr) {
    return;
  }
  if (grace > Duration(0) && !target->entry.is_draining) {
    target->removal_effective_at =
        std::min(target->removal_effective_at, now + grace);
  } else {
    target->is_listed = false;
  }
}

void TargetTable::ConfirmList(TimePoint confirmed_at) {
  for (auto& [id, target] : targets_) {
    if (target.may_be_cold && !target.is_half_open &&
        confirmed_at - target.may_be_cold_since >= kMaxEntryLag) {
      target.may_be_cold = false;
    }
  }
}

void TargetTable::Expire(TimePoint now) {
  ForgetDepartures(now);
  for (auto it = targets_.begin(); it != targets_.end();) {
    TargetState& target = it->second;
    if (target.is_listed && now >= target.removal_effective_at) {
      target.is_listed = false;
    }
    if (!target.is_listed && target.local_load.in_flight == 0) {
      departures_[it->first] = {target.entry.incarnation, now};
      it = targets_.erase(it);
      by_service_.clear();
    } else {
      ++it;
    }
  }
}

void TargetTable::ForgetDepartures(TimePoint now) {
  std::erase_if(departures_, [now](const auto& it) {
    return now - it.second.at > kDepartureRetention;
  });
}

void TargetTable::Eject(TimePoint now, TargetState& target,
                        EjectionCause cause) {
  if (now < target.ejected_until) {
    return;
  }
  target.ejection_time =
      target.ejection_time == Duration(0)
          ? kInitialEjectionTime
          : std::min(2 * target.ejection_time, kMaxEjectionTime);
  target.ejected_until = now + target.ejection_time;
  target.is_half_open = true;
  new_ejections_.push_back({target.entry.id, cause, target.ejection_time,
                            target.ended_attempts.PerSecond(now),
                            target.failed_attempts.PerSecond(now),
                            target.peer_load.ended_attempts,
                            target.peer_load.failed_attempts});
}

void TargetTable::RecordOutcome(TimePoint now, TargetState& target,
                                AttemptOutcome outcome) {
  const auto record = [now, &target](double failed) {
    target.ended_attempts.Add(now, 1);
    target.failed_attempts.Add(now, failed);
    target.failure_rate += kFailureRateWeight * (failed - target.failure_rate);
    ++target.outcome_count;
  };
  switch (outcome) {
    case AttemptOutcome::kCompleted:
      record(0);
      target.consecutive_stalls = 0;
      if (target.is_half_open && now >= target.ejected_until) {
        target.is_half_open = false;
        target.ejection_time = Duration(0);
        // It may have restarted just before it was reached.
        target.may_be_cold_since = now;
        // Otherwise the failures before the ejection could cause another one at
        // once.
        target.failure_rate =
            std::min(target.failure_rate, kMaxFailureRate / 2);
      }
      break;
    case AttemptOutcome::kServerError:
    case AttemptOutcome::kRejected:
      record(1);
      break;
    case AttemptOutcome::kMisdirected:
      // The list entry is stale: its target no longer exists.
      target.is_listed = false;
      break;
    case AttemptOutcome::kConnectFailed:
      target.may_be_cold = true;
      target.may_be_cold_since = now;
      target.may_have_restarted = true;
      target.may_have_restarted_since = now;
      record(1);
      RecordEnd(target);
      Eject(now, target, EjectionCause::kConnectFailed);
      break;
    case AttemptOutcome::kBroken:
      record(1);
      target.clustered_breaks = now - target.last_break_at <= kMaxCrashBreakGap
                                    ? target.clustered_breaks + 1
                                    : 1;
      target.last_break_at = now;
      if (target.clustered_breaks >= kMinCrashBreaks) {
        target.may_be_cold = true;
        target.may_be_cold_since = now;
        target.may_have_restarted = true;
        target.may_have_restarted_since = now;
        RecordEnd(target);
        Eject(now, target, EjectionCause::kCrash);
      }
      break;
    case AttemptOutcome::kStalled:
      record(1);
      if (++target.consecutive_stalls >= kEjectionStallCount) {
        Eject(now, target, EjectionCause::kStalls);
      }
      break;
    case AttemptOutcome::kCancelled:
      break;
  }
  if (target.outcome_count >= kMinOutcomes &&
      target.failure_rate > MaxFailureRate(target.entry.service)) {
    Eject(now, target, EjectionCause::kLocalFailureRate);
  }
}

void TargetTable::RecordPeerFailure(TimePoint now, const std::string& id) {
  if (TargetState* target = Find(id); target != nullptr) {
    target->may_be_cold = true;
    target->may_be_cold_since = now;
    Eject(now, *target, EjectionCause::kPeerConnectFailed);
  }
}

std::map<TargetId, TargetLoad> TargetTable::LocalLoad(TimePoint now) const {
  std::map<TargetId, TargetLoad> load;
  for (const auto& [id, target] : targets_) {
    const double ended = target.ended_attempts.PerSecond(now);
    const LimitUse limit_use =
        target.named_rate_limit ? target.rate_limit.LocalUse(now) : LimitUse{};
    const FirstEventSums sums = target.speed.LocalSums(now);
    const bool is_speed_known =
        sums.speed_observations >= kMinReportedObservations;
    const bool is_in_use = target.local_load.in_flight > 0 ||
                           ended >= kMinReportedRate ||
                           limit_use.wanted >= kMinReportedRate;
    if (!is_in_use && !is_speed_known) {
      continue;
    }
    TargetLoad& local = load[target.id];
    if (is_in_use) {
      local = target.local_load;
      local.pending_prefill_tokens = target.pending_prefill_tokens.Sum(now);
      local.ended_attempts = ended;
      local.failed_attempts = target.failed_attempts.PerSecond(now);
      local.first_events = sums.first_events;
      local.log_slowness = sums.log_slowness;
      local.limit_use = limit_use;
    }
    if (is_speed_known) {
      local.speed_observations = sums.speed_observations;
      local.log_speed = sums.log_speed;
    }
  }
  return load;
}

void TargetTable::SetPeerLoad(TimePoint now,
                              const std::map<TargetId, TargetLoad>& load) {
  for (auto& [id, target] : targets_) {
    const auto it = load.find(target.id);
    target.peer_load = it == load.end() ? TargetLoad{} : it->second;
  }
  EvaluateTargets(now);
}

bool TargetTable::RecordRateLimit(TimePoint now, TargetState& target,
                                  std::optional<double> per_second) {
  target.rate_limit_named_at = now;
  target.had_rate_limit = target.had_rate_limit || per_second.has_value();
  return std::exchange(target.named_rate_limit, per_second) != per_second;
}

TargetState* TargetTable::MergeRateLimit(TimePoint now,
                                         const NamedRateLimit& named) {
  const TimePoint named_at =
      now - std::clamp(named.age, Duration(0), kMaxRateLimitAge);
  for (auto& [id, target] : targets_) {
    if (target.id != named.target) {
      continue;
    }
    if (named_at <= target.rate_limit_named_at) {
      return nullptr;
    }
    return RecordRateLimit(named_at, target, named.per_second) ? &target
                                                               : nullptr;
  }
  return nullptr;
}

TargetState* TargetTable::RecordLeaving(const LeavingTarget& leaving) {
  for (auto& [id, target] : targets_) {
    if (target.id == leaving.target) {
      return target.entry.incarnation == leaving.incarnation &&
                     !std::exchange(target.is_leaving, true)
                 ? &target
                 : nullptr;
    }
  }
  return nullptr;
}

std::vector<LeavingTarget> TargetTable::LeavingTargets() const {
  std::vector<LeavingTarget> leaving;
  for (const auto& [id, target] : targets_) {
    if (target.is_leaving) {
      leaving.push_back({target.id, target.entry.incarnation});
    }
  }
  return leaving;
}

std::vector<NamedRateLimit> TargetTable::RateLimits(TimePoint now) const {
  std::vector<NamedRateLimit> limits;
  for (const auto& [id, target] : targets_) {
    const Duration age = now - target.rate_limit_named_at;
    if (target.named_rate_limit ||
        (target.had_rate_limit && age < kEndedRateLimitReportTime)) {
      limits.push_back({target.id, target.named_rate_limit, age});
    }
  }
  return limits;
}

double TargetTable::SpeedRatio(const std::string& service) const {
  const auto it = speed_ratios_.find(service);
  return it == speed_ratios_.end() ? 1.0 : it->second;
}

double TargetTable::MaxFailureRate(const std::string& service) const {
  const auto it = service_failure_rates_.find(service);
  return std::max(kMaxFailureRate, it == service_failure_rates_.end()
                                       ? 0.0
                                       : kMaxFailureRateRatio * it->second);
}

void TargetTable::EvaluateTargets(TimePoint now) {
  struct Rates {
    double ended_attempts = 0;
    double failed_attempts = 0;
  };
  std::map<std::string, Rates> rates_by_service;
  std::map<std::string, ServiceSpeeds> speeds_by_service;
  const auto fleet_rates = [now](const TargetState& target) {
    return Rates{
        target.ended_attempts.PerSecond(now) + target.peer_load.ended_attempts,
        target.failed_attempts.PerSecond(now) +
            target.peer_load.failed_attempts};
  };
  for (auto& [id, target] : targets_) {
    const Rates rates = fleet_rates(target);
    Rates& service_rates = rates_by_service[target.entry.service];
    service_rates.ended_attempts += rates.ended_attempts;
    service_rates.failed_attempts += rates.failed_attempts;
    FirstEventSums sums = target.speed.LocalSums(now);
    sums += {target.peer_load.first_events, target.peer_load.log_slowness,
             target.peer_load.speed_observations, target.peer_load.log_speed};
    speeds_by_service[target.entry.service].Add(target.speed, sums);
  }
  speed_ratios_.clear();
  for (auto& [service, speeds] : speeds_by_service) {
    speeds.Evaluate();
    speed_ratios_[service] = speeds.SpeedRatio();
  }
  service_failure_rates_.clear();
  for (const auto& [service, rates] : rates_by_service) {
    service_failure_rates_[service] =
        rates.ended_attempts > 0 ? rates.failed_attempts / rates.ended_attempts
                                 : 0.0;
  }
  for (auto& [id, target] : targets_) {
    const Rates rates = fleet_rates(target);
    if (rates.ended_attempts >= kMinOutcomes &&
        rates.failed_attempts >= kMinFleetFailures &&
        rates.failed_attempts >
            MaxFailureRate(target.entry.service) * rates.ended_attempts) {
      Eject(now, target, EjectionCause::kFleetFailureRate);
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

bool TargetTable::IsVersionInDoubt(const std::string& target_id,
                                   std::int64_t incarnation,
                                   VersionId version) {
  const TargetState* target = Find(target_id);
  return target != nullptr && target->entry.incarnation != incarnation &&
         !target->version.IsSame(version);
}

bool TargetTable::MayHaveRestartedSince(const std::string& target_id,
                                        TimePoint since) {
  const TargetState* target = Find(target_id);
  return target != nullptr && target->may_have_restarted &&
         target->may_have_restarted_since >= since;
}

VersionCounts TargetTable::CountVersions(TimePoint now,
                                         const std::string& service,
                                         VersionId version) {
  VersionCounts counts;
  for (const TargetState* it : OfService(service)) {
    if (IsInRotation(now, *it)) {
      ++(VersionOf(*it).IsSame(version) ? counts.same : counts.other);
    }
  }
  return counts;
}

std::string TargetTable::NameOfVersion(const std::string& service,
                                       VersionId version) {
  for (const TargetState* it : OfService(service)) {
    if (it->version.IsSame(version)) {
      return it->entry.version;
    }
  }
  return "";
}

bool TargetTable::IsInRotation(TimePoint now, const TargetState& target) const {
  return target.is_listed && now < target.removal_effective_at &&
         !target.entry.is_draining && !target.is_leaving &&
         !evacuated_zones_.contains(target.entry.zone);
}

}  // namespace corianderpost
