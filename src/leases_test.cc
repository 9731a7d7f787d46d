#include "corianderpost/internal/leases.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

#include "corianderpost/internal/membership.h"
#include "corianderpost/internal/timing.h"

namespace corianderpost::internal {
namespace {

const TargetId kTarget(77);
const TimePoint kStart(seconds(100));

std::shared_ptr<const VmList> ListOf(std::uint64_t revision,
                                     const std::vector<std::uint32_t>& ids) {
  std::vector<Vm> vms;
  for (const std::uint32_t id : ids) {
    Vm vm;
    vm.id = VmId(id);
    vm.role = VmRole::kRouter;
    vms.push_back(vm);
  }
  return VmList::Create(revision, std::move(vms));
}

TEST_CASE("a voter promises a target to one router at a time") {
  LeaseVoter voter(kStart - kLeaseLength, true);
  CHECK(voter.Vote(kStart, VmId(1), 1, {kTarget}).size() == 1);
  CHECK(voter.Vote(kStart, VmId(2), 1, {kTarget}).empty());
  CHECK(voter.Vote(kStart, VmId(1), 2, {kTarget}).empty());
  CHECK(voter.Vote(kStart + kLeaseLength, VmId(2), 1, {kTarget}).size() == 1);
}

TEST_CASE("a restarted voter, which forgot its promises, makes none at first") {
  LeaseVoter voter(kStart, true);
  CHECK(voter.Vote(kStart, VmId(2), 1, {kTarget}).empty());
  CHECK(voter.Vote(kStart + kLeaseLength, VmId(2), 1, {kTarget}).size() == 1);

  // Without the wait it would promise what its earlier life promised to
  // another.
  LeaseVoter hasty(kStart, false);
  CHECK(hasty.Vote(kStart, VmId(2), 1, {kTarget}).size() == 1);
}

TEST_CASE("a lease needs a majority and ends before the promises do") {
  Membership membership(VmId(1), "zone");
  membership.TakeList(kStart, ListOf(1, {1, 2, 3}));
  LeaseHolder holder;
  CHECK(
      holder.TakeVote(kStart, VmId(1), kStart, {kTarget}, membership).empty());
  CHECK_FALSE(holder.CoversGrant(kStart, kTarget, membership));
  CHECK(
      holder.TakeVote(kStart, VmId(2), kStart, {kTarget}, membership).size() ==
      1);
  CHECK(holder.CoversGrant(kStart, kTarget, membership));
  const TimePoint end = kStart + kLeaseLength - kLeaseMargin - kGrantTtl;
  CHECK_FALSE(holder.CoversGrant(end, kTarget, membership));
}

TEST_CASE("a replaced list keeps its say for the overlap") {
  Membership membership(VmId(1), "zone");
  membership.TakeList(kStart, ListOf(1, {1, 2, 3}));
  const TimePoint change = kStart + seconds(1);
  membership.TakeList(change, ListOf(2, {1, 4, 5}));
  const std::set<VmId> voters = {VmId(1), VmId(4), VmId(5)};
  CHECK_FALSE(membership.IsMajority(change, kTarget, voters));
  const TimePoint later = change + kListOverlap + milliseconds(1);
  CHECK(membership.IsMajority(later, kTarget, voters));
}

TEST_CASE("two routers never hold a lease at once, whatever is lost or late") {
  const bool holds = rc::check([] {
    constexpr std::uint32_t kRouters = 5;
    std::vector<std::uint32_t> ids;
    std::vector<LeaseVoter> voters;
    std::vector<LeaseHolder> holders(kRouters);
    std::vector<std::unique_ptr<Membership>> memberships;
    TimePoint now = kStart;
    for (std::uint32_t i = 0; i < kRouters; ++i) {
      ids.push_back(i + 1);
      voters.emplace_back(now - kLeaseLength, true);
    }
    for (std::uint32_t i = 0; i < kRouters; ++i) {
      memberships.push_back(std::make_unique<Membership>(VmId(i + 1), "zone"));
      memberships.back()->TakeList(now, ListOf(1, ids));
    }
    struct Vote {
      std::uint32_t holder;
      VmId voter;
      TimePoint asked_at;
    };
    std::vector<Vote> in_flight;
    const auto acts = *rc::gen::container<std::vector<std::uint32_t>>(
        400, rc::gen::inRange<std::uint32_t>(0, 1'000'000));
    for (const std::uint32_t act : acts) {
      now += milliseconds(act % 250);
      const std::uint32_t candidate = act / 11 % kRouters;
      const std::uint32_t voter = act / 101 % kRouters;
      if (act % 13 == 0) {
        // The voter restarts and forgets.
        voters[voter] = LeaseVoter(now, true);
      } else if (!voters[voter]
                      .Vote(now, VmId(candidate + 1), 1, {kTarget})
                      .empty()) {
        in_flight.push_back({candidate, VmId(voter + 1), now});
      }
      if (!in_flight.empty()) {
        const Vote vote = in_flight[act % in_flight.size()];
        holders[vote.holder].TakeVote(now, vote.voter, vote.asked_at, {kTarget},
                                      *memberships[vote.holder]);
      }
      int holding = 0;
      for (std::uint32_t i = 0; i < kRouters; ++i) {
        holding +=
            holders[i].CoversGrant(now, kTarget, *memberships[i]) ? 1 : 0;
      }
      RC_ASSERT(holding <= 1);
    }
  });
  CHECK(holds);
}

}  // namespace
}  // namespace corianderpost::internal
