#include "decisions/crash_suspects.h"

#include <algorithm>

namespace corianderpost {
namespace {

// Number of crashes after which a request must be rejected.
constexpr std::size_t kQuarantineCrashCount = 3;
// Time after the last crash report for which a suspect is remembered, and after
// the last completion for which a request stays cleared.
constexpr Duration kSuspectRetention = std::chrono::seconds(120);
// Time for which a crash is included in peer reports.
constexpr Duration kReportWindow = std::chrono::seconds(2);
// Limits on memory use and on the size of peer reports.
constexpr std::size_t kMaxSuspects = 4096;
constexpr std::size_t kMaxReports = 64;

}  // namespace

bool CrashSuspects::RecordCrash(TimePoint now, const CrashReport& report) {
  if (const auto it = cleared_.find(report.fingerprint); it != cleared_.end()) {
    if (now - it->second <= kSuspectRetention) {
      ++counts_.cleared;
      return false;
    }
    cleared_.erase(it);
  }
  if (suspects_.size() >= kMaxSuspects) {
    std::erase_if(suspects_, [now](const auto& it) {
      return it.second.last_crash_at < now - kSuspectRetention;
    });
    if (suspects_.size() >= kMaxSuspects) {
      suspects_.erase(suspects_.begin());
      ++counts_.dropped;
    }
  }
  Suspect& suspect = suspects_[report.fingerprint];
  suspect.last_crash_at = now;
  const bool is_new = suspect.crashes.emplace(report.crash_id, now).second;
  counts_.recorded += is_new ? 1 : 0;
  return is_new;
}

void CrashSuspects::Clear(TimePoint now, RequestFingerprint fingerprint) {
  const auto cleared = cleared_.find(fingerprint);
  if (cleared != cleared_.end()) {
    cleared->second = now;
  } else if (suspects_.erase(fingerprint) > 0) {
    if (cleared_.size() >= kMaxSuspects) {
      cleared_.erase(cleared_.begin());
    }
    cleared_.emplace(fingerprint, now);
  }
}

bool CrashSuspects::IsQuarantined(TimePoint now,
                                  RequestFingerprint fingerprint) const {
  const auto it = suspects_.find(fingerprint);
  return it != suspects_.end() &&
         it->second.crashes.size() >= kQuarantineCrashCount &&
         it->second.last_crash_at >= now - kSuspectRetention;
}

int CrashSuspects::CrashCount(RequestFingerprint fingerprint) const {
  const auto it = suspects_.find(fingerprint);
  return it == suspects_.end() ? 0
                               : static_cast<int>(it->second.crashes.size());
}

std::vector<CrashReport> CrashSuspects::RecentReports(TimePoint now) {
  std::vector<CrashReport> reports;
  for (const auto& [fingerprint, suspect] : suspects_) {
    for (const auto& [crash_id, reported_at] : suspect.crashes) {
      if (reported_at < now - kReportWindow) {
        continue;
      }
      if (reports.size() < kMaxReports) {
        reports.push_back({fingerprint, crash_id});
      } else {
        ++counts_.left_out;
      }
    }
  }
  return reports;
}

}  // namespace corianderpost
