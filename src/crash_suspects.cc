#include "corianderpost/internal/crash_suspects.h"

#include <algorithm>
#include <utility>

#include "corianderpost/internal/timing.h"

namespace corianderpost::internal {
namespace {

// How often a change is sent.
constexpr int kRepeats = 5;

}  // namespace

void CrashSuspects::NoteCrash(TimePoint now,
                              const std::vector<std::uint64_t>& aboard) {
  const bool has_known_suspect =
      std::any_of(aboard.begin(), aboard.end(),
                  [&](std::uint64_t it) { return IsSuspect(now, it); });
  for (const std::uint64_t it : aboard) {
    if (has_known_suspect && !IsSuspect(now, it)) {
      continue;
    }
    suspects_[it] = {CrashesOf(now, it) + 1, now + kSuspectLifetime};
    changed_[it] = kRepeats;
  }
}

void CrashSuspects::Clear(std::uint64_t fingerprint) {
  if (suspects_.erase(fingerprint) != 0) {
    changed_[fingerprint] = kRepeats;
  }
}

void CrashSuspects::Merge(TimePoint now, const SuspectUpdate& update) {
  for (const auto& it : update.entries) {
    if (it.crashes == 0) {
      suspects_.erase(it.fingerprint);
      continue;
    }
    if (it.crashes > CrashesOf(now, it.fingerprint)) {
      suspects_[it.fingerprint] = {it.crashes, now + kSuspectLifetime};
      // Passed on, as the peer that saw it may not reach everybody.
      changed_[it.fingerprint] = kRepeats;
    }
  }
}

std::uint32_t CrashSuspects::CrashesOf(TimePoint now,
                                       std::uint64_t fingerprint) const {
  const auto it = suspects_.find(fingerprint);
  return it == suspects_.end() || now >= it->second.until ? 0
                                                          : it->second.crashes;
}

bool CrashSuspects::IsSuspect(TimePoint now, std::uint64_t fingerprint) const {
  return CrashesOf(now, fingerprint) > 0;
}

bool CrashSuspects::IsQuarantined(TimePoint now,
                                  std::uint64_t fingerprint) const {
  return CrashesOf(now, fingerprint) >= kQuarantineCrashes;
}

SuspectUpdate CrashSuspects::TakeChanges() {
  SuspectUpdate update;
  for (auto it = changed_.begin(); it != changed_.end();) {
    const auto found = suspects_.find(it->first);
    update.entries.push_back(
        {it->first, found == suspects_.end() ? 0 : found->second.crashes});
    it = --it->second == 0 ? changed_.erase(it) : std::next(it);
  }
  return update;
}

SuspectUpdate CrashSuspects::Everything() const {
  SuspectUpdate update;
  for (const auto& [fingerprint, suspect] : suspects_) {
    update.entries.push_back({fingerprint, suspect.crashes});
  }
  return update;
}

void CrashSuspects::Expire(TimePoint now) {
  std::erase_if(suspects_,
                [now](const auto& it) { return now >= it.second.until; });
}

}  // namespace corianderpost::internal
