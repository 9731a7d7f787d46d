#include "decisions/version_history.h"

#include <algorithm>

namespace corianderpost {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The target list is up to date if it was confirmed at most this long ago.
constexpr Duration kMaxListAge = milliseconds(2600);
// A version counts as in use for this long after its last target was removed
// from the list: routers with an older list may still begin streams there.
constexpr Duration kUseAfterRemoval = seconds(5);
// Time from the start of a target until routers with a current list see it.
constexpr Duration kMaxListingDelay = milliseconds(1500);
// Bounds of the difference between the clocks of two VMs, and of the age of a
// target as they show it.
constexpr Duration kMaxClockDifference = seconds(1);
constexpr milliseconds kMaxAgeByClocks = std::chrono::hours(24);
// For how long uses of versions and runs of targets are remembered; bounds the
// time for which knowledge can have no gap.
constexpr Duration kUseRetention = std::chrono::minutes(10);
constexpr Duration kRunRetention = seconds(90);
// Runs that are remembered of one target.
constexpr std::size_t kMaxRunsPerTarget = 4;
// Bounds the memory, and the size of a message with all uses.
constexpr std::size_t kMaxUses = 2048;
// A peer's report of a use counts as news if it is later than what is known by
// this much. Otherwise the time that reports take would add up while routers
// report the same use to each other.
constexpr Duration kMinUseAdvance = seconds(1);

}  // namespace

bool VersionHistory::IsFresh(TimePoint now) const {
  return covered_since_ && now - confirmed_at_ <= kMaxListAge;
}

void VersionHistory::RecordTarget(TimePoint now, std::uint64_t wall_millis,
                                  const TargetEntry& entry) {
  const VersionId version = VersionId::FromName(entry.version);
  RecordUse(now, ServiceId::FromName(entry.service), version);
  RunHistory& history = runs_[TargetId::FromName(entry.id)];
  history.last_seen_at = now;
  const bool is_known = std::any_of(
      history.runs.begin(), history.runs.end(), [&](const Run& run) {
        return run.incarnation == entry.incarnation && run.version == version;
      });
  if (is_known) {
    return;
  }
  if (history.runs.size() >= kMaxRunsPerTarget) {
    history.runs.erase(history.runs.begin());
    // The run that is forgotten may have begun earlier than this one.
    history.runs.front().began_after = TimePoint::min();
  }
  Run run{entry.incarnation, version, TimePoint::min()};
  if (covered_since_) {
    // The run was not listed when the list was last confirmed. It may have been
    // unable to reach the store for longer; then the clocks show it.
    const Duration age_by_clocks =
        std::clamp(milliseconds(static_cast<std::int64_t>(wall_millis) -
                                entry.incarnation),
                   milliseconds(0), kMaxAgeByClocks);
    run.began_after = std::min(confirmed_at_ - kMaxListingDelay,
                               now - age_by_clocks - kMaxClockDifference);
  }
  history.runs.push_back(run);
}

void VersionHistory::RecordUse(TimePoint at, ServiceId service,
                               VersionId version) {
  const auto [it, is_new] = uses_[service].try_emplace(version, at);
  it->second = std::max(it->second, at);
}

void VersionHistory::MergeUse(TimePoint now, const VersionUse& use) {
  const TimePoint at =
      now - std::clamp(use.age, Duration(0), Duration(kUseRetention));
  const auto [it, is_new] = uses_[use.service].try_emplace(use.version, at);
  if (at - it->second >= kMinUseAdvance) {
    it->second = at;
  }
}

void VersionHistory::ConfirmList(TimePoint confirmed_at) {
  if (!covered_since_ || confirmed_at - confirmed_at_ > kMaxListAge) {
    // Other versions may have been in use until now.
    covered_since_ = confirmed_at + kUseAfterRemoval;
  }
  confirmed_at_ = std::max(confirmed_at_, confirmed_at);
}

void VersionHistory::MergeCoverage(TimePoint now, Duration coverage) {
  if (coverage > Duration(0) && IsFresh(now)) {
    covered_since_ = std::min(*covered_since_, now - coverage);
  }
}

void VersionHistory::Expire(TimePoint now) {
  std::size_t count = 0;
  for (auto service = uses_.begin(); service != uses_.end();) {
    std::erase_if(service->second, [now](const auto& it) {
      return now - it.second > kUseRetention;
    });
    count += service->second.size();
    service =
        service->second.empty() ? uses_.erase(service) : std::next(service);
  }
  if (covered_since_) {
    covered_since_ = std::max(*covered_since_, now - kUseRetention);
  }
  while (count > kMaxUses) {
    // What is forgotten limits what is known to have no gap.
    auto oldest_service = uses_.end();
    std::map<VersionId, TimePoint>::iterator oldest;
    for (auto service = uses_.begin(); service != uses_.end(); ++service) {
      for (auto it = service->second.begin(); it != service->second.end();
           ++it) {
        if (oldest_service == uses_.end() || it->second < oldest->second) {
          oldest_service = service;
          oldest = it;
        }
      }
    }
    if (covered_since_) {
      covered_since_ =
          std::max(*covered_since_, oldest->second + kUseAfterRemoval);
    }
    oldest_service->second.erase(oldest);
    if (oldest_service->second.empty()) {
      uses_.erase(oldest_service);
    }
    --count;
  }
  std::erase_if(runs_, [now](const auto& it) {
    return now - it.second.last_seen_at > kRunRetention;
  });
}

std::optional<OnlyVersion> VersionHistory::FindOnlyVersion(
    TimePoint now, ServiceId service, TimePoint since) const {
  const auto uses = uses_.find(service);
  if (!IsFresh(now) || *covered_since_ > since || uses == uses_.end()) {
    return std::nullopt;
  }
  OnlyVersion only;
  only.since = *covered_since_;
  for (const auto& [version, last_use] : uses->second) {
    if (last_use + kUseAfterRemoval < since) {
      only.since = std::max(only.since, last_use + kUseAfterRemoval);
    } else if (only.version.is_known() || !version.is_known()) {
      return std::nullopt;
    } else {
      only.version = version;
    }
  }
  return only.version.is_known() ? std::optional(only) : std::nullopt;
}

bool VersionHistory::IsCertain(TimePoint begun_at, TargetId target,
                               std::int64_t incarnation,
                               VersionId version) const {
  const auto history = runs_.find(target);
  if (history == runs_.end()) {
    return true;
  }
  const std::vector<Run>& runs = history->second.runs;
  const auto known =
      std::find_if(runs.begin(), runs.end(), [&](const Run& run) {
        return run.incarnation == incarnation && run.version == version;
      });
  const auto may_be_replaced = [&](const Run& run) {
    return !run.version.IsSame(version) && begun_at >= run.began_after;
  };
  if (known != runs.end()) {
    return std::none_of(known, runs.end(), may_be_replaced);
  }
  return std::none_of(runs.begin(), runs.end(), [&](const Run& run) {
    return run.incarnation >= incarnation && may_be_replaced(run);
  });
}

bool VersionHistory::HasOther(ServiceId service, VersionId version,
                              TimePoint since) const {
  const auto uses = uses_.find(service);
  return uses != uses_.end() &&
         std::any_of(uses->second.begin(), uses->second.end(),
                     [&](const auto& it) {
                       return !it.first.IsSame(version) &&
                              it.second + kUseAfterRemoval >= since;
                     });
}

Duration VersionHistory::Coverage(TimePoint now) const {
  return IsFresh(now) ? std::max(Duration(0), now - *covered_since_)
                      : Duration(0);
}

std::optional<std::vector<VersionUse>> VersionHistory::AllUses(
    TimePoint now) const {
  std::vector<VersionUse> uses;
  for (const auto& [service, versions] : uses_) {
    for (const auto& [version, last_use] : versions) {
      uses.push_back({service, version, std::max(Duration(0), now - last_use)});
    }
  }
  return uses.size() > kMaxUses ? std::nullopt : std::optional(uses);
}

std::vector<VersionUse> VersionHistory::UsesOf(TimePoint now,
                                               ServiceId service) const {
  std::vector<VersionUse> recent;
  if (const auto uses = uses_.find(service); uses != uses_.end()) {
    for (const auto& [version, last_use] : uses->second) {
      if (now - last_use <= kUseAfterRemoval) {
        recent.push_back(
            {service, version, std::max(Duration(0), now - last_use)});
      }
    }
  }
  return recent;
}

std::vector<VersionUse> VersionHistory::MixedUses(TimePoint now) const {
  std::vector<VersionUse> mixed;
  for (const auto& [service, versions] : uses_) {
    if (versions.size() < 2) {
      continue;
    }
    const std::vector<VersionUse> recent = UsesOf(now, service);
    if (recent.size() > 1) {
      mixed.insert(mixed.end(), recent.begin(), recent.end());
    }
  }
  return mixed;
}

}  // namespace corianderpost
