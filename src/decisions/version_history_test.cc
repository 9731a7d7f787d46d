#include "decisions/version_history.h"

#include <doctest/doctest.h>

#include <string>

namespace corianderpost {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart(seconds(1000));
const ServiceId kService = ServiceId::FromName("chat");
const VersionId kOld = VersionId::FromName("1.0");
const VersionId kNew = VersionId::FromName("1.1");
const TargetId kTarget = TargetId::FromName("t1");
constexpr Duration kStep = milliseconds(500);

TargetEntry MakeEntry(const std::string& id, const std::string& version,
                      std::int64_t incarnation = 1) {
  TargetEntry entry;
  entry.id = id;
  entry.service = "chat";
  entry.version = version;
  entry.incarnation = incarnation;
  return entry;
}

// A router that sees the target list.
struct Observer {
  VersionHistory history;
  TimePoint now = kStart;
  std::vector<TargetEntry> targets;

  // Follows the target list for `duration`.
  void Observe(Duration duration) {
    for (const TimePoint end = now + duration; now <= end; now += kStep) {
      for (const TargetEntry& it : targets) {
        // The clocks show that the target has just started.
        history.RecordTarget(now, static_cast<std::uint64_t>(it.incarnation),
                             it);
      }
      history.ConfirmList(now);
      history.Expire(now);
    }
    now -= kStep;
  }
  std::optional<VersionId> OnlyVersionFor(Duration duration) const {
    const auto only = history.FindOnlyVersion(now, kService, now - duration);
    return only ? std::optional(only->version) : std::nullopt;
  }
};

TEST_CASE("A version is proven once it was the only one for long enough") {
  Observer router;
  router.targets = {MakeEntry("t1", "1.0"), MakeEntry("t2", "1.0")};
  router.Observe(seconds(30));
  CHECK(router.OnlyVersionFor(seconds(20)) == kOld);
  CHECK(router.OnlyVersionFor(seconds(40)) == std::nullopt);
  router.Observe(seconds(60));
  CHECK(router.OnlyVersionFor(seconds(60)) == kOld);
}

TEST_CASE("A router that has just started proves nothing") {
  Observer router;
  router.targets = {MakeEntry("t1", "1.0")};
  CHECK(router.OnlyVersionFor(seconds(1)) == std::nullopt);
  router.Observe(seconds(4));
  // A version that was removed before may still be in use at other routers.
  CHECK(router.OnlyVersionFor(seconds(1)) == std::nullopt);
  CHECK(router.history.Coverage(router.now) == Duration(0));
}

TEST_CASE("No version is proven while two are in use") {
  Observer router;
  router.targets = {MakeEntry("t1", "1.0"), MakeEntry("t2", "1.0")};
  router.Observe(seconds(90));
  router.targets[1].version = "1.1";
  router.Observe(seconds(1));
  CHECK(router.OnlyVersionFor(milliseconds(1)) == std::nullopt);
  CHECK(router.history.MixedUses(router.now).size() == 2);
}

TEST_CASE("The new version is proven only for the time after the old one") {
  Observer router;
  router.targets = {MakeEntry("t1", "1.0")};
  router.Observe(seconds(90));
  router.targets = {MakeEntry("t2", "1.1")};
  router.Observe(seconds(3));
  CHECK(router.OnlyVersionFor(milliseconds(1)) == std::nullopt);
  router.Observe(seconds(30));
  CHECK(router.OnlyVersionFor(seconds(20)) == kNew);
  CHECK(router.OnlyVersionFor(seconds(60)) == std::nullopt);
  CHECK(router.history.MixedUses(router.now).empty());
  router.Observe(seconds(60));
  CHECK(router.OnlyVersionFor(seconds(60)) == kNew);
}

TEST_CASE("The age of a proof is the time since another version") {
  Observer router;
  router.targets = {MakeEntry("t1", "1.0")};
  router.Observe(seconds(90));
  const TimePoint last_use = router.now;
  router.targets = {MakeEntry("t2", "1.1")};
  router.Observe(seconds(30));
  const auto only = router.history.FindOnlyVersion(router.now, kService,
                                                   router.now - seconds(10));
  REQUIRE(only.has_value());
  CHECK(only->since >= last_use);
  CHECK(only->since <= last_use + seconds(6));
}

TEST_CASE("Three versions are all known") {
  Observer router;
  router.targets = {MakeEntry("t1", "1.0"), MakeEntry("t2", "1.1"),
                    MakeEntry("t3", "1.2")};
  router.Observe(seconds(90));
  CHECK(router.history.MixedUses(router.now).size() == 3);
  router.targets.pop_back();
  router.Observe(seconds(90));
  CHECK(router.history.MixedUses(router.now).size() == 2);
  CHECK(router.OnlyVersionFor(seconds(1)) == std::nullopt);
}

TEST_CASE("An unknown version proves nothing") {
  Observer router;
  router.targets = {MakeEntry("t1", ""), MakeEntry("t2", "")};
  router.Observe(seconds(90));
  CHECK(router.OnlyVersionFor(seconds(1)) == std::nullopt);
  router.targets = {MakeEntry("t1", ""), MakeEntry("t3", "1.0")};
  router.Observe(seconds(90));
  CHECK(router.OnlyVersionFor(seconds(1)) == std::nullopt);
}

TEST_CASE("A list that is not confirmed proves nothing") {
  Observer router;
  router.targets = {MakeEntry("t1", "1.0")};
  router.Observe(seconds(90));
  router.now += seconds(2);
  CHECK(router.OnlyVersionFor(seconds(10)) == kOld);
  router.now += seconds(1);
  CHECK(router.OnlyVersionFor(seconds(10)) == std::nullopt);
  CHECK(router.history.Coverage(router.now) == Duration(0));
}

TEST_CASE("Knowledge has a gap while the list was not confirmed") {
  Observer router;
  router.targets = {MakeEntry("t1", "1.0")};
  router.Observe(seconds(90));
  router.now += seconds(10);
  router.Observe(seconds(20));
  CHECK(router.OnlyVersionFor(seconds(10)) == kOld);
  CHECK(router.OnlyVersionFor(seconds(16)) == std::nullopt);
}

TEST_CASE("A router that has started learns the past from a peer") {
  Observer peer;
  peer.targets = {MakeEntry("t1", "1.0")};
  peer.Observe(seconds(90));
  Observer router;
  router.now = peer.now;
  router.targets = peer.targets;
  router.Observe(Duration(0));
  REQUIRE(router.OnlyVersionFor(seconds(60)) == std::nullopt);
  const auto uses = peer.history.AllUses(peer.now);
  REQUIRE(uses.has_value());
  for (const VersionUse& it : *uses) {
    router.history.MergeUse(router.now, it);
  }
  router.history.MergeCoverage(router.now, peer.history.Coverage(peer.now));
  CHECK(router.OnlyVersionFor(seconds(60)) == kOld);
}

TEST_CASE("A router that has started learns of a version that has left") {
  Observer peer;
  peer.targets = {MakeEntry("t1", "1.0")};
  peer.Observe(seconds(90));
  peer.targets = {MakeEntry("t2", "1.1")};
  peer.Observe(seconds(20));
  Observer router;
  router.now = peer.now;
  router.targets = peer.targets;
  router.Observe(Duration(0));
  const auto uses = peer.history.AllUses(peer.now);
  REQUIRE(uses.has_value());
  for (const VersionUse& it : *uses) {
    router.history.MergeUse(router.now, it);
  }
  router.history.MergeCoverage(router.now, peer.history.Coverage(peer.now));
  CHECK(router.OnlyVersionFor(seconds(60)) == std::nullopt);
  CHECK(router.OnlyVersionFor(seconds(10)) == kNew);
}

TEST_CASE("A peer without coverage adds none") {
  Observer router;
  router.targets = {MakeEntry("t1", "1.0")};
  router.Observe(seconds(1));
  router.history.MergeCoverage(router.now, Duration(0));
  CHECK(router.OnlyVersionFor(milliseconds(0)) == std::nullopt);
}

TEST_CASE("Coverage is not merged into a list that is not confirmed") {
  Observer router;
  router.targets = {MakeEntry("t1", "1.0")};
  router.Observe(seconds(1));
  router.now += seconds(10);
  router.history.MergeCoverage(router.now, seconds(90));
  router.Observe(seconds(1));
  CHECK(router.OnlyVersionFor(seconds(20)) == std::nullopt);
}

TEST_CASE("A version that only a peer lists prevents the proof") {
  Observer router;
  router.targets = {MakeEntry("t1", "1.0")};
  router.Observe(seconds(90));
  router.history.MergeUse(router.now, {kService, kNew, Duration(0)});
  CHECK(router.OnlyVersionFor(seconds(1)) == std::nullopt);
  CHECK(router.history.HasOther(kService, kOld, router.now - seconds(1)));
  CHECK(router.history.MixedUses(router.now).size() == 2);
}

TEST_CASE("Reports of a use between two routers don't keep it in use") {
  VersionHistory a;
  VersionHistory b;
  constexpr Duration kTransitTime = milliseconds(50);
  a.RecordUse(kStart, kService, kNew);
  TimePoint now = kStart;
  for (; now < kStart + seconds(10); now += 2 * kTransitTime) {
    for (const VersionUse& it : a.UsesOf(now, kService)) {
      b.MergeUse(now + kTransitTime, it);
    }
    for (const VersionUse& it : b.UsesOf(now + kTransitTime, kService)) {
      a.MergeUse(now + 2 * kTransitTime, it);
    }
  }
  CHECK(a.UsesOf(now, kService).empty());
  CHECK(b.UsesOf(now, kService).empty());
}

TEST_CASE("A run that began after the stream leaves its version certain") {
  Observer router;
  router.targets = {MakeEntry("t1", "1.0", 1)};
  router.Observe(seconds(10));
  const TimePoint begun_at = router.now;
  router.Observe(seconds(5));
  router.targets = {MakeEntry("t1", "1.1", 2)};
  router.Observe(seconds(1));
  CHECK(router.history.IsCertain(begun_at, kTarget, 1, kOld));
  CHECK(router.history.IsCertain(router.now, kTarget, 2, kNew));
}

TEST_CASE("A run that the list shows late makes the version uncertain") {
  Observer router;
  router.targets = {MakeEntry("t1", "1.0", 1)};
  router.Observe(seconds(10));
  const TimePoint begun_at = router.now;
  router.targets = {MakeEntry("t1", "1.1", 2)};
  router.Observe(seconds(1));
  CHECK_FALSE(router.history.IsCertain(begun_at, kTarget, 1, kOld));
}

TEST_CASE("A run that by its clock began long before it was listed") {
  Observer router;
  router.targets = {MakeEntry("t1", "1.0", 1)};
  router.Observe(seconds(10));
  const TimePoint begun_at = router.now;
  router.Observe(seconds(5));
  const TimePoint now = router.now + kStep;
  // It started 12 s ago.
  router.history.RecordTarget(now, 20'000, MakeEntry("t1", "1.1", 8'000));
  CHECK_FALSE(router.history.IsCertain(begun_at, kTarget, 1, kOld));
}

TEST_CASE("A run with the same version leaves the version certain") {
  Observer router;
  router.targets = {MakeEntry("t1", "1.0", 1)};
  router.Observe(seconds(10));
  const TimePoint begun_at = router.now;
  router.targets = {MakeEntry("t1", "1.0", 2)};
  router.Observe(seconds(1));
  CHECK(router.history.IsCertain(begun_at, kTarget, 1, kOld));
}

TEST_CASE("A run that was listed when the router started is of unknown age") {
  Observer router;
  router.targets = {MakeEntry("t1", "1.1", 2)};
  router.Observe(seconds(10));
  CHECK_FALSE(router.history.IsCertain(kStart - seconds(20), kTarget, 1, kOld));
  // The peer that recorded the stream knew a later run.
  CHECK(router.history.IsCertain(router.now, kTarget, 3, kOld));
}

TEST_CASE("Many versions stay bounded, and their loss limits the proof") {
  Observer router;
  router.targets = {MakeEntry("t1", "1.0")};
  router.Observe(seconds(60));
  for (std::uint64_t i = 1; i <= 5000; ++i) {
    router.history.RecordUse(router.now, ServiceId::FromName("other"),
                             VersionId(i));
  }
  router.Observe(seconds(1));
  const auto uses = router.history.AllUses(router.now);
  REQUIRE(uses.has_value());
  CHECK(uses->size() <= 2048);
  CHECK(router.OnlyVersionFor(seconds(30)) == std::nullopt);
}

}  // namespace
}  // namespace corianderpost
