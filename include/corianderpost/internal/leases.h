// Leases on targets that may be cold.
//
// Only the holder of a target's lease gives work to it while it may be cold. A
// holder needs promises from a majority of the target's electorate; a voter
// promises to one router at a time and, as it forgets its promises in a
// restart, to none during the first lease length of its life.
#ifndef CORIANDERPOST_INTERNAL_LEASES_H_
#define CORIANDERPOST_INTERNAL_LEASES_H_

#include <map>
#include <set>
#include <vector>

#include "corianderpost/clock.h"
#include "corianderpost/ids.h"

namespace corianderpost::internal {

class Membership;

// Promises that this router has made. Belongs to one core; not thread-safe.
class LeaseVoter {
 public:
  // `waits_after_start` is false only in tests that show what it prevents.
  LeaseVoter(TimePoint started_at, bool waits_after_start)
      : started_at_(started_at), waits_after_start_(waits_after_start) {}

  // Returns the targets out of `targets` that `candidate` is promised.
  std::vector<TargetId> Vote(TimePoint now, VmId candidate,
                             Incarnation incarnation,
                             const std::vector<TargetId>& targets);

 private:
  struct Promise {
    VmId holder;
    Incarnation incarnation = 0;
    TimePoint until;
  };
  TimePoint started_at_;
  bool waits_after_start_;
  std::map<TargetId, Promise> promises_;
};

// Promises that this router has received. Belongs to one core; not thread-safe.
class LeaseHolder {
 public:
  // Notes a vote for the request that was sent at `asked_at`. Returns the
  // targets whose lease begins now, after a time without one.
  std::vector<TargetId> TakeVote(TimePoint now, VmId voter, TimePoint asked_at,
                                 const std::vector<TargetId>& targets,
                                 const Membership& membership);

  // Returns whether the lease covers `now` and the whole life of a grant that
  // is issued now.
  bool CoversGrant(TimePoint now, TargetId target,
                   const Membership& membership) const;

 private:
  bool HoldsUntil(TimePoint now, TimePoint until, TargetId target,
                  const Membership& membership) const;

  struct Votes {
    std::map<VmId, TimePoint> promised_until;
    TimePoint held_until;
  };
  std::map<TargetId, Votes> votes_;
};

}  // namespace corianderpost::internal

#endif  // CORIANDERPOST_INTERNAL_LEASES_H_
