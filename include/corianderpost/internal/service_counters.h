// Service that each account has received over the whole fleet.
//
// Every router incarnation counts what it gave; counters only grow, so merging
// takes the larger value and is safe under loss, repetition and reordering. A
// restarted router's earlier counters live on at its peers.
#ifndef CORIANDERPOST_INTERNAL_SERVICE_COUNTERS_H_
#define CORIANDERPOST_INTERNAL_SERVICE_COUNTERS_H_

#include <compare>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <vector>

#include "corianderpost/clock.h"
#include "corianderpost/peer_message.h"

namespace corianderpost::internal {

// Belongs to one core; not thread-safe.
class ServiceCounters {
 public:
  ServiceCounters(VmId self, Incarnation incarnation)
      : self_(self), incarnation_(incarnation) {}

  // Counts for another life of this router from now on.
  void SetIncarnation(Incarnation incarnation) { incarnation_ = incarnation; }

  // Adds units that this router gave.
  void Charge(AccountId account, std::uint64_t units);
  // Merges a peer's update. `from` is not sent these entries again.
  void Merge(TimePoint now, VmId from, const CounterUpdate& update);

  // Units received over the fleet, with the lift, as far as known.
  std::uint64_t Total(AccountId account) const;
  // Units received over the fleet without the lift.
  std::uint64_t Served(AccountId account) const;
  // Raises the account's lift so that `Total` is at least `floor`.
  void LiftTo(AccountId account, std::uint64_t floor);

  // True if a peer said within `window` that the account has work waiting.
  bool IsBackloggedElsewhere(TimePoint now, AccountId account,
                             Duration window) const;

  // Decides which entries an update to a peer carries.
  using Filter = std::function<bool(VmId router)>;
  // Returns what changed since the last update to `peer`. With `everything`,
  // returns all entries that pass the filter.
  CounterUpdate ChangesFor(VmId peer, bool everything, const Filter& relays);

  // In large fleets: returns this router's own counters and all lifts that
  // changed lately, by the account's home. Each change comes a few times.
  using HomeOf = std::function<VmId(AccountId account)>;
  std::map<VmId, CounterUpdate> ChangesByHome(const HomeOf& home_of);
  // Makes the next report to homes carry everything.
  void ReportEverything() { reported_changes_.clear(); }
  // Notes what a home says that an account received over the fleet.
  void NoteFleetTotal(AccountId account, std::uint64_t units);

  std::size_t entries() const { return served_.size(); }

 private:
  struct Key {
    AccountId account;
    VmId router;
    Incarnation incarnation;
    friend auto operator<=>(const Key&, const Key&) = default;
  };
  struct Entry {
    std::uint64_t units = 0;
    std::uint64_t changed_at = 0;
    VmId learnt_from;
  };

  void Raise(const Key& key, std::uint64_t units, VmId learnt_from);

  const VmId self_;
  Incarnation incarnation_;
  std::map<Key, Entry> served_;
  std::map<AccountId, std::uint64_t> totals_;
  std::map<AccountId, Entry> lifts_;
  std::map<AccountId, TimePoint> backlogged_elsewhere_;
  std::map<VmId, std::uint64_t> sent_up_to_;
  std::uint64_t change_ = 0;
  std::map<AccountId, std::uint64_t> fleet_totals_;
  // `change_` at the last reports to homes, oldest first.
  std::deque<std::uint64_t> reported_changes_;
};

}  // namespace corianderpost::internal

#endif  // CORIANDERPOST_INTERNAL_SERVICE_COUNTERS_H_
