#include "corianderpost/internal/leases.h"

#include <algorithm>

#include "corianderpost/internal/membership.h"
#include "corianderpost/internal/timing.h"

namespace corianderpost::internal {

std::vector<TargetId> LeaseVoter::Vote(TimePoint now, VmId candidate,
                                       Incarnation incarnation,
                                       const std::vector<TargetId>& targets) {
  std::vector<TargetId> promised;
  if (waits_after_start_ && now < started_at_ + kLeaseLength) {
    return promised;
  }
  for (const TargetId target : targets) {
    Promise& promise = promises_[target];
    const bool is_same =
        promise.holder == candidate && promise.incarnation == incarnation;
    if (!is_same && now < promise.until) {
      continue;
    }
    promise = {candidate, incarnation, now + kLeaseLength};
    promised.push_back(target);
  }
  return promised;
}

std::vector<TargetId> LeaseHolder::TakeVote(
    TimePoint now, VmId voter, TimePoint asked_at,
    const std::vector<TargetId>& targets, const Membership& membership) {
  std::vector<TargetId> begun;
  for (const TargetId target : targets) {
    Votes& votes = votes_[target];
    const bool was_held = now < votes.held_until;
    TimePoint& until = votes.promised_until[voter];
    until = std::max(until, asked_at + kLeaseLength - kLeaseMargin);
    if (!HoldsUntil(now, now, target, membership)) {
      continue;
    }
    // The lease lasts at least as long as the shortest promise behind it.
    TimePoint held_until = TimePoint::max();
    for (const auto& [vm, promised] : votes.promised_until) {
      if (promised > now) {
        held_until = std::min(held_until, promised);
      }
    }
    votes.held_until = std::max(votes.held_until, held_until);
    if (!was_held) {
      begun.push_back(target);
    }
  }
  return begun;
}

bool LeaseHolder::HoldsUntil(TimePoint now, TimePoint until, TargetId target,
                             const Membership& membership) const {
  const auto it = votes_.find(target);
  if (it == votes_.end()) {
    return false;
  }
  std::set<VmId> voters;
  for (const auto& [vm, promised] : it->second.promised_until) {
    if (promised > until) {
      voters.insert(vm);
    }
  }
  return membership.IsMajority(now, target, voters);
}

bool LeaseHolder::CoversGrant(TimePoint now, TargetId target,
                              const Membership& membership) const {
  const auto it = votes_.find(target);
  return it != votes_.end() && now < it->second.held_until &&
         HoldsUntil(now, now + kGrantTtl, target, membership);
}

}  // namespace corianderpost::internal
