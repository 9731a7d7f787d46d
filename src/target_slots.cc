#include "corianderpost/internal/target_slots.h"

#include <algorithm>

#include "corianderpost/internal/timing.h"

namespace corianderpost::internal {
namespace {

// How long samples are kept.
constexpr Duration kMemory = seconds(5);

}  // namespace

void TargetSlots::TakeReport(TimePoint now, const TargetReport& report) {
  if (has_report_ && report.asked_at < report_.asked_at) {
    return;
  }
  if (report.cold && (!has_report_ || !report_.cold)) {
    RequireNewReport(now);
  }
  has_report_ = true;
  report_ = report;
  foreign_when_warm_ =
      std::max(0, report.in_flight -
                      MaxOutstandingSince(report.asked_at - kLoadReportLag));
  if (!is_cold_load_known_ && report.asked_at >= trust_cold_from_) {
    is_cold_load_known_ = true;
    // Any of it may be foreign: a grant of this owner need not have begun.
    foreign_when_cold_ = report.in_flight;
  }
  // A cold target gets work from its lease holder alone, so that foreign work
  // can only become less.
  foreign_when_cold_ = std::min(foreign_when_cold_, report.in_flight);
}

void TargetSlots::RequireNewReport(TimePoint now) {
  is_cold_load_known_ = false;
  trust_warm_from_ = now + kLoadReportLag;
  trust_cold_from_ = now + kForeignGrantsEnd + kTransit + kLoadReportLag;
}

bool TargetSlots::IsReportFresh(TimePoint now) const {
  return has_report_ && now - report_.asked_at <= kLoadReportFresh;
}

bool TargetSlots::IsWarm(TimePoint now) const {
  return kind_ == ServiceKind::kPlain || (IsReportFresh(now) && !report_.cold &&
                                          report_.asked_at >= trust_warm_from_);
}

int TargetSlots::ColdLoad() const {
  const int outstanding = static_cast<int>(grants_.size());
  const TimePoint state_at = report_.asked_at - kLoadReportLag;
  // A grant that was issued this late may have been used after that state.
  const TimePoint used_from = state_at - kGrantTtl - kTransit;
  const auto used_since = std::count_if(
      grants_.begin(), grants_.end(),
      [&](const auto& it) { return it.second.issued_at >= used_from; });
  // Both are upper bounds of what runs there now.
  return std::min(outstanding + foreign_when_cold_,
                  report_.in_flight + static_cast<int>(used_since));
}

int TargetSlots::WarmLoad() const {
  return static_cast<int>(grants_.size()) + foreign_when_warm_;
}

int TargetSlots::FreeSlots(TimePoint now, const Service& service,
                           bool covered) const {
  if (IsWarm(now)) {
    return service.slots - WarmLoad();
  }
  if (!covered || !IsReportFresh(now) || !is_cold_load_known_) {
    return 0;
  }
  return service.cold_slots - ColdLoad();
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
  // One older sample stays: it is the value at the memory's start.
  while (history_.size() > 1 && history_[1].at <= now - kMemory) {
    history_.pop_front();
  }
}

int TargetSlots::MaxOutstandingSince(TimePoint since) const {
  int highest = static_cast<int>(grants_.size());
  for (std::size_t i = 0; i < history_.size(); ++i) {
    const bool was_in_force =
        i + 1 == history_.size() || history_[i + 1].at > since;
    if (was_in_force) {
      highest = std::max(highest, history_[i].outstanding);
    }
  }
  return highest;
}

}  // namespace corianderpost::internal
