#include "corianderpost/internal/target_slots.h"

#include <doctest/doctest.h>

#include "corianderpost/internal/timing.h"

namespace corianderpost::internal {
namespace {

const TimePoint kStart(seconds(100));

Service Model() {
  Service service;
  service.kind = ServiceKind::kModel;
  service.slots = 8;
  service.cold_slots = 2;
  return service;
}

// Slots of a target whose cold load has become known; moves `now` on.
TargetSlots KnownCold(TimePoint& now, int in_flight) {
  TargetSlots slots(ServiceKind::kModel);
  slots.TakeReport(now, {in_flight, true, now});
  now += kForeignGrantsEnd + kTransit + kLoadReportLag;
  slots.TakeReport(now, {in_flight, true, now});
  return slots;
}

TEST_CASE("a target without a report gets nothing") {
  const TargetSlots slots(ServiceKind::kModel);
  CHECK(slots.FreeSlots(kStart, Model(), true) == 0);
}

TEST_CASE("a warm target's slots are free but for grants and foreign work") {
  TargetSlots slots(ServiceKind::kModel);
  slots.TakeReport(kStart, {3, false, kStart});
  CHECK(slots.FreeSlots(kStart, Model(), false) == 5);
  slots.Add(kStart, 1, {});
  CHECK(slots.FreeSlots(kStart, Model(), false) == 4);
}

TEST_CASE("an old report makes no target warm") {
  TargetSlots slots(ServiceKind::kModel);
  slots.TakeReport(kStart, {0, false, kStart});
  const TimePoint late = kStart + kLoadReportFresh + milliseconds(1);
  CHECK_FALSE(slots.IsWarm(late));
  CHECK(slots.FreeSlots(late, Model(), true) == 0);
}

TEST_CASE("a report that waited in a paused process counts from its asking") {
  TargetSlots slots(ServiceKind::kModel);
  const TimePoint woken = kStart + seconds(20);
  slots.TakeReport(woken, {0, false, kStart});
  CHECK_FALSE(slots.IsWarm(woken));
}

TEST_CASE("a cold target needs the lease and waits until others must stop") {
  TimePoint now = kStart;
  TargetSlots slots = KnownCold(now, 0);
  CHECK(slots.FreeSlots(now, Model(), false) == 0);
  CHECK(slots.FreeSlots(now, Model(), true) == 2);
  slots.RequireNewReport(now);
  slots.TakeReport(now, {0, true, now});
  CHECK(slots.FreeSlots(now, Model(), true) == 0);
}

TEST_CASE("foreign work counts against a cold target until a report is free") {
  TimePoint now = kStart;
  TargetSlots slots = KnownCold(now, 1);
  CHECK(slots.FreeSlots(now, Model(), true) == 1);
  slots.Add(now, 1, {VmId(1), 1, ServiceId(), AccountId(), now, 0});
  CHECK(slots.FreeSlots(now, Model(), true) == 0);
  now += seconds(3);
  slots.TakeReport(now, {1, true, now});
  CHECK(slots.FreeSlots(now, Model(), true) == 1);
}

TEST_CASE("plain services have no cold start") {
  const TargetSlots slots(ServiceKind::kPlain);
  CHECK(slots.FreeSlots(kStart, Model(), false) == 8);
}

}  // namespace
}  // namespace corianderpost::internal
