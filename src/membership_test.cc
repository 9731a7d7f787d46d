#include "corianderpost/internal/membership.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

#include "corianderpost/internal/timing.h"

namespace corianderpost::internal {
namespace {

const TimePoint kStart(seconds(100));

Vm RouterVm(std::uint32_t id, const std::string& zone) {
  Vm vm;
  vm.id = VmId(id);
  vm.role = VmRole::kRouter;
  vm.zone = zone;
  return vm;
}

Vm TargetVm(std::uint32_t id, const std::string& zone) {
  Vm vm;
  vm.id = VmId(id);
  vm.zone = zone;
  return vm;
}

std::shared_ptr<const Bundle> Zones() {
  return *Bundle::Parse(
      R"({"zones":[{"name":"a","region":"west"},{"name":"b","region":"west"},
          {"name":"c","region":"east"}],"customers":[],"services":[]})",
      1);
}

Membership MembershipOf(std::uint32_t self, int routers) {
  Membership membership(VmId(self), "a");
  membership.TakeRegions(*Zones());
  std::vector<Vm> vms;
  for (int i = 1; i <= routers; ++i) {
    const char* zones[] = {"a", "b", "c"};
    vms.push_back(RouterVm(static_cast<std::uint32_t>(i), zones[i % 3]));
  }
  membership.TakeList(kStart, VmList::Create(1, std::move(vms)));
  return membership;
}

void Hear(Membership& membership, TimePoint now, std::uint32_t from,
          TimePoint echo) {
  Heartbeat heartbeat;
  heartbeat.serving = true;
  heartbeat.echo_us = echo.time_since_epoch().count();
  membership.NoteLife(VmId(from), 1);
  membership.TakeHeartbeat(now, VmId(from), heartbeat);
}

TEST_CASE("the owner is the naive choice: heard, same region, highest weight") {
  const bool holds = rc::check([](std::uint8_t heard, std::uint32_t target) {
    Membership membership = MembershipOf(1, 6);
    const Vm vm = TargetVm(target, "c");
    std::optional<VmId> naive;
    std::pair<bool, std::uint64_t> best;
    for (std::uint32_t i = 1; i <= 6; ++i) {
      if (i != 1 && (heard & (1U << i)) == 0) {
        continue;
      }
      if (i != 1) {
        Hear(membership, kStart, i, kStart);
      }
      const std::pair rank(i % 3 == 2, RendezvousWeight(i, target));
      if (!naive || rank > best) {
        naive = VmId(i);
        best = rank;
      }
    }
    RC_ASSERT(membership.OwnerOf(kStart, vm, true) == naive);
  });
  CHECK(holds);
}

TEST_CASE("a majority must have answered lately, not only be heard") {
  Membership membership = MembershipOf(1, 5);
  Hear(membership, kStart, 2, TimePoint());
  Hear(membership, kStart, 3, TimePoint());
  CHECK_FALSE(membership.HearsMajority(kStart));
  Hear(membership, kStart, 2, kStart);
  Hear(membership, kStart, 3, kStart);
  CHECK(membership.HearsMajority(kStart));
  CHECK_FALSE(membership.HearsMajority(kStart + kHeardWindow + seconds(1)));
}

TEST_CASE("heartbeats that waited for a paused router prove nothing") {
  Membership membership = MembershipOf(1, 3);
  const TimePoint woken = kStart + seconds(20);
  Hear(membership, woken, 2, kStart);
  Hear(membership, woken, 3, kStart);
  CHECK_FALSE(membership.HearsMajority(woken));
}

TEST_CASE("an older life's messages change nothing") {
  Membership membership = MembershipOf(1, 3);
  CHECK(membership.NoteLife(VmId(2), 5) == Membership::Life::kFirst);
  CHECK(membership.NoteLife(VmId(2), 5) == Membership::Life::kKnown);
  CHECK(membership.NoteLife(VmId(2), 4) == Membership::Life::kEnded);
  CHECK(membership.NoteLife(VmId(2), 6) == Membership::Life::kRestarted);
}

TEST_CASE("an older VM list is not taken") {
  Membership membership = MembershipOf(1, 3);
  CHECK_FALSE(membership.TakeList(kStart, VmList::Create(1, {})));
  CHECK(membership.TakeList(kStart, VmList::Create(2, {})));
}

TEST_CASE("in a large fleet each router knows few others") {
  const Membership membership = MembershipOf(1, 300);
  CHECK(membership.UsesRing());
  CHECK(membership.neighbours().size() == 8);
  CHECK(membership.Electorate(VmId(12345)).size() == 7);
}

}  // namespace
}  // namespace corianderpost::internal
