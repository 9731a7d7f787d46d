#include "peers/peer_table.h"

#include <doctest/doctest.h>

#include <limits>
#include <nlohmann/json.hpp>
#include <random>

namespace corianderpost {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart(seconds(100));
const TargetId kTarget = TargetId::FromName("t");
const CustomerId kCustomer = CustomerId::FromName("club");

RouterInfo MakeRouterInfo(const std::string& vm, const std::string& zone,
                          int cpu_millicores = 250) {
  return {vm, zone, "west", cpu_millicores, Duration(0)};
}

PeerReport MakeReport(const RouterInfo& sender, std::uint64_t sequence,
                      int in_flight) {
  PeerReport report;
  report.sender = sender;
  report.incarnation = 1;
  report.sequence = sequence;
  report.load[kTarget] = {in_flight, 10.0 * in_flight, 0};
  report.customer_rates[kCustomer] = {100, 50};
  return report;
}

TEST_CASE("A decoded report equals the encoded one") {
  PeerReport report = MakeReport(MakeRouterInfo("10.0.0.1", "a"), 7, 3);
  report.scope = ReportScope::kZone;
  report.operator_revision = 12;
  report.target_list_revision = 13;
  report.operator_replica_age = milliseconds(140);
  report.suspects = {{{RequestTrait::Kind::kPromptPart, 1},
                      seconds(20),
                      true,
                      {{2, milliseconds(150), CustomerId(3), true, false},
                       {4, milliseconds(10), std::nullopt, false, true}}},
                     {{RequestTrait::Kind::kRequest, 5},
                      seconds(9),
                      false,
                      {{2, Duration(0), CustomerId(0), true, false}}}};
  report.rate_limits = {
      {TargetId::FromName("t"), 12.5, milliseconds(70)},
      {TargetId::FromName("u"), std::nullopt, milliseconds(80)}};
  report.unreachable_targets = {"i-1"};
  report.version_uses = {
      {ServiceId::FromName("chat"), VersionId::FromName("1.0"), Duration(0)},
      {ServiceId::FromName("chat"), VersionId(), milliseconds(1500)}};
  report.link_use = 12'000;
  report.link_budget = 34'000;
  report.sent_at = 99;
  report.echoed_sent_at = 98;
  report.echo_delay = milliseconds(3);
  report.load[TargetId::FromName("t")] = {3,    1000, 2000,        4.5,  0.5,
                                          1.25, 1.5,  {7.5, 2.25}, 12.5, -3.25};
  report.live_routers = {MakeRouterInfo("10.0.0.2", "b", 500)};
  const auto decoded = DecodeReport(EncodeReport(report));
  REQUIRE(decoded.ok());
  CHECK(*decoded == report);
}

// Routers of two versions run side by side while a fleet is replaced.
TEST_CASE("A version without extensions can read a report and be read") {
  constexpr std::size_t kFields = 18;
  constexpr std::size_t kCrashesField = 10;
  PeerReport report = MakeReport(MakeRouterInfo("10.0.0.1", "a"), 7, 3);
  report.suspects = {{{RequestTrait::Kind::kRequest, 5},
                      seconds(9),
                      false,
                      {{2, Duration(0), CustomerId(0), true, false}}},
                     {{RequestTrait::Kind::kPromptPart, 6},
                      seconds(9),
                      false,
                      {{2, Duration(0), CustomerId(0), true, false}}}};
  const std::string bytes = EncodeReport(report);
  nlohmann::json json = nlohmann::json::from_msgpack(bytes);
  REQUIRE(json.size() == kFields);
  CHECK(json[0] == 6);
  // The former version reads pairs of numbers and ignores an element after the
  // last pair.
  nlohmann::json& crashes = json[kCrashesField];
  REQUIRE(crashes.size() == 3);
  CHECK(crashes[0].get<std::uint64_t>() == 5);
  CHECK(crashes[1].get<std::uint64_t>() == 2);

  crashes.erase(2);
  const std::vector<std::uint8_t> former = nlohmann::json::to_msgpack(json);
  const auto decoded = DecodeReport(std::string(former.begin(), former.end()));
  REQUIRE(decoded.ok());
  REQUIRE(decoded->suspects.size() == 1);
  CHECK(decoded->suspects.front().trait ==
        RequestTrait{RequestTrait::Kind::kRequest, 5});
  CHECK(decoded->rate_limits.empty());
}

TEST_CASE("A report without several versions has the former format") {
  constexpr std::size_t kCrashesField = 10;
  PeerReport report = MakeReport(MakeRouterInfo("10.0.0.1", "a"), 7, 3);
  nlohmann::json json = nlohmann::json::from_msgpack(EncodeReport(report));
  CHECK_FALSE(json[kCrashesField].back().contains("versions"));

  report.version_uses = {
      {ServiceId::FromName("chat"), VersionId::FromName("1.0"), Duration(0)}};
  json = nlohmann::json::from_msgpack(EncodeReport(report));
  REQUIRE(json[kCrashesField].back().contains("versions"));
  // A former version ignores the name; its reports lack it.
  json[kCrashesField].back().erase("versions");
  const std::vector<std::uint8_t> former = nlohmann::json::to_msgpack(json);
  const auto decoded = DecodeReport(std::string(former.begin(), former.end()));
  REQUIRE(decoded.ok());
  report.version_uses.clear();
  CHECK(*decoded == report);
}

TEST_CASE("A peer that restarts at once counts as new") {
  PeerTable table(MakeRouterInfo("10.0.0.9", "a"));
  PeerReport report = MakeReport(MakeRouterInfo("10.0.0.1", "a"), 7, 3);
  CHECK(table.ApplyReport(kStart, report));
  ++report.sequence;
  CHECK_FALSE(table.ApplyReport(kStart + milliseconds(100), report));
  report.incarnation = 2;
  report.sequence = 1;
  CHECK(table.ApplyReport(kStart + milliseconds(200), report));
}

TEST_CASE("A report without speeds has the former format") {
  constexpr std::size_t kCrashesField = 10;
  PeerReport report = MakeReport(MakeRouterInfo("10.0.0.1", "a"), 7, 3);
  nlohmann::json json = nlohmann::json::from_msgpack(EncodeReport(report));
  CHECK_FALSE(json[kCrashesField].back().contains("speeds"));

  report.load[kTarget].speed_observations = 4;
  report.load[kTarget].log_speed = 1.5;
  json = nlohmann::json::from_msgpack(EncodeReport(report));
  REQUIRE(json[kCrashesField].back().contains("speeds"));
  // A former version ignores the name; its reports lack it.
  json[kCrashesField].back().erase("speeds");
  const std::vector<std::uint8_t> former = nlohmann::json::to_msgpack(json);
  const auto decoded = DecodeReport(std::string(former.begin(), former.end()));
  REQUIRE(decoded.ok());
  CHECK(decoded->load.at(kTarget).speed_observations == 0);
  CHECK(decoded->load.at(kTarget).in_flight == 3);
}

TEST_CASE("DecodeReport rejects truncated and corrupted reports") {
  const std::string encoded =
      EncodeReport(MakeReport(MakeRouterInfo("10.0.0.1", "a"), 7, 3));
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    INFO("seed ", seed);
    std::mt19937_64 random(seed);
    std::string bytes = encoded.substr(0, random() % encoded.size());
    if (!bytes.empty()) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    CHECK_FALSE(DecodeReport(bytes).ok());
  }
}

TEST_CASE("DecodeReport rejects a report that is nested too deeply") {
  CHECK_FALSE(DecodeReport(std::string(60'000, '\x91')).ok());
}

TEST_CASE("DecodeReport rejects numbers that are out of range") {
  const std::string encoded =
      EncodeReport(MakeReport(MakeRouterInfo("10.0.0.1", "a"), 7, 3));
  using Json = nlohmann::json;
  const auto is_accepted = [&encoded](std::size_t field, const Json& value) {
    Json json = Json::from_msgpack(encoded);
    json[field] = value;
    const std::vector<std::uint8_t> bytes = Json::to_msgpack(json);
    return DecodeReport(std::string(bytes.begin(), bytes.end())).ok();
  };
  // All fields with a single number.
  for (const std::size_t field : {1, 3, 4, 5, 6, 7, 13, 14, 15, 16, 17}) {
    INFO("field ", field);
    CHECK(is_accepted(field, 1));
    CHECK_FALSE(is_accepted(field, 1e300));
    CHECK_FALSE(is_accepted(field, std::numeric_limits<double>::quiet_NaN()));
    CHECK_FALSE(is_accepted(field, "1"));
  }
  for (const std::size_t field : {15, 16, 17}) {
    CHECK_FALSE(is_accepted(field, std::numeric_limits<std::int64_t>::max()));
    CHECK_FALSE(is_accepted(field, -1));
  }
}

TEST_CASE("PeerTable ignores an older report of the same incarnation") {
  PeerTable table(MakeRouterInfo("10.0.0.1", "a"));
  table.ApplyReport(kStart, MakeReport(MakeRouterInfo("10.0.0.2", "a"), 5, 4));
  table.ApplyReport(kStart, MakeReport(MakeRouterInfo("10.0.0.2", "a"), 4, 9));
  CHECK(table.PeerLoad(kStart).at(kTarget).in_flight == 4);
}

TEST_CASE("PeerTable adds up the load and rates of peers in a small fleet") {
  PeerTable table(MakeRouterInfo("10.0.0.1", "a"));
  table.ApplyReport(kStart, MakeReport(MakeRouterInfo("10.0.0.2", "a"), 1, 4));
  table.ApplyReport(kStart, MakeReport(MakeRouterInfo("10.0.0.3", "b"), 1, 5));
  CHECK(table.PeerLoad(kStart).at(kTarget).in_flight == 9);
  CHECK(table.PeerRates(kStart).at(kCustomer).demand == 200);
  CHECK(table.FleetSize(kStart) == 3);
  CHECK(table.LocalPosition(kStart) == 0);
}

TEST_CASE("The load and the liveness of a silent peer expire") {
  PeerTable table(MakeRouterInfo("10.0.0.1", "a"));
  table.ApplyReport(kStart, MakeReport(MakeRouterInfo("10.0.0.2", "a"), 1, 4));
  CHECK(table.PeerLoad(kStart + seconds(2)).empty());
  CHECK(table.FleetSize(kStart + seconds(4)) == 1);
}

TEST_CASE("All routers of a zone choose the same relay") {
  std::vector<RouterInfo> routers;
  routers.reserve(20);
  for (int i = 0; i < 20; ++i) {
    routers.push_back(MakeRouterInfo("10.0.0." + std::to_string(10 + i), "a",
                                     i == 7 || i == 9 ? 500 : 120));
  }
  for (const RouterInfo& self : routers) {
    PeerTable table(self);
    for (const RouterInfo& it : routers) {
      table.ApplyReport(kStart, MakeReport(it, 1, 1));
    }
    CHECK(table.UsesRelays(kStart));
    CHECK(table.RelayOf(kStart, "a") == "10.0.0.17");
    CHECK(table.IsRelay(kStart) == (self.vm == "10.0.0.17"));
  }
}

TEST_CASE("A suspected relay is replaced by the next candidate") {
  PeerTable table(MakeRouterInfo("10.0.0.50", "a", 120));
  for (int i = 0; i < 20; ++i) {
    table.ApplyReport(
        kStart, MakeReport(MakeRouterInfo("10.0.0." + std::to_string(10 + i),
                                          "a", i < 2 ? 500 : 120),
                           1, 1));
  }
  CHECK(table.RelayOf(kStart, "a") == "10.0.0.10");
  table.SuspectRelay(kStart);
  CHECK(table.RelayOf(kStart, "a") == "10.0.0.11");
}

PeerReport MakeKeysReport(const RouterInfo& sender, std::uint64_t revision,
                          Duration replica_age) {
  PeerReport report = MakeReport(sender, 1, 1);
  report.operator_revision = 1000;
  report.operator_replica_age = replica_age;
  report.operator_keys =
      OperatorKeysState{{1, revision}, {1, revision}, Duration(0)};
  return report;
}

// The store's revision also grows with other keys, so a peer with a larger one
// may have the same operators' keys.
TEST_CASE("A copy is verified by a peer with the same operators' keys") {
  PeerTable table(MakeRouterInfo("10.0.0.1", "a", 120));
  table.ApplyReport(kStart, MakeKeysReport(MakeRouterInfo("10.0.0.2", "a", 120),
                                           7, std::chrono::milliseconds(300)));
  const OperatorKeysState same = table.OperatorKeysStateAt(kStart, {1, 7});
  CHECK(table.OperatorReplicaVerifiedAt(kStart, same, 5) ==
        kStart - std::chrono::milliseconds(300));
  CHECK(table.OperatorKeySources(kStart, same, 5).empty());
  const OperatorKeysState older = table.OperatorKeysStateAt(kStart, {1, 6});
  CHECK(older.newest == StorePosition{1, 7});
  CHECK(table.OperatorReplicaVerifiedAt(kStart, older, 5) == TimePoint());
  CHECK(table.OperatorKeySources(kStart, older, 5) ==
        std::vector<std::string>{"10.0.0.2"});
}

TEST_CASE("Reports of earlier versions are compared by the store's revision") {
  PeerTable table(MakeRouterInfo("10.0.0.1", "a", 120));
  PeerReport report = MakeReport(MakeRouterInfo("10.0.0.2", "a", 120), 1, 1);
  report.operator_revision = 9;
  table.ApplyReport(kStart, report);
  const OperatorKeysState keys = table.OperatorKeysStateAt(kStart, {0, 7});
  CHECK(table.OperatorKeySources(kStart, keys, 8) ==
        std::vector<std::string>{"10.0.0.2"});
  CHECK(table.OperatorKeySources(kStart, keys, 9).empty());
  // Their revision may be of a former era.
  CHECK(table
            .OperatorKeySources(kStart,
                                table.OperatorKeysStateAt(kStart, {2, 7}), 8)
            .empty());
}

TEST_CASE("A change of the operators' keys ages while it is passed on") {
  PeerTable table(MakeRouterInfo("10.0.0.1", "a", 120));
  PeerReport report =
      MakeKeysReport(MakeRouterInfo("10.0.0.2", "a", 120), 7, Duration(0));
  report.operator_keys->newest = {1, 8};
  report.operator_keys->newest_age = std::chrono::milliseconds(40);
  table.ApplyReport(kStart, report);
  const OperatorKeysState keys =
      table.OperatorKeysStateAt(kStart + std::chrono::milliseconds(10), {1, 7});
  CHECK(keys.content == StorePosition{1, 7});
  CHECK(keys.newest == StorePosition{1, 8});
  CHECK(keys.newest_age == std::chrono::milliseconds(50));
}

// A member whose relay lacks a change asks the relays of other zones for it.
TEST_CASE("Sources of a known change include the relays of other zones") {
  PeerTable table(MakeRouterInfo("10.0.0.50", "a", 120));
  for (int i = 0; i < 20; ++i) {
    table.ApplyReport(
        kStart, MakeReport(MakeRouterInfo("10.0.0." + std::to_string(10 + i),
                                          i < 10 ? "a" : "b", 120),
                           1, 1));
  }
  table.RecordOperatorChange({1, 8}, kStart);
  const std::vector<std::string> sources = table.OperatorKeySources(
      kStart, table.OperatorKeysStateAt(kStart, {1, 7}), 9);
  CHECK(sources == std::vector<std::string>{"10.0.0.20"});
}

TEST_CASE("What earlier versions don't report survives the encoding") {
  PeerReport report = MakeKeysReport(MakeRouterInfo("10.0.0.2", "a", 120), 7,
                                     std::chrono::milliseconds(5));
  report.operator_keys->newest_age = std::chrono::milliseconds(40);
  report.target_list_era = 3;
  report.leaving_targets = {{TargetId::FromName("t"), 1'781'647'952'021}};
  report.customer_rates[kCustomer] = {100, 50, 70};
  report.load[kTarget].output_tokens_left = 1234;
  report.event_sizes = {
      {ServiceId::FromName("chat"), 4.5, std::chrono::milliseconds(70)}};
  const auto decoded = DecodeReport(EncodeReport(report));
  REQUIRE(decoded.ok());
  CHECK(decoded->operator_keys == report.operator_keys);
  CHECK(decoded->target_list_era == 3);
  CHECK(decoded->leaving_targets == report.leaving_targets);
  CHECK(decoded->customer_rates == report.customer_rates);
  CHECK(decoded->load == report.load);
  CHECK(decoded->event_sizes == report.event_sizes);
}

TEST_CASE("Remaining output is added up, and zero in earlier reports") {
  PeerReport report = MakeReport(MakeRouterInfo("10.0.0.2", "a"), 1, 3);
  report.load[kTarget].output_tokens_left = 500;
  LoadByTarget sum = report.load;
  AddLoad(report.load, sum);
  CHECK(sum.at(kTarget).output_tokens_left == 1000);
  nlohmann::json json = nlohmann::json::from_msgpack(EncodeReport(report));
  json[10].back().erase("output_left");
  const std::vector<std::uint8_t> bytes = nlohmann::json::to_msgpack(json);
  const auto decoded = DecodeReport(std::string(bytes.begin(), bytes.end()));
  REQUIRE(decoded.ok());
  CHECK(decoded->load.at(kTarget).output_tokens_left == 0);
  CHECK(decoded->load.at(kTarget).in_flight == 3);
}

TEST_CASE("A customer of an earlier router is current at its average demand") {
  nlohmann::json json = nlohmann::json::from_msgpack(
      EncodeReport(MakeReport(MakeRouterInfo("10.0.0.2", "a"), 1, 3)));
  json[10].back().erase("current_demand");
  const std::vector<std::uint8_t> bytes = nlohmann::json::to_msgpack(json);
  const auto decoded = DecodeReport(std::string(bytes.begin(), bytes.end()));
  REQUIRE(decoded.ok());
  CHECK(decoded->customer_rates.at(kCustomer).current_demand == 100);
}

// Three zones of ten routers. Guards against load that is counted twice or lost
// when relays aggregate it: each router must see the total of all others.
TEST_CASE("Fleet reports give each router the load of all others") {
  constexpr int kZones = 3;
  constexpr int kRoutersPerZone = 10;
  std::vector<RouterInfo> routers;
  for (int zone = 0; zone < kZones; ++zone) {
    for (int i = 0; i < kRoutersPerZone; ++i) {
      routers.push_back(MakeRouterInfo(
          "10." + std::to_string(zone) + ".0." + std::to_string(10 + i),
          std::string(1, static_cast<char>('a' + zone)), i == 0 ? 500 : 120));
    }
  }
  std::vector<PeerTable> tables;
  tables.reserve(routers.size());
  for (const RouterInfo& it : routers) {
    tables.emplace_back(it);
  }
  // Each router knows all others, and members report to their relay.
  for (std::size_t i = 0; i < tables.size(); ++i) {
    for (std::size_t j = 0; j < tables.size(); ++j) {
      if (i != j) {
        PeerReport report = MakeReport(routers[j], 1, static_cast<int>(j) + 1);
        tables[i].ApplyReport(kStart, report);
      }
    }
  }
  // Relays exchange the totals of their zones.
  std::map<std::size_t, PeerReport> zone_reports;
  for (std::size_t i = 0; i < tables.size(); i += kRoutersPerZone) {
    REQUIRE(tables[i].IsRelay(kStart));
    PeerReport zone_report = MakeReport(routers[i], 2, static_cast<int>(i) + 1);
    tables[i].AggregateZone(kStart, zone_report);
    zone_reports[i] = zone_report;
  }
  for (std::size_t i = 0; i < tables.size(); i += kRoutersPerZone) {
    for (const auto& [relay, zone_report] : zone_reports) {
      if (relay != i) {
        tables[i].ApplyReport(kStart, zone_report);
      }
    }
  }
  const int total =
      kZones * kRoutersPerZone * (kZones * kRoutersPerZone + 1) / 2;
  for (std::size_t i = 0; i < tables.size(); ++i) {
    const std::size_t relay = i - i % kRoutersPerZone;
    if (i != relay) {
      const PeerReport local_report =
          MakeReport(routers[relay], 3, static_cast<int>(relay) + 1);
      tables[i].ApplyReport(kStart, tables[relay].FleetReportFor(
                                        kStart, routers[i].vm, local_report));
    }
    INFO("router ", routers[i].vm);
    CHECK(tables[i].PeerLoad(kStart).at(kTarget).in_flight ==
          total - static_cast<int>(i) - 1);
  }
}

// Routers of two versions run side by side while a fleet is replaced.
TEST_CASE("An earlier version reads a report with routers out of rotation") {
  constexpr std::size_t kSenderField = 2;
  constexpr std::size_t kCrashesField = 10;
  constexpr std::size_t kRoutersField = 12;
  PeerReport report = MakeReport(MakeRouterInfo("10.0.0.1", "a"), 7, 3);
  report.live_routers = {MakeRouterInfo("10.0.0.2", "a"),
                         MakeRouterInfo("10.0.0.3", "a")};
  nlohmann::json json = nlohmann::json::from_msgpack(EncodeReport(report));
  CHECK_FALSE(json[kCrashesField].back().contains("routers_out"));

  report.sender.left_rotation = kOutForOtherReason;
  report.live_routers[1].left_rotation = 12;
  const std::string bytes = EncodeReport(report);
  CHECK(*DecodeReport(bytes) == report);
  json = nlohmann::json::from_msgpack(bytes);
  CHECK(json[kSenderField].size() == 5);
  CHECK(json[kRoutersField].size() == 10);

  // Its own reports lack the state.
  json[kCrashesField].back().erase("routers_out");
  const std::vector<std::uint8_t> former = nlohmann::json::to_msgpack(json);
  const auto decoded = DecodeReport(std::string(former.begin(), former.end()));
  REQUIRE(decoded.ok());
  CHECK_FALSE(decoded->sender.left_rotation);
  CHECK_FALSE(decoded->live_routers[1].left_rotation);
}

TEST_CASE("Members of a zone learn through their relay who is out") {
  const RouterInfo relay = MakeRouterInfo("10.0.0.1", "a", 500);
  RouterInfo out = MakeRouterInfo("10.0.0.2", "a");
  out.left_rotation = 3;
  PeerTable relay_table(relay);
  relay_table.ApplyReport(kStart, MakeReport(out, 1, 0));

  PeerTable table(MakeRouterInfo("10.0.0.3", "a"));
  const TimePoint now = kStart + milliseconds(200);
  PeerReport report =
      relay_table.FleetReportFor(now, "10.0.0.3", MakeReport(relay, 1, 0));
  report.live_routers = relay_table.LivePeers(now);
  table.ApplyReport(now, *DecodeReport(EncodeReport(report)));
  const std::vector<ZonePeer> expected = {
      {"10.0.0.1", Duration(0), std::nullopt},
      {"10.0.0.2", milliseconds(200), LeaveNumber{3}}};
  CHECK(table.ZonePeers(now) == expected);

  // Guards against a report that waited on a full link: it lists the router as
  // it was long ago.
  PeerReport late = MakeReport(MakeRouterInfo("10.0.1.1", "b"), 1, 0);
  late.scope = ReportScope::kZone;
  late.live_routers = {MakeRouterInfo("10.0.0.2", "a")};
  table.ApplyReport(now + milliseconds(50), late);
  CHECK(table.ZonePeers(now)[1] == expected[1]);
  // A router that falls silent stays listed, with the age of its state.
  CHECK(table.ZonePeers(now + seconds(5))[1].age == milliseconds(5200));
}

TEST_CASE("The target list is copied from the zone's peers first") {
  PeerTable table(MakeRouterInfo("10.0.0.1", "a"));
  const auto apply = [&table](const char* vm, const char* zone,
                              std::uint64_t revision) {
    PeerReport report = MakeReport(MakeRouterInfo(vm, zone), 1, 0);
    report.target_list_era = 1;
    report.target_list_revision = revision;
    table.ApplyReport(kStart, report);
  };
  apply("10.0.0.2", "a", 6);
  apply("10.0.0.3", "a", 7);
  apply("10.0.1.1", "b", 9);
  apply("10.0.0.4", "a", 5);
  CHECK(table.TargetListSources(kStart, {1, 5}) ==
        std::vector<std::string>{"10.0.0.3", "10.0.0.2", "10.0.1.1"});
  // A revision of a later era is larger.
  CHECK(table.TargetListSources(kStart, {2, 1}).empty());
  CHECK(table.TargetListSources(kStart + seconds(5), {1, 5}).empty());
}

}  // namespace
}  // namespace corianderpost
