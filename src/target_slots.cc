#include "corianderpost/internal/target_slots.h"

#include <algorithm>

#include "corianderpost/internal/timing.h"

namespace corianderpost::internal {

void TargetSlots::TakeReport(TimePoint now, int in_flight, bool cold) {
  if (cold && (!has_report_ || !reported_cold_)) {
    RequireNewReport(now);
  }
  has_report_ = true;
  reported_cold_ = cold;
  reported_at_ = now;
  if (!is_trusted_ && now >= trust_reports_from_) {
    is_trusted_ = true;
    foreign_ = std::max(0, in_flight - MinOutstanding(now));
    return;
  }
  // A cold target gets work from its lease holder alone, so that foreign work
  // can only become less. The other estimate fits a warm one.
  foreign_ =
      cold ? std::min(foreign_, std::max(0, in_flight - MinOutstanding(now)))
           : std::max(0, in_flight - MaxOutstanding(now));
}

void TargetSlots::RequireNewReport(TimePoint now) {
  is_trusted_ = false;
  trust_reports_from_ = now + kLoadReportLag;
}

bool TargetSlots::IsWarm(TimePoint now) const {
  if (kind_ == ServiceKind::kPlain) {
    return true;
  }
  return has_report_ && !reported_cold_ && is_trusted_ &&
         now - reported_at_ <= kLoadReportFresh;
}

int TargetSlots::FreeSlots(TimePoint now, const Service& service,
                           bool covered) const {
  const int outstanding = static_cast<int>(grants_.size());
  if (IsWarm(now)) {
    return service.slots - outstanding - foreign_;
  }
  const bool knows_load =
      has_report_ && is_trusted_ && now - reported_at_ <= kLoadReportFresh;
  if (!covered || !knows_load) {
    return 0;
  }
  return service.cold_slots - outstanding - foreign_;
}

void TargetSlots::Add(TimePoint now, std::uint64_t grant,
                      OutstandingGrant details) {
  grants_.emplace(grant, details);
  Record(now);
}

std::optional<OutstandingGrant> TargetSlots::Remove(TimePoint now,
                                                    std::uint64_t grant) {
  const auto it = grants_.find(grant);
  if (it == grants_.end()) {
    return std::nullopt;
  }
  const OutstandingGrant details = it->second;
  grants_.erase(it);
  Record(now);
  return details;
}

void TargetSlots::Record(TimePoint now) {
  history_.push_back({now, static_cast<int>(grants_.size())});
  // One sample older than the lag stays: it is the value at the lag's start.
  while (history_.size() > 1 && history_[1].at <= now - kLoadReportLag) {
    history_.pop_front();
  }
}

int TargetSlots::MinOutstanding(TimePoint now) const {
  int lowest = static_cast<int>(grants_.size());
  for (std::size_t i = 0; i < history_.size(); ++i) {
    const bool was_in_force =
        i + 1 == history_.size() || history_[i + 1].at > now - kLoadReportLag;
    if (was_in_force) {
      lowest = std::min(lowest, history_[i].outstanding);
    }
  }
  return history_.empty() || history_.front().at > now - kLoadReportLag
             ? 0
             : lowest;
}

int TargetSlots::MaxOutstanding(TimePoint now) const {
  int highest = static_cast<int>(grants_.size());
  for (std::size_t i = 0; i < history_.size(); ++i) {
    const bool was_in_force =
        i + 1 == history_.size() || history_[i + 1].at > now - kLoadReportLag;
    if (was_in_force) {
      highest = std::max(highest, history_[i].outstanding);
    }
  }
  return highest;
}

}  // namespace corianderpost::internal
