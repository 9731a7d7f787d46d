#include "soak/impairments.h"

#include <doctest/doctest.h>

namespace corianderpost::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Kind = Subject::Kind;

constexpr std::size_t kTargets = 2;
const TimePoint kSent(seconds(100));
const LostRequest kPassedOn = {0, kSent, kSent + milliseconds(20), 1};

TEST_CASE("Losing a request that was passed on during a stop is a violation") {
  Impairments impairments;
  impairments.Begin({Kind::kStopped, 0}, kSent - seconds(2));
  CHECK(JudgeLoss(kPassedOn, kTargets, impairments) == Loss::kPlanned);
}

TEST_CASE("A stop of another router is no planned work for a request") {
  Impairments impairments;
  impairments.Begin({Kind::kStopped, 1}, kSent - seconds(2));
  CHECK(JudgeLoss(kPassedOn, kTargets, impairments) == Loss::kUnplanned);
}

TEST_CASE("A close that crosses a request on its way is no loss") {
  Impairments impairments;
  impairments.Begin({Kind::kStopped, 0}, kSent - seconds(2));
  LostRequest request = kPassedOn;
  request.target.reset();
  CHECK(JudgeLoss(request, kTargets, impairments) == Loss::kCrossed);
}

TEST_CASE("A request that was held before the close is lost") {
  Impairments impairments;
  impairments.Note({Kind::kReload, 0}, kSent);
  const LostRequest request = {0, kSent, kSent + milliseconds(201), {}};
  CHECK(JudgeLoss(request, kTargets, impairments) == Loss::kPlanned);
}

TEST_CASE("An earlier fault of the router excuses a loss for a limited time") {
  Impairments impairments;
  impairments.Begin({Kind::kRouter, 0}, kSent - seconds(9));
  impairments.End({Kind::kRouter, 0}, kSent - seconds(4));
  CHECK(JudgeLoss(kPassedOn, kTargets, impairments) == Loss::kExcused);
  LostRequest later = kPassedOn;
  later.sent_at += milliseconds(1);
  later.ended_at += milliseconds(1);
  CHECK(JudgeLoss(later, kTargets, impairments) == Loss::kUnplanned);
}

TEST_CASE("A fault of another target does not excuse a loss") {
  Impairments impairments;
  impairments.Begin({Kind::kTarget, 0}, kSent);
  CHECK(JudgeLoss(kPassedOn, kTargets, impairments) == Loss::kUnplanned);
  LostRequest other = kPassedOn;
  other.target = 0;
  CHECK(JudgeLoss(other, kTargets, impairments) == Loss::kExcused);
}

TEST_CASE("An outage of the store does not excuse a loss") {
  Impairments impairments;
  impairments.Begin({Kind::kStore}, kSent);
  impairments.Note({Kind::kConfiguration}, kSent);
  CHECK(JudgeLoss(kPassedOn, kTargets, impairments) == Loss::kPlanned);
}

TEST_CASE("A second fault of a subject does not end with the first") {
  Impairments impairments;
  impairments.Begin({Kind::kTarget, 0}, kSent);
  impairments.Begin({Kind::kTarget, 0}, kSent + seconds(1));
  impairments.End({Kind::kTarget, 0}, kSent + seconds(2));
  CHECK(impairments.Overlaps({Kind::kTarget, 0}, kSent + seconds(2),
                             kSent + seconds(3)));
  CHECK_FALSE(impairments.Overlaps({Kind::kTarget, 0}, kSent + seconds(3),
                                   kSent + seconds(4)));
}

TEST_CASE("A leaving target gets no requests after the drain time") {
  Impairments impairments;
  impairments.Begin({Kind::kLeaving, 1}, kSent);
  CHECK_FALSE(IsLateAtLeavingTarget(0, 1, kSent + seconds(3), impairments));
  const TimePoint late = kSent + seconds(3) + milliseconds(1);
  CHECK(IsLateAtLeavingTarget(0, 1, late, impairments));
  CHECK_FALSE(IsLateAtLeavingTarget(0, 0, late, impairments));
}

TEST_CASE("An outage of the store excuses requests at leaving targets") {
  Impairments impairments;
  impairments.Begin({Kind::kLeaving, 1}, kSent);
  impairments.Note({Kind::kStore}, kSent - seconds(4));
  CHECK_FALSE(IsLateAtLeavingTarget(0, 1, kSent + seconds(5), impairments));
}

}  // namespace
}  // namespace corianderpost::soak
