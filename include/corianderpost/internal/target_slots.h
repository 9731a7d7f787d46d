// How much work one target may be given, as its owner sees it.
//
// The owner combines the grants that it has outstanding with the target's load
// reports, which lag. Work that the reports show beyond the owner's own grants
// is foreign: given by an earlier owner or left behind by a dead router.
#ifndef CORIANDERPOST_INTERNAL_TARGET_SLOTS_H_
#define CORIANDERPOST_INTERNAL_TARGET_SLOTS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include "corianderpost/bundle.h"
#include "corianderpost/clock.h"
#include "corianderpost/ids.h"

namespace corianderpost::internal {

struct OutstandingGrant {
  VmId requester;
  Incarnation requester_incarnation = 0;
  ServiceId service;
  AccountId account;
  TimePoint issued_at;
  // The requester's clock in the demand that the grant answered.
  std::int64_t demand_sent_at_us = 0;
};

// What a target said of its load.
struct TargetReport {
  int in_flight = 0;
  bool cold = false;
  // When it was asked. Its state is at most the report lag older.
  TimePoint asked_at;
};

// One target's slots. Belongs to one core; not thread-safe.
class TargetSlots {
 public:
  explicit TargetSlots(ServiceKind kind) : kind_(kind) {}

  void TakeReport(TimePoint now, const TargetReport& report);
  // Distrusts what is known of the target until a report whose state must be
  // of after `now`.
  void RequireNewReport(TimePoint now);

  // True if the target is known to be warm. Plain services always are.
  bool IsWarm(TimePoint now) const;
  // Returns how many more requests the target bears. `covered` tells whether
  // this router holds the target's lease.
  int FreeSlots(TimePoint now, const Service& service, bool covered) const;

  void Add(TimePoint now, std::uint64_t grant, OutstandingGrant details);
  // Returns the grant's details, or nothing if it is not outstanding.
  std::optional<OutstandingGrant> Remove(TimePoint now, std::uint64_t grant);
  const std::map<std::uint64_t, OutstandingGrant>& grants() const {
    return grants_;
  }

  // When the load was asked for last; for the owner's polling.
  TimePoint polled_at;

 private:
  struct Sample {
    TimePoint at;
    int outstanding = 0;
  };
  bool IsReportFresh(TimePoint now) const;
  // Upper bound of what runs on a cold target, and a fair guess for a warm one.
  int ColdLoad() const;
  int WarmLoad() const;
  void Record(TimePoint now);
  int MaxOutstandingSince(TimePoint since) const;

  const ServiceKind kind_;
  std::map<std::uint64_t, OutstandingGrant> grants_;
  // Outstanding grants over time.
  std::deque<Sample> history_;
  bool has_report_ = false;
  TargetReport report_;
  // Work that others may have given it and that may still run.
  int foreign_when_cold_ = 0;
  int foreign_when_warm_ = 0;
  // Reports that were asked for before this may be of an earlier state.
  TimePoint trust_warm_from_;
  // Before this, others may give it work that they take for warm.
  TimePoint trust_cold_from_;
  bool is_cold_load_known_ = false;
};

}  // namespace corianderpost::internal

#endif  // CORIANDERPOST_INTERNAL_TARGET_SLOTS_H_
