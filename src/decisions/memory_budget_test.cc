#include "decisions/memory_budget.h"

#include <doctest/doctest.h>

#include <utility>

namespace corianderpost {
namespace {

constexpr std::size_t kSmall = 1000;
constexpr std::size_t kLarge = 100'000;
constexpr std::size_t kLimit = 400'000;

TEST_CASE("A charge that does not fit is refused and changes nothing") {
  MemoryBudget budget(kLimit);
  MemoryCharge first(&budget);
  MemoryCharge second(&budget);
  CHECK(first.TrySet(2 * kLarge));
  CHECK_FALSE(second.TrySet(2 * kLarge));
  CHECK(budget.used() == 2 * kLarge);
  CHECK(second.bytes() == 0);
  CHECK(budget.refused_count() == 1);
}

TEST_CASE("Large messages leave a quarter of the limit to small ones") {
  MemoryBudget budget(kLimit);
  MemoryCharge large(&budget);
  CHECK(large.TrySet(kLimit / 4 * 3));
  CHECK(budget.IsShort());
  CHECK_FALSE(large.TrySet(kLimit / 4 * 3 + 1));
  MemoryCharge small(&budget);
  CHECK(small.TrySet(kSmall));
}

TEST_CASE("A charge is released at its end and moves with its message") {
  MemoryBudget budget(kLimit);
  {
    MemoryCharge first(&budget);
    CHECK(first.TrySet(kSmall));
    const MemoryCharge second = std::move(first);
    CHECK(second.bytes() == kSmall);
    CHECK(budget.used() == kSmall);
  }
  CHECK(budget.used() == 0);
  CHECK(budget.peak() == kSmall);
}

TEST_CASE("A message that can't be refused may exceed the limit") {
  MemoryBudget budget(kLimit);
  MemoryCharge charge(&budget);
  charge.Set(2 * kLimit);
  CHECK(budget.used() == 2 * kLimit);
  MemoryCharge other(&budget);
  CHECK_FALSE(other.TrySet(1));
}

TEST_CASE("A charge without a budget has no limit") {
  MemoryCharge charge;
  CHECK(charge.TrySet(2 * kLimit));
  CHECK(charge.bytes() == 2 * kLimit);
}

// Guards against one faulty sender's endless message that takes the memory of
// all others.
TEST_CASE("The largest reclaimable message is given up for a smaller one") {
  MemoryBudget budget(kLimit);
  MemoryCharge endless(&budget);
  MemoryCharge sound(&budget);
  CHECK(endless.TrySet(2 * kLarge));
  CHECK(sound.TrySet(kLarge));
  for (MemoryCharge* it : {&endless, &sound}) {
    budget.Add(it, {[it] { return it->bytes(); }, [it] { it->Set(0); }});
  }
  MemoryCharge other(&budget);
  CHECK(other.TrySet(kLarge));
  CHECK(endless.bytes() == 0);
  CHECK(sound.bytes() == kLarge);
  CHECK(budget.reclaimed_count() == 1);
}

TEST_CASE("No message is given up for a larger one") {
  MemoryBudget budget(kLimit);
  MemoryCharge small(&budget);
  CHECK(small.TrySet(kSmall));
  budget.Add(&small, {[&] { return small.bytes(); }, [&] { small.Set(0); }});
  MemoryCharge endless(&budget);
  CHECK_FALSE(endless.TrySet(kLimit));
  CHECK(small.bytes() == kSmall);
}

TEST_CASE("A message is not given up after it was removed") {
  MemoryBudget budget(kLimit);
  MemoryCharge complete(&budget);
  CHECK(complete.TrySet(2 * kLarge));
  budget.Add(&complete,
             {[&] { return complete.bytes(); }, [&] { complete.Set(0); }});
  budget.Remove(&complete);
  MemoryCharge other(&budget);
  CHECK_FALSE(other.TrySet(kLimit / 2));
  CHECK(complete.bytes() == 2 * kLarge);
}

// Guards against clients that keep unfinished messages until ordinary callers
// are refused.
TEST_CASE("The client that held the most for the longest makes room") {
  MemoryBudget budget(kLimit);
  MemoryCharge recent(&budget);
  MemoryCharge stalled(&budget);
  CHECK(recent.TrySet(kLarge));
  CHECK(stalled.TrySet(2 * kLarge));
  const auto add = [&budget](MemoryCharge& it, Duration held_for) {
    budget.Add(&it, {[&it] { return it.bytes(); }, [&it] { it.Set(0); },
                     [held_for] { return held_for; }});
  };
  add(recent, std::chrono::milliseconds(10));
  add(stalled, std::chrono::seconds(3));
  MemoryCharge other(&budget);
  CHECK(other.TrySet(kLarge));
  CHECK(stalled.bytes() == 0);
  CHECK(recent.bytes() == kLarge);
  CHECK(budget.evicted_count() == 1);
  CHECK(budget.reclaimed_count() == 0);
  // The client that grows has held more for longer.
  CHECK_FALSE(other.TrySet(3 * kLarge, std::chrono::seconds(1)));
  CHECK(recent.bytes() == kLarge);
}

TEST_CASE("Charges beyond the limit that can't be refused evict clients") {
  MemoryBudget budget(kLimit);
  MemoryCharge client(&budget);
  client.Set(2 * kLimit);
  budget.Add(&client, {[&] { return client.bytes(); }, [&] { client.Set(0); },
                       [] { return std::chrono::seconds(1); }});
  budget.MakeRoom();
  CHECK(budget.used() == 0);
  budget.MakeRoom();
  CHECK(budget.evicted_count() == 1);
}

}  // namespace
}  // namespace corianderpost
