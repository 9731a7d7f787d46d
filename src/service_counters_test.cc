#include "corianderpost/internal/service_counters.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>

namespace corianderpost::internal {
namespace {

const AccountId kAccount(5);
const TimePoint kNow(std::chrono::seconds(1));

CounterUpdate Everything(ServiceCounters& from, VmId to) {
  return from.ChangesFor(to, true, [](VmId) { return true; });
}

TEST_CASE("merging in any order, with copies, equals a naive central count") {
  const bool holds = rc::check([] {
    constexpr std::uint32_t kRouters = 3;
    std::vector<ServiceCounters> routers;
    for (std::uint32_t i = 0; i < kRouters; ++i) {
      routers.emplace_back(VmId(i + 1), 1);
    }
    std::map<std::uint32_t, std::uint64_t> central;
    std::vector<CounterUpdate> sent;
    const auto acts = *rc::gen::container<std::vector<std::uint32_t>>(
        rc::gen::inRange<std::uint32_t>(0, 1'000'000));
    for (const std::uint32_t act : acts) {
      ServiceCounters& router = routers[act % kRouters];
      const std::uint32_t account = act / 7 % 4;
      if (act % 2 == 0) {
        router.Charge(AccountId(account), act % 100);
        central[account] += act % 100;
      } else {
        sent.push_back(Everything(router, VmId(9)));
      }
      if (!sent.empty()) {
        // Any earlier update may come now, late or again.
        routers[act / 3 % kRouters].Merge(kNow, VmId(9),
                                          sent[act % sent.size()]);
      }
    }
    for (auto& from : routers) {
      const CounterUpdate all = Everything(from, VmId(9));
      for (auto& to : routers) {
        to.Merge(kNow, VmId(9), all);
      }
    }
    for (auto& router : routers) {
      for (const auto& [account, units] : central) {
        RC_ASSERT(router.Served(AccountId(account)) == units);
      }
    }
  });
  CHECK(holds);
}

TEST_CASE("a restarted router's service is remembered by its peers") {
  ServiceCounters peer(VmId(1), 1);
  ServiceCounters first_life(VmId(2), 10);
  first_life.Charge(kAccount, 100);
  peer.Merge(kNow, VmId(2), Everything(first_life, VmId(1)));

  ServiceCounters second_life(VmId(2), 11);
  second_life.Merge(kNow, VmId(1), Everything(peer, VmId(2)));
  second_life.Charge(kAccount, 7);
  CHECK(second_life.Served(kAccount) == 107);
}

TEST_CASE("a lift raises the total but not the service received") {
  ServiceCounters counters(VmId(1), 1);
  counters.Charge(kAccount, 10);
  counters.LiftTo(kAccount, 50);
  counters.LiftTo(kAccount, 30);
  CHECK(counters.Total(kAccount) == 50);
  CHECK(counters.Served(kAccount) == 10);
}

TEST_CASE("only what changed is sent, and not back to where it came from") {
  ServiceCounters counters(VmId(1), 1);
  counters.Charge(kAccount, 10);
  const auto all = [](VmId) { return true; };
  CHECK(counters.ChangesFor(VmId(2), false, all).served.size() == 1);
  CHECK(counters.ChangesFor(VmId(2), false, all).served.empty());

  ServiceCounters other(VmId(3), 1);
  other.Charge(kAccount, 4);
  counters.Merge(kNow, VmId(3), Everything(other, VmId(1)));
  CHECK(counters.ChangesFor(VmId(3), false, all).served.size() == 1);
  CHECK(counters.ChangesFor(VmId(2), false, all).served.size() == 1);
}

}  // namespace
}  // namespace corianderpost::internal
