#include "decisions/target_table.h"

#include <doctest/doctest.h>

#include <cmath>

namespace corianderpost {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart(seconds(100));

TargetEntry MakeEntry(const std::string& id) {
  TargetEntry entry;
  entry.id = id;
  entry.service = "assistant";
  entry.address = "10.0.0.1:80";
  entry.zone = "a";
  entry.slots = 8;
  entry.incarnation = 1;
  return entry;
}

TEST_CASE("TargetTable takes a draining target out of rotation at once") {
  TargetTable table;
  TargetEntry entry = MakeEntry("t");
  table.ApplyEntry(kStart, entry);
  CHECK(table.IsInRotation(kStart, *table.Find("t")));
  entry.is_draining = true;
  table.ApplyEntry(kStart, entry);
  CHECK_FALSE(table.IsInRotation(kStart, *table.Find("t")));
}

TEST_CASE("A target that leaves stays out of rotation until it restarts") {
  TargetTable table;
  table.ApplyEntry(kStart, MakeEntry("t"));
  const LeavingTarget leaving{TargetId::FromName("t"), 1};
  CHECK(table.RecordLeaving({TargetId::FromName("t"), 2}) == nullptr);
  CHECK(table.RecordLeaving(leaving) == table.Find("t"));
  CHECK(table.RecordLeaving(leaving) == nullptr);
  CHECK(table.LeavingTargets() == std::vector<LeavingTarget>{leaving});
  // Its heartbeats don't show it yet.
  table.ApplyEntry(kStart + seconds(1), MakeEntry("t"));
  CHECK_FALSE(table.IsInRotation(kStart + seconds(1), *table.Find("t")));
  TargetEntry entry = MakeEntry("t");
  entry.incarnation = 2;
  table.ApplyEntry(kStart + seconds(2), entry);
  CHECK(table.IsInRotation(kStart + seconds(2), *table.Find("t")));
  CHECK(table.RecordLeaving(leaving) == nullptr);
}

TEST_CASE("A restored entry undoes neither a drain nor a removal") {
  TargetTable table;
  TargetEntry entry = MakeEntry("draining");
  entry.is_draining = true;
  table.ApplyEntry(kStart, entry);
  table.ApplyEntry(kStart, MakeEntry("removed"));
  table.ApplyRemoval(kStart, "removed", Duration(0));
  table.Expire(kStart);
  REQUIRE(table.Find("removed") == nullptr);
  CHECK_FALSE(table.ApplyRestoredEntry(kStart, MakeEntry("draining")));
  CHECK_FALSE(table.IsInRotation(kStart, *table.Find("draining")));
  CHECK_FALSE(table.ApplyRestoredEntry(kStart, MakeEntry("removed")));
  CHECK(table.Find("removed") == nullptr);
  // Written again by its target.
  CHECK(table.ApplyEntry(kStart, MakeEntry("removed")));
  CHECK(table.Find("removed") != nullptr);
}

TEST_CASE("A restored entry shows a drain that this router has missed") {
  TargetTable table;
  TargetEntry entry = MakeEntry("t");
  table.ApplyEntry(kStart, entry);
  entry.is_draining = true;
  CHECK(table.ApplyRestoredEntry(kStart, entry));
  CHECK_FALSE(table.IsInRotation(kStart, *table.Find("t")));
}

TEST_CASE("A restored entry adds what was not known before") {
  TargetTable table;
  CHECK(table.ApplyRestoredEntry(kStart, MakeEntry("unknown")));
  TargetEntry entry = MakeEntry("unknown");
  entry.incarnation = 2;
  CHECK(table.ApplyRestoredEntry(kStart, entry));
  // An earlier incarnation of the target.
  CHECK_FALSE(table.ApplyRestoredEntry(kStart, MakeEntry("unknown")));
  CHECK(table.Find("unknown")->entry.incarnation == 2);
}

TEST_CASE("TargetTable takes targets of an evacuated zone out of rotation") {
  TargetTable table;
  table.ApplyEntry(kStart, MakeEntry("t"));
  table.SetEvacuatedZones({"a"});
  CHECK_FALSE(table.IsInRotation(kStart, *table.Find("t")));
  table.SetEvacuatedZones({});
  CHECK(table.IsInRotation(kStart, *table.Find("t")));
}

TEST_CASE("TargetTable applies the latest rate limit that any router saw") {
  TargetTable table;
  table.ApplyEntry(kStart, MakeEntry("t"));
  TargetState& target = *table.Find("t");
  const TargetId id = TargetId::FromName("t");
  CHECK(TargetTable::RecordRateLimit(kStart, target, 10.0));
  // A peer saw an older answer, then a newer one.
  CHECK(table.MergeRateLimit(kStart + seconds(1),
                             {id, 20.0, milliseconds(1500)}) == nullptr);
  CHECK(target.named_rate_limit == 10.0);
  CHECK(table.MergeRateLimit(kStart + seconds(1),
                             {id, 5.0, milliseconds(500)}) == &target);
  CHECK(target.named_rate_limit == 5.0);
  CHECK(table.RateLimits(kStart + seconds(2)).size() == 1);
  // An answer without a limit ends it, also at peers.
  CHECK(
      TargetTable::RecordRateLimit(kStart + seconds(3), target, std::nullopt));
  const std::vector<NamedRateLimit> limits =
      table.RateLimits(kStart + seconds(4));
  REQUIRE(limits.size() == 1);
  CHECK(limits.front() ==
        NamedRateLimit{id, std::nullopt, Duration(seconds(1))});
  CHECK(table.RateLimits(kStart + seconds(30)).empty());
}

TEST_CASE("TargetTable forgets the rate limit of a target that restarts") {
  TargetTable table;
  TargetEntry entry = MakeEntry("t");
  table.ApplyEntry(kStart, entry);
  TargetTable::RecordRateLimit(kStart, *table.Find("t"), 10.0);
  entry.incarnation = 2;
  table.ApplyEntry(kStart + seconds(5), entry);
  CHECK_FALSE(table.Find("t")->named_rate_limit.has_value());
  // A report of a peer that does not know of the restart yet.
  table.MergeRateLimit(kStart + seconds(6),
                       {TargetId::FromName("t"), 10.0, seconds(6)});
  CHECK_FALSE(table.Find("t")->named_rate_limit.has_value());
}

// During an outage of the store, entries of running targets can expire.
TEST_CASE("TargetTable keeps a target relisted within the grace period") {
  TargetTable table;
  table.ApplyEntry(kStart, MakeEntry("t"));
  table.ApplyRemoval(kStart, "t", seconds(2));
  CHECK(table.IsInRotation(kStart + seconds(1), *table.Find("t")));
  table.ApplyEntry(kStart + seconds(1), MakeEntry("t"));
  table.Expire(kStart + seconds(3));
  REQUIRE(table.Find("t") != nullptr);
  CHECK(table.IsInRotation(kStart + seconds(3), *table.Find("t")));
}

TEST_CASE("TargetTable deletes a target missing after the grace period") {
  TargetTable table;
  table.ApplyEntry(kStart, MakeEntry("t"));
  table.ApplyRemoval(kStart, "t", seconds(2));
  CHECK_FALSE(table.IsInRotation(kStart + seconds(2), *table.Find("t")));
  table.Expire(kStart + seconds(2));
  CHECK(table.Find("t") == nullptr);
}

TEST_CASE("TargetTable ejects a target that refuses connections") {
  TargetTable table;
  table.ApplyEntry(kStart, MakeEntry("t"));
  TargetState& target = *table.Find("t");
  table.RecordOutcome(kStart, target, AttemptOutcome::kConnectFailed);
  CHECK(target.ejected_until > kStart);
  // It may have restarted, and be cold, before the target list shows it.
  CHECK(table.IsCold(kStart, target));
}

TEST_CASE("TargetTable treats a target as warm after a newer entry") {
  TargetTable table;
  table.ApplyEntry(kStart, MakeEntry("t"));
  TargetState& target = *table.Find("t");
  table.RecordOutcome(kStart, target, AttemptOutcome::kConnectFailed);
  table.ApplyEntry(kStart + milliseconds(500), MakeEntry("t"));
  CHECK(table.IsCold(kStart + milliseconds(500), target));
  table.ApplyEntry(kStart + milliseconds(1800), MakeEntry("t"));
  CHECK_FALSE(table.IsCold(kStart + milliseconds(1800), target));
}

// An entry is written again only if it changes.
TEST_CASE("A target that did not restart is warm after it was reached again") {
  TargetTable table;
  table.ApplyEntry(kStart, MakeEntry("t"));
  TargetState& target = *table.Find("t");
  table.RecordPeerFailure(kStart, "t");
  table.ConfirmList(kStart + seconds(5));
  INFO("not reached yet");
  CHECK(table.IsCold(kStart + seconds(5), target));
  table.RecordOutcome(kStart + seconds(6), target, AttemptOutcome::kCompleted);
  table.ConfirmList(kStart + milliseconds(7400));
  INFO("the entry of a restart may be on its way");
  CHECK(table.IsCold(kStart + milliseconds(7400), target));
  table.ConfirmList(kStart + milliseconds(7600));
  CHECK_FALSE(table.IsCold(kStart + milliseconds(7600), target));
}

TEST_CASE("A target that restarted stays cold as long as its entry says") {
  TargetTable table;
  TargetEntry entry = MakeEntry("t");
  table.ApplyEntry(kStart, entry);
  TargetState& target = *table.Find("t");
  table.RecordPeerFailure(kStart, "t");
  table.RecordOutcome(kStart + seconds(1), target, AttemptOutcome::kCompleted);
  entry.incarnation = 2;
  entry.cold_remaining = seconds(4);
  table.ApplyEntry(kStart + seconds(2), entry);
  table.ConfirmList(kStart + seconds(5));
  CHECK(table.IsCold(kStart + seconds(5), target));
}

TEST_CASE("A target of another region is not unreachable for all routers") {
  TargetTable table;
  TargetEntry entry = MakeEntry("t");
  table.ApplyEntry(kStart, entry);
  entry.id = "remote";
  entry.zone = "b";
  table.ApplyEntry(kStart, entry);
  // Regions are not known.
  CHECK(table.SpeaksForPeers(*table.Find("remote")));
  table.SetRegions({{"a", "north"}, {"b", "south"}}, "north");
  CHECK(table.SpeaksForPeers(*table.Find("t")));
  CHECK_FALSE(table.SpeaksForPeers(*table.Find("remote")));
}

TEST_CASE("The version of a target that may have restarted is unknown") {
  TargetTable table;
  TargetEntry entry = MakeEntry("t");
  entry.version = "v1";
  table.ApplyEntry(kStart, entry);
  TargetState& target = *table.Find("t");
  const VersionId v1 = VersionId::FromName("v1");
  CHECK(TargetTable::VersionOf(target) == v1);
  table.RecordOutcome(kStart, target, AttemptOutcome::kConnectFailed);
  CHECK_FALSE(TargetTable::VersionOf(target).is_known());
  // Written before the failure.
  table.ApplyEntry(kStart + milliseconds(500), entry);
  CHECK_FALSE(TargetTable::VersionOf(target).is_known());
  // Peers that can't connect don't prolong this.
  table.RecordPeerFailure(kStart + milliseconds(1000), "t");
  table.ApplyEntry(kStart + milliseconds(1800), entry);
  CHECK(TargetTable::VersionOf(target) == v1);
}

TEST_CASE("A crash that this router saw makes a target's version unknown") {
  TargetTable table;
  TargetEntry entry = MakeEntry("t");
  entry.version = "v1";
  table.ApplyEntry(kStart, entry);
  TargetState& target = *table.Find("t");
  for (int i = 0; i < 3; ++i) {
    CHECK(TargetTable::VersionOf(target).is_known());
    table.RecordOutcome(kStart, target, AttemptOutcome::kBroken);
  }
  CHECK_FALSE(TargetTable::VersionOf(target).is_known());
  entry.incarnation = 2;
  table.ApplyEntry(kStart + milliseconds(100), entry);
  CHECK(TargetTable::VersionOf(target) == VersionId::FromName("v1"));
}

TEST_CASE("A target that a peer can't reach keeps its version") {
  TargetTable table;
  TargetEntry entry = MakeEntry("t");
  entry.version = "v1";
  table.ApplyEntry(kStart, entry);
  table.RecordPeerFailure(kStart, "t");
  CHECK(TargetTable::VersionOf(*table.Find("t")) == VersionId::FromName("v1"));
}

TEST_CASE("The version of a target is that of its latest entry") {
  TargetTable table;
  TargetEntry entry = MakeEntry("t");
  entry.version = "v1";
  table.ApplyEntry(kStart, entry);
  entry.incarnation = 2;
  entry.version = "v2";
  table.ApplyEntry(kStart, entry);
  CHECK(TargetTable::VersionOf(*table.Find("t")) == VersionId::FromName("v2"));
  entry.version = "";
  table.ApplyEntry(kStart, entry);
  CHECK_FALSE(TargetTable::VersionOf(*table.Find("t")).is_known());
}

TEST_CASE("A target that restarted with another version leaves it in doubt") {
  TargetTable table;
  const VersionId v1 = VersionId::FromName("v1");
  TargetEntry entry = MakeEntry("t");
  entry.version = "v1";
  table.ApplyEntry(kStart, entry);
  CHECK_FALSE(table.IsVersionInDoubt("t", 1, v1));
  entry.incarnation = 2;
  table.ApplyEntry(kStart, entry);
  CHECK_FALSE(table.IsVersionInDoubt("t", 1, v1));
  for (const char* version : {"v2", ""}) {
    entry.version = version;
    table.ApplyEntry(kStart, entry);
    CHECK(table.IsVersionInDoubt("t", 1, v1));
    CHECK_FALSE(table.IsVersionInDoubt("t", 2, v1));
  }
  CHECK_FALSE(table.IsVersionInDoubt("unknown", 1, v1));
}

TEST_CASE("A version that appears beside another one is new for some time") {
  TargetTable table;
  TargetEntry old_entry = MakeEntry("t1");
  old_entry.version = "1.0";
  table.ApplyEntry(kStart, old_entry);
  CHECK_FALSE(table.HasNewVersion(kStart, *table.Find("t1")));
  TargetEntry new_entry = MakeEntry("t2");
  new_entry.version = "1.1";
  const TimePoint appeared_at = kStart + seconds(10);
  table.ApplyEntry(appeared_at, new_entry);
  CHECK(table.HasNewVersion(appeared_at, *table.Find("t2")));
  CHECK_FALSE(table.HasNewVersion(appeared_at, *table.Find("t1")));
  // A second target of the version does not prolong the time.
  new_entry.id = "t3";
  table.ApplyEntry(appeared_at + seconds(4), new_entry);
  const TimePoint ends_at = appeared_at + kNewVersionHoldTime;
  CHECK(table.HasNewVersion(ends_at - Duration(1), *table.Find("t3")));
  CHECK_FALSE(table.HasNewVersion(ends_at, *table.Find("t2")));
  CHECK_FALSE(table.HasNewVersion(ends_at, *table.Find("t3")));
  // Further targets of the versions in use are not new.
  old_entry.id = "t4";
  table.ApplyEntry(ends_at + seconds(20), old_entry);
  CHECK_FALSE(table.HasNewVersion(ends_at + seconds(20), *table.Find("t4")));
}

TEST_CASE("Versions that a service is first seen with are not new") {
  TargetTable table;
  for (const char* version : {"1.0", "1.1", "1.2"}) {
    TargetEntry entry = MakeEntry(std::string("t") + version);
    entry.version = version;
    table.ApplyEntry(kStart, entry);
    CHECK_FALSE(table.HasNewVersion(kStart, *table.Find(entry.id)));
  }
}

TEST_CASE("A version that left and returns is new again") {
  TargetTable table;
  TargetEntry entry = MakeEntry("t1");
  entry.version = "1.0";
  table.ApplyEntry(kStart, entry);
  entry = MakeEntry("t2");
  entry.version = "1.1";
  table.ApplyEntry(kStart, entry);
  table.ApplyRemoval(kStart + seconds(1), "t2", Duration(0));
  table.ApplyEntry(kStart + seconds(30), entry);
  CHECK(table.HasNewVersion(kStart + seconds(30), *table.Find("t2")));
}

TEST_CASE("TargetTable counts and names versions of targets in rotation") {
  TargetTable table;
  TargetEntry entry = MakeEntry("a");
  entry.version = "v1";
  table.ApplyEntry(kStart, entry);
  entry.id = "b";
  table.ApplyEntry(kStart, entry);
  entry.id = "c";
  entry.version = "v2";
  table.ApplyEntry(kStart, entry);
  entry.id = "d";
  entry.is_draining = true;
  table.ApplyEntry(kStart, entry);
  const VersionId v1 = VersionId::FromName("v1");
  CHECK(table.CountVersions(kStart, "assistant", v1) == VersionCounts{2, 1});
  CHECK(table.CountVersions(kStart, "assistant", VersionId()) ==
        VersionCounts{0, 3});
  CHECK(table.NameOfVersion("assistant", v1) == "v1");
  CHECK(table.NameOfVersion("assistant", VersionId::FromName("v9")).empty());
}

TEST_CASE("TargetTable ejects a target that fails half of its requests") {
  TargetTable table;
  table.ApplyEntry(kStart, MakeEntry("t"));
  TargetState& target = *table.Find("t");
  for (int i = 0; i < 20; ++i) {
    table.RecordOutcome(
        kStart, target,
        i % 2 == 0 ? AttemptOutcome::kServerError : AttemptOutcome::kCompleted);
  }
  CHECK(target.ejected_until > kStart);
}

TEST_CASE("TargetTable does not eject a target for rare failures") {
  TargetTable table;
  table.ApplyEntry(kStart, MakeEntry("t"));
  TargetState& target = *table.Find("t");
  TimePoint now = kStart;
  for (int i = 0; i < 200; ++i) {
    now += milliseconds(50);
    table.RecordOutcome(
        now, target,
        i % 20 == 0 ? AttemptOutcome::kBroken : AttemptOutcome::kCompleted);
  }
  CHECK(target.ejected_until <= now);
}

TEST_CASE("TargetTable clears the cached chains of a restarted target") {
  TargetTable table;
  table.ApplyEntry(kStart, MakeEntry("t"));
  table.Find("t")->cached_chains[1] = kStart;
  TargetEntry restarted = MakeEntry("t");
  restarted.incarnation = 2;
  restarted.cold_remaining = seconds(3);
  CHECK(table.ApplyEntry(kStart, restarted));
  CHECK(table.Find("t")->cached_chains.empty());
  CHECK(table.IsCold(kStart, *table.Find("t")));
}

// In a load test (Ranwala, grown scale-1), a target reported itself healthy but
// failed requests. Each of 91 routers had to see failures of its own before it
// ejected the target, which cost about a thousand requests per second.
TEST_CASE("TargetTable ejects a target that fails requests of peers") {
  TargetTable table;
  table.ApplyEntry(kStart, MakeEntry("bad"));
  table.ApplyEntry(kStart, MakeEntry("good"));
  TargetLoad bad;
  bad.ended_attempts = 10;
  bad.failed_attempts = 8;
  TargetLoad good;
  good.ended_attempts = 40;
  table.SetPeerLoad(kStart, {{TargetId::FromName("bad"), bad},
                             {TargetId::FromName("good"), good}});
  CHECK(table.Find("bad")->ejected_until > kStart);
  CHECK(table.Find("good")->ejected_until <= kStart);
}

TEST_CASE("TargetTable does not eject targets that all fail at the same rate") {
  TargetTable table;
  TargetLoad load;
  load.ended_attempts = 20;
  load.failed_attempts = 9;
  std::map<TargetId, TargetLoad> loads;
  for (const char* id : {"t0", "t1", "t2"}) {
    table.ApplyEntry(kStart, MakeEntry(id));
    loads[TargetId::FromName(id)] = load;
  }
  table.SetPeerLoad(kStart, loads);
  for (const char* id : {"t0", "t1", "t2"}) {
    CHECK(table.Find(id)->ejected_until <= kStart);
  }
}

TEST_CASE("TargetTable names each ejection and its cause once") {
  TargetTable table;
  table.ApplyEntry(kStart, MakeEntry("t"));
  table.RecordOutcome(kStart, *table.Find("t"), AttemptOutcome::kConnectFailed);
  const std::vector<Ejection> ejections = table.TakeEjections();
  REQUIRE(ejections.size() == 1);
  CHECK(ejections[0].target_id == "t");
  CHECK(ejections[0].cause == EjectionCause::kConnectFailed);
  CHECK(ejections[0].duration > Duration(0));
  CHECK(table.TakeEjections().empty());
}

TEST_CASE("TargetTable computes slowness from observations of all routers") {
  TargetTable table;
  table.ApplyEntry(kStart, MakeEntry("slow"));
  TargetLoad load;
  load.first_events = 40;
  load.log_slowness = 40 * std::log(4.0);
  table.SetPeerLoad(kStart, {{TargetId::FromName("slow"), load}});
  CHECK(table.Find("slow")->speed.slowness() > 3.0);
  table.SetPeerLoad(kStart + seconds(5), {});
  CHECK(table.Find("slow")->speed.slowness() == doctest::Approx(1.0));
}

TEST_CASE("TargetTable reports recent observations and drops old ones") {
  TargetTable table;
  table.ApplyEntry(kStart, MakeEntry("t"));
  table.RecordOutcome(kStart, *table.Find("t"), AttemptOutcome::kBroken);
  table.Find("t")->speed.Record(kStart, {0.4, 0.2, 0.2, 0.5});
  const TargetLoad reported =
      table.LocalLoad(kStart).at(TargetId::FromName("t"));
  CHECK(reported.failed_attempts == doctest::Approx(1));
  CHECK(reported.log_slowness > 0);
  CHECK(table.LocalLoad(kStart + seconds(60)).empty());
}

}  // namespace
}  // namespace corianderpost
