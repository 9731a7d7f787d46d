#include "decisions/crash_suspects.h"

#include <algorithm>

namespace corianderpost {
namespace {

// Crashes after which a request is refused, as the users ask.
constexpr std::size_t kHeldAfterCrashes = 3;
// A suspect that did not come again for this long is forgotten.
constexpr Duration kMemory = std::chrono::seconds(120);
// Reports are told to peers for this long.
constexpr Duration kToldFor = std::chrono::seconds(2);
// Bounds the memory and the size of messages.
constexpr std::size_t kMaxSuspects = 4096;
constexpr std::size_t kMaxTold = 64;

}  // namespace

bool CrashSuspects::Blame(TimePoint now, const CrashReport& report) {
  if (const auto it = innocent_.find(report.request); it != innocent_.end()) {
    if (now - it->second <= kMemory) {
      return false;
    }
    innocent_.erase(it);
  }
  if (suspects_.size() >= kMaxSuspects) {
    std::erase_if(suspects_, [now](const auto& it) {
      return it.second.last_at < now - kMemory;
    });
    if (suspects_.size() >= kMaxSuspects) {
      suspects_.erase(suspects_.begin());
    }
  }
  Suspect& suspect = suspects_[report.request];
  suspect.last_at = now;
  return suspect.crashes.emplace(report.crash_id, now).second;
}

void CrashSuspects::Clear(TimePoint now, RequestFingerprint request) {
  const auto innocent = innocent_.find(request);
  if (innocent != innocent_.end()) {
    innocent->second = now;
  } else if (suspects_.erase(request) > 0) {
    if (innocent_.size() >= kMaxSuspects) {
      innocent_.erase(innocent_.begin());
    }
    innocent_.emplace(request, now);
  }
}

bool CrashSuspects::IsHeld(TimePoint now, RequestFingerprint request) const {
  const auto it = suspects_.find(request);
  return it != suspects_.end() &&
         it->second.crashes.size() >= kHeldAfterCrashes &&
         it->second.last_at >= now - kMemory;
}

int CrashSuspects::CrashCount(RequestFingerprint request) const {
  const auto it = suspects_.find(request);
  return it == suspects_.end() ? 0
                               : static_cast<int>(it->second.crashes.size());
}

std::vector<CrashReport> CrashSuspects::Recent(TimePoint now) const {
  std::vector<CrashReport> reports;
  for (const auto& [request, suspect] : suspects_) {
    for (const auto& [crash_id, at] : suspect.crashes) {
      if (at >= now - kToldFor && reports.size() < kMaxTold) {
        reports.push_back({request, crash_id});
      }
    }
  }
  return reports;
}

}  // namespace corianderpost
