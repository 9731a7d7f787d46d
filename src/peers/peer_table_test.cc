#include "peers/peer_table.h"

#include <doctest/doctest.h>

#include <random>

namespace corianderpost {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart(seconds(100));
const TargetId kTarget = TargetId::FromName("t");
const CustomerId kCustomer = CustomerId::FromName("club");

RosterEntry Entry(const std::string& vm, const std::string& zone,
                  int capacity = 250) {
  return {vm, zone, "west", capacity, Duration(0)};
}

PeerReport Report(const RosterEntry& sender, std::uint64_t sequence,
                  int in_flight) {
  PeerReport report;
  report.sender = sender;
  report.incarnation = 1;
  report.sequence = sequence;
  report.load[kTarget] = {in_flight, 10.0 * in_flight, 0};
  report.demand[kCustomer] = {100, 50};
  return report;
}

TEST_CASE("A report survives encoding") {
  PeerReport report = Report(Entry("10.0.0.1", "a"), 7, 3);
  report.scope = ReportScope::kZone;
  report.operator_revision = 12;
  report.target_revision = 13;
  report.operator_age = milliseconds(140);
  report.crashes = {{1, 2}};
  report.unreachable = {"i-1"};
  report.link_use = 12'000;
  report.link_budget = 34'000;
  report.sent_at = 99;
  report.echo_of = 98;
  report.echo_held = milliseconds(3);
  report.load[TargetId::FromName("t")] = {3, 1000, 2000, 4.5, 0.5, 1.25, 1.5};
  report.roster = {Entry("10.0.0.2", "b", 500)};
  const auto decoded = DecodeReport(EncodeReport(report));
  REQUIRE(decoded.ok());
  CHECK(*decoded == report);
}

TEST_CASE("Bytes that are no report are refused") {
  const std::string whole = EncodeReport(Report(Entry("10.0.0.1", "a"), 7, 3));
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    INFO("seed ", seed);
    std::mt19937_64 random(seed);
    std::string bytes = whole.substr(0, random() % whole.size());
    if (!bytes.empty()) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    CHECK_FALSE(DecodeReport(bytes).ok());
  }
}

TEST_CASE("PeerTable ignores an older report of the same life") {
  PeerTable table(Entry("10.0.0.1", "a"));
  table.Take(kStart, Report(Entry("10.0.0.2", "a"), 5, 4));
  table.Take(kStart, Report(Entry("10.0.0.2", "a"), 4, 9));
  CHECK(table.LoadOfOthers(kStart).at(kTarget).in_flight == 4);
}

TEST_CASE("PeerTable sums up what peers have in flight in a small fleet") {
  PeerTable table(Entry("10.0.0.1", "a"));
  table.Take(kStart, Report(Entry("10.0.0.2", "a"), 1, 4));
  table.Take(kStart, Report(Entry("10.0.0.3", "b"), 1, 5));
  CHECK(table.LoadOfOthers(kStart).at(kTarget).in_flight == 9);
  CHECK(table.DemandOfOthers(kStart).at(kCustomer).demand == 200);
  CHECK(table.FleetSize(kStart) == 3);
  CHECK(table.OwnPosition(kStart) == 0);
}

TEST_CASE("PeerTable forgets the load of a silent peer") {
  PeerTable table(Entry("10.0.0.1", "a"));
  table.Take(kStart, Report(Entry("10.0.0.2", "a"), 1, 4));
  CHECK(table.LoadOfOthers(kStart + seconds(2)).empty());
  CHECK(table.FleetSize(kStart + seconds(4)) == 1);
}

TEST_CASE("All routers of a zone agree on its relay") {
  std::vector<RosterEntry> entries;
  entries.reserve(20);
  for (int i = 0; i < 20; ++i) {
    entries.push_back(Entry("10.0.0." + std::to_string(10 + i), "a",
                            i == 7 || i == 9 ? 500 : 120));
  }
  for (const RosterEntry& self : entries) {
    PeerTable table(self);
    for (const RosterEntry& it : entries) {
      table.Take(kStart, Report(it, 1, 1));
    }
    CHECK(table.UsesRelays(kStart));
    CHECK(table.RelayOf(kStart, "a") == "10.0.0.17");
    CHECK(table.IsRelay(kStart) == (self.vm == "10.0.0.17"));
  }
}

TEST_CASE("A silent relay is passed over") {
  PeerTable table(Entry("10.0.0.50", "a", 120));
  for (int i = 0; i < 20; ++i) {
    table.Take(kStart, Report(Entry("10.0.0." + std::to_string(10 + i), "a",
                                    i < 2 ? 500 : 120),
                              1, 1));
  }
  CHECK(table.RelayOf(kStart, "a") == "10.0.0.10");
  table.SuspectRelay(kStart);
  CHECK(table.RelayOf(kStart, "a") == "10.0.0.11");
}

// Three zones of ten: what a member learns through relays is the sum of all
// others.
TEST_CASE("Relays tell each member the work of all others") {
  constexpr int kZones = 3;
  constexpr int kPerZone = 10;
  std::vector<RosterEntry> entries;
  for (int zone = 0; zone < kZones; ++zone) {
    for (int i = 0; i < kPerZone; ++i) {
      entries.push_back(Entry(
          "10." + std::to_string(zone) + ".0." + std::to_string(10 + i),
          std::string(1, static_cast<char>('a' + zone)), i == 0 ? 500 : 120));
    }
  }
  std::vector<PeerTable> tables;
  tables.reserve(entries.size());
  for (const RosterEntry& it : entries) {
    tables.emplace_back(it);
  }
  // Everybody is known to everybody, and members report to their relay.
  for (std::size_t i = 0; i < tables.size(); ++i) {
    for (std::size_t j = 0; j < tables.size(); ++j) {
      if (i != j) {
        PeerReport report = Report(entries[j], 1, static_cast<int>(j) + 1);
        tables[i].Take(kStart, report);
      }
    }
  }
  // Relays exchange the sums of their zones.
  std::map<std::size_t, PeerReport> zones;
  for (std::size_t i = 0; i < tables.size(); i += kPerZone) {
    REQUIRE(tables[i].IsRelay(kStart));
    PeerReport zone = Report(entries[i], 2, static_cast<int>(i) + 1);
    tables[i].AddZone(kStart, zone);
    zones[i] = zone;
  }
  for (std::size_t i = 0; i < tables.size(); i += kPerZone) {
    for (const auto& [relay, zone] : zones) {
      if (relay != i) {
        tables[i].Take(kStart, zone);
      }
    }
  }
  const int total = kZones * kPerZone * (kZones * kPerZone + 1) / 2;
  for (std::size_t i = 0; i < tables.size(); ++i) {
    const std::size_t relay = i - i % kPerZone;
    if (i != relay) {
      const PeerReport own =
          Report(entries[relay], 3, static_cast<int>(relay) + 1);
      tables[i].Take(kStart,
                     tables[relay].FleetReportFor(kStart, entries[i].vm, own));
    }
    INFO("router ", entries[i].vm);
    CHECK(tables[i].LoadOfOthers(kStart).at(kTarget).in_flight ==
          total - static_cast<int>(i) - 1);
  }
}

}  // namespace
}  // namespace corianderpost
