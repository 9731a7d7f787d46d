#include "peers/held_part_directory.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "decisions/stream_records.h"
#include "peers/directory_fleet.h"

namespace corianderpost {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Fleet = DirectoryFleet;

const TimePoint kStart = TimePoint() + seconds(1000);
constexpr StreamKey kKey = {7};
constexpr std::size_t kMaxRecords = 32'768;
constexpr std::size_t kMaxSearches = 4096;
constexpr PromptPart kPart = {0xabc, 100};

// One router whose messages to its peers are kept.
struct Router final : StreamPeers {
  // The peers have the addresses "p0", "p1" and so on, each in a zone of its
  // own.
  explicit Router(int peer_count)
      : keepers({"self", "z", "west", 250, Duration(0)}, *this),
        directory(
            keepers,
            [this](const std::string& vm, const StreamMessage& message) {
              sent.emplace_back(vm, message);
            },
            0) {
    for (int i = 0; i < peer_count; ++i) {
      peers.push_back({"p" + std::to_string(i), "z" + std::to_string(i), "west",
                       250, Duration(0)});
    }
  }
  std::vector<RouterInfo> LiveRouters(TimePoint now) const override {
    static_cast<void>(now);
    return peers;
  }
  void SendMessage(const std::string& vm, const std::string& bytes) override {
    FAIL("message of ", bytes.size(), " bytes to ", vm);
  }
  // Starts a search for `kKey`.
  void Find() {
    directory.Find(kStart, kKey,
                   [this](const PartHolders& it) { results.push_back(it); });
  }
  // Returns the id of the search that was started last.
  std::uint32_t request_id() const {
    return std::get<HeldPartRequest>(sent.back().second).request_id;
  }
  void Reply(const std::string& from, const PartHolders& holders) {
    directory.Handle(from, HeldPartReply{request_id(), kKey, holders});
  }

  std::vector<RouterInfo> peers;
  KeeperSelection keepers;
  HeldPartDirectory directory;
  std::vector<std::pair<std::string, StreamMessage>> sent;
  // What the searches have found.
  std::vector<PartHolders> results;
};

HeldPartBatch MakeBatch(std::size_t parts) {
  HeldPartBatch batch{kOld, {}};
  for (std::size_t i = 0; i < parts; ++i) {
    batch.parts.push_back({{1000 + i}, 150});
  }
  return batch;
}

TEST_CASE("A router without peers finds what it knows at once") {
  Router router(0);
  router.Find();
  router.directory.Handle(kStart, HeldPartBatch{kOld, {{kKey, 150}}});
  router.Find();
  CHECK(router.results ==
        std::vector<PartHolders>{PartHolders{}, PartHolders{{{kOld, 150}}}});
  CHECK(router.sent.empty());
}

TEST_CASE("A record of a part is sent to two peers") {
  Router router(6);
  router.directory.RecordHeld(kStart, MakeEntry("t1", "1.0"), {{1, 150}});
  REQUIRE(router.sent.size() == 2);
  CHECK(router.sent[0].first != router.sent[1].first);
  const StreamMessage batch =
      HeldPartBatch{kOld, {{StreamKey::OfPart(kService, 1), 150}}};
  CHECK(router.sent[0].second == batch);
  CHECK(router.sent[1].second == batch);
}

TEST_CASE("Records of one part go to the same peers") {
  Router a(6);
  Router b(6);
  for (std::uint64_t id = 1; id <= 50; ++id) {
    a.directory.RecordHeld(kStart, MakeEntry("t1", "1.0"), {{id, 150}});
    b.directory.RecordHeld(kStart, MakeEntry("t2", "1.1"), {{id, 90}});
  }
  REQUIRE(a.sent.size() == b.sent.size());
  std::set<std::string> used;
  for (std::size_t i = 0; i < a.sent.size(); ++i) {
    CHECK(a.sent[i].first == b.sent[i].first);
    used.insert(a.sent[i].first);
  }
  CHECK(used.size() == 6);
}

TEST_CASE("Parts of different services are different records") {
  Router router(0);
  TargetEntry entry = MakeEntry("t1", "1.0");
  router.directory.RecordHeld(kStart, entry, {{1, 150}});
  entry.service = "other";
  entry.version = "1.1";
  router.directory.RecordHeld(kStart, entry, {{1, 90}});
  CHECK(router.directory.size() == 2);
}

TEST_CASE("Many parts are sent in batches that fit into one packet") {
  Router router(1);
  std::vector<PromptPart> parts;
  for (std::uint64_t i = 0; i < 2 * kMaxPartsPerBatch + 1; ++i) {
    parts.push_back({UINT64_MAX - i, 1'000'000});
  }
  router.directory.RecordHeld(kStart, MakeEntry("t1", "1.0"), parts);
  REQUIRE(router.sent.size() == 3);
  std::set<StreamKey> keys;
  for (const auto& [vm, message] : router.sent) {
    CHECK(EncodeStreamMessage(message).size() <= 1400);
    for (const HeldPartRecord& it : std::get<HeldPartBatch>(message).parts) {
      keys.insert(it.key);
    }
  }
  CHECK(keys.size() == parts.size());
}

TEST_CASE("No batch without parts is sent") {
  Router router(1);
  router.directory.RecordHeld(kStart, MakeEntry("t1", "1.0"), {});
  CHECK(router.sent.empty());
  router.directory.RecordHeld(
      kStart, MakeEntry("t1", "1.0"),
      std::vector<PromptPart>(kMaxPartsPerBatch, {1, 150}));
  CHECK(router.sent.size() == 1);
}

TEST_CASE("A request is replied to with what the router knows") {
  Router router(1);
  router.directory.Handle(kStart, HeldPartBatch{kOld, {{kKey, 150}}});
  router.directory.Handle(kStart, "p0", HeldPartRequest{3, kKey});
  router.directory.Handle(kStart, "p0", HeldPartRequest{4, {8}});
  REQUIRE(router.sent.size() == 2);
  CHECK(router.sent[0].second ==
        StreamMessage(HeldPartReply{3, kKey, PartHolders{{{kOld, 150}}}}));
  CHECK(router.sent[1].second == StreamMessage(HeldPartReply{4, {8}, {}}));
}

TEST_CASE("A search ends when all peers have replied") {
  Router router(3);
  router.Find();
  REQUIRE(router.sent.size() == 3);
  router.Reply("p0", {});
  router.Reply("p1", PartHolders{{{kOld, 150}}});
  CHECK(router.results.empty());
  router.Reply("p2", PartHolders{{{kOld, 112}}});
  CHECK(router.results == std::vector<PartHolders>{PartHolders{{{kOld, 150}}}});
}

TEST_CASE("Versions of which each peer knows one are a conflict") {
  Router router(2);
  router.Find();
  router.Reply("p0", PartHolders{{{kOld, 150}}});
  router.Reply("p1", PartHolders{{{kNew, 90}}});
  REQUIRE(router.results.size() == 1);
  CHECK(WriterOf(router.results[0], 90) == PartWriter{VersionId(), true});
}

TEST_CASE("A version that a peer knows beside the router's is a conflict") {
  Router router(1);
  router.directory.Handle(kStart, HeldPartBatch{kOld, {{kKey, 150}}});
  router.Find();
  router.Reply("p0", PartHolders{{{kNew, 90}}});
  REQUIRE(router.results.size() == 1);
  CHECK(WriterOf(router.results[0], 90) == PartWriter{VersionId(), true});
}

TEST_CASE("What a peer does not know for lack of room makes a part unknown") {
  Router router(2);
  router.Find();
  router.Reply("p0", PartHolders{{}, true});
  router.Reply("p1", PartHolders{{{kNew, 90}}});
  REQUIRE(router.results.size() == 1);
  CHECK(WriterOf(router.results[0], 90) == PartWriter{});
}

TEST_CASE("A search without replies names no writer") {
  Router router(2);
  router.directory.Handle(kStart, HeldPartBatch{kOld, {{kKey, 150}}});
  router.Find();
  router.directory.Tick(kStart + milliseconds(249));
  CHECK(router.results.empty());
  router.directory.Tick(kStart + milliseconds(250));
  CHECK(router.results ==
        std::vector<PartHolders>{PartHolders{{{kOld, 150}}, true}});
}

TEST_CASE("A search with replies of less than half of the peers names none") {
  for (const std::size_t replies : {1, 2}) {
    INFO("replies ", replies);
    Router router(4);
    router.Find();
    for (std::size_t i = 0; i < replies; ++i) {
      router.Reply("p" + std::to_string(i), PartHolders{{{kOld, 150}}});
    }
    router.directory.Tick(kStart + milliseconds(250));
    REQUIRE(router.results.size() == 1);
    CHECK(WriterOf(router.results[0], 101).version.is_known() ==
          (replies == 2));
  }
}

TEST_CASE("A search before the targets were asked waits for their answers") {
  Router router(1);
  router.directory.SetReadyAt(kStart + milliseconds(500));
  router.Find();
  CHECK(router.sent.empty());
  router.directory.Handle(kStart, HeldPartBatch{kOld, {{kKey, 150}}});
  router.directory.Tick(kStart + milliseconds(499));
  CHECK(router.sent.empty());
  router.directory.Tick(kStart + milliseconds(500));
  REQUIRE(router.sent.size() == 1);
  router.Reply("p0", {});
  CHECK(router.results == std::vector<PartHolders>{PartHolders{{{kOld, 150}}}});
}

TEST_CASE("Only peers that have not replied are asked once more") {
  Router router(3);
  router.Find();
  router.Reply("p1", {});
  router.sent.clear();
  router.directory.Tick(kStart + milliseconds(99));
  CHECK(router.sent.empty());
  router.directory.Tick(kStart + milliseconds(100));
  REQUIRE(router.sent.size() == 2);
  CHECK(router.sent[0].first == "p0");
  CHECK(router.sent[1].first == "p2");
  router.directory.Tick(kStart + milliseconds(200));
  CHECK(router.sent.size() == 2);
  router.Reply("p0", {});
  router.Reply("p2", PartHolders{{{kNew, 150}}});
  CHECK(router.results == std::vector<PartHolders>{PartHolders{{{kNew, 150}}}});
}

TEST_CASE("A reply about a part of a peer that was not asked is ignored") {
  Router router(1);
  router.Find();
  router.Reply("p9", PartHolders{{{kOld, 150}}});
  CHECK(router.results.empty());
  router.Reply("p0", {});
  CHECK(router.results == std::vector<PartHolders>{PartHolders{}});
}

TEST_CASE("A second reply of a peer stands for no other peer's") {
  Router router(2);
  router.Find();
  router.Reply("p0", PartHolders{{{kOld, 150}}});
  router.Reply("p0", PartHolders{{{kNew, 150}}});
  CHECK(router.results.empty());
  router.Reply("p1", {});
  CHECK(router.results == std::vector<PartHolders>{PartHolders{{{kOld, 150}}}});
}

TEST_CASE("A reply about a part after the end of its search is ignored") {
  Router router(1);
  router.Find();
  router.directory.Tick(kStart + milliseconds(250));
  router.Reply("p0", PartHolders{{{kOld, 150}}});
  CHECK(router.results == std::vector<PartHolders>{PartHolders{{}, true}});
  CHECK(router.directory.size() == 0);
}

TEST_CASE("A reply to another search is ignored") {
  Router router(1);
  router.Find();
  router.directory.Handle(
      "p0", HeldPartReply{router.request_id() + 1, kKey, {{{kOld, 1}}}});
  CHECK(router.results.empty());
}

TEST_CASE("A search for a part may be started from the result of another") {
  Router router(1);
  int results = 0;
  router.directory.Find(kStart, kKey, [&](const PartHolders&) {
    ++results;
    router.directory.Find(kStart, kKey, [&](const PartHolders&) { ++results; });
  });
  router.directory.Tick(kStart + seconds(1));
  CHECK(results == 1);
  router.Reply("p0", {});
  CHECK(results == 2);
}

TEST_CASE("Searches beyond the limit end at once") {
  Router router(1);
  for (std::size_t i = 0; i < kMaxSearches; ++i) {
    router.Find();
  }
  CHECK(router.results.empty());
  router.Find();
  CHECK(router.results.size() == 1);
  CHECK(router.sent.size() == kMaxSearches);
  router.directory.Tick(kStart + milliseconds(250));
  CHECK(router.results.size() == kMaxSearches + 1);
}

TEST_CASE(
    "A router whose table is full replies that its knowledge is incomplete") {
  Router router(1);
  router.directory.Handle(kStart, HeldPartBatch{kNew, {{kKey, 150}}});
  router.directory.Handle(kStart, MakeBatch(kMaxRecords - 1));
  router.directory.Handle(kStart, "p0", HeldPartRequest{1, kKey});
  CHECK(std::get<HeldPartReply>(router.sent.back().second).holders ==
        PartHolders{{{kNew, 150}}});
  router.directory.Handle(kStart, MakeBatch(kMaxRecords));
  CHECK(router.directory.size() == kMaxRecords);
  router.directory.Handle(kStart, "p0", HeldPartRequest{2, kKey});
  CHECK(
      std::get<HeldPartReply>(router.sent.back().second).holders.is_incomplete);
}

TEST_CASE("Records of parts are deleted when they expire") {
  Router router(1);
  router.directory.Handle(kStart, MakeBatch(3));
  router.directory.Tick(kStart + kStreamRetention - milliseconds(1));
  CHECK(router.directory.size() == 3);
  router.directory.Tick(kStart + kStreamRetention + seconds(1));
  CHECK(router.directory.size() == 0);
}

// The request "r" of the customer, with a prompt whose last part is `kPart`.
StreamQuery QueryOf(const std::string& id = "r") {
  StreamQuery query = StreamQuery::Of(kCustomer, id, {{1, 4000}, kPart});
  query.service = kService;
  query.max_age = kMaxAge;
  return query;
}

// A fleet with two versions, "1.0" at the first target and "1.1" at the second
// one, all of whose routers have restarted.
class RestartedFleet : public Fleet {
 public:
  RestartedFleet() : Fleet(3) {
    targets = MixedTargets();
    Advance(seconds(1));
    Begin(*nodes[0], MakeStream("r", kNew, "t2"));
    for (const auto& it : nodes) {
      it->Restart();
    }
    Advance(seconds(1));
  }
  // Lets a router learn that a target holds `tokens` of the part.
  void Learn(std::size_t node, std::size_t target, std::int64_t tokens) {
    nodes[node]->directory->RecordHeldParts(targets[target],
                                            {{kPart.id, tokens}});
    Deliver();
  }
};

TEST_CASE("After all routers restarted a held part names the version") {
  RestartedFleet fleet;
  fleet.Learn(0, 1, kPart.tokens + 1);
  for (const auto& it : fleet.nodes) {
    INFO("router ", it->info.vm);
    CHECK(fleet.FindOrigin(*it, QueryOf()) ==
          StreamOrigin{OriginEvidence::kHeldPart, kService, kNew, {}});
  }
}

TEST_CASE("A held part names the version after the router that asked died") {
  RestartedFleet fleet;
  fleet.Learn(0, 1, kPart.tokens + 1);
  fleet.nodes[0]->is_alive = false;
  fleet.Advance(milliseconds(200));
  for (std::size_t i = 1; i < fleet.nodes.size(); ++i) {
    INFO("router ", i);
    CHECK(fleet.FindOrigin(*fleet.nodes[i], QueryOf()).version == kNew);
  }
}

TEST_CASE("A search finds what any two routers learned of a part") {
  for (std::size_t a = 0; a < 9; ++a) {
    for (std::size_t b = 0; b < 9; ++b) {
      RestartedFleet fleet;
      fleet.Learn(a, 1, kPart.tokens);
      fleet.Learn(b, 1, kPart.tokens + 1);
      for (const auto& it : fleet.nodes) {
        INFO("learned: ", a, " and ", b, ", asks: ", it->info.vm);
        CHECK(fleet.FindOrigin(*it, QueryOf()).version == kNew);
      }
    }
  }
}

TEST_CASE("A part at two versions of which routers asked one each names none") {
  for (std::size_t a = 0; a < 9; ++a) {
    for (std::size_t b = 0; b < 9; ++b) {
      RestartedFleet fleet;
      fleet.Learn(a, 0, kPart.tokens + 1);
      fleet.Learn(b, 1, kPart.tokens + 1);
      for (const auto& it : fleet.nodes) {
        INFO("learned: ", a, " and ", b, ", asks: ", it->info.vm);
        const StreamOrigin origin = fleet.FindOrigin(*it, QueryOf());
        CHECK(origin.evidence == OriginEvidence::kConflict);
        CHECK_FALSE(origin.version.is_known());
      }
    }
  }
}

TEST_CASE("A version that only read a part does not hide the one that began") {
  RestartedFleet fleet;
  fleet.Learn(0, 0, kPart.tokens);
  fleet.Learn(5, 1, kPart.tokens + 1);
  CHECK(fleet.FindOrigin(*fleet.nodes[4], QueryOf()).version == kNew);
}

TEST_CASE("A held part with fewer events than the caller got is no evidence") {
  RestartedFleet fleet;
  fleet.Learn(0, 1, kPart.tokens + 4);
  StreamQuery query = QueryOf();
  query.events = 4;
  CHECK(fleet.FindOrigin(*fleet.nodes[4], query).version == kNew);
  query.events = 5;
  CHECK(fleet.FindOrigin(*fleet.nodes[4], query).evidence ==
        OriginEvidence::kNone);
}

TEST_CASE("A held part that was only read is no evidence") {
  RestartedFleet fleet;
  fleet.Learn(0, 1, kPart.tokens);
  CHECK(fleet.FindOrigin(*fleet.nodes[4], QueryOf()).evidence ==
        OriginEvidence::kNone);
}

TEST_CASE("A held part of a target without a version names none") {
  RestartedFleet fleet;
  fleet.targets[1].version = "";
  fleet.Learn(0, 1, kPart.tokens + 1);
  const StreamOrigin origin = fleet.FindOrigin(*fleet.nodes[4], QueryOf());
  CHECK(origin.evidence != OriginEvidence::kHeldPart);
  CHECK_FALSE(origin.version.is_known());
}

TEST_CASE("A part that no target holds is no evidence") {
  RestartedFleet fleet;
  fleet.Learn(0, 1, kPart.tokens + 1);
  StreamQuery query = QueryOf();
  query.own_part->id = 0xdef;
  CHECK(fleet.FindOrigin(*fleet.nodes[4], query).evidence ==
        OriginEvidence::kNone);
}

TEST_CASE("A part that targets of another service hold is no evidence") {
  RestartedFleet fleet;
  fleet.targets[1].service = "other";
  fleet.Learn(0, 1, kPart.tokens + 1);
  CHECK(fleet.FindOrigin(*fleet.nodes[4], QueryOf()).evidence ==
        OriginEvidence::kNone);
}

TEST_CASE("A held part is no evidence for a caller that names no request") {
  RestartedFleet fleet;
  fleet.Learn(0, 1, kPart.tokens + 1);
  StreamQuery query = QueryOf();
  query.key = query.run_key = StreamKey();
  CHECK(fleet.FindOrigin(*fleet.nodes[0], query).evidence ==
        OriginEvidence::kNone);
}

TEST_CASE("A held part is no evidence for a caller that sends no prompt") {
  RestartedFleet fleet;
  fleet.Learn(0, 1, kPart.tokens + 1);
  StreamQuery query = QueryOf();
  query.own_part = std::nullopt;
  CHECK(fleet.FindOrigin(*fleet.nodes[0], query).evidence ==
        OriginEvidence::kNone);
}

TEST_CASE("A router's record goes before a held part") {
  RestartedFleet fleet;
  fleet.Begin(*fleet.nodes[0], MakeStream("r", kOld, "t1"));
  fleet.Learn(0, 1, kPart.tokens + 1);
  for (const auto& it : fleet.nodes) {
    INFO("router ", it->info.vm);
    const StreamOrigin origin = fleet.FindOrigin(*it, QueryOf());
    CHECK(origin.version == kOld);
    CHECK(origin.evidence != OriginEvidence::kHeldPart);
  }
}

TEST_CASE("Records that contradict each other go before a held part") {
  RestartedFleet fleet;
  fleet.Begin(*fleet.nodes[0], MakeStream("r", kOld, "t1"));
  fleet.Begin(*fleet.nodes[0], MakeStream("r", kNew, "t2"));
  fleet.Learn(0, 1, kPart.tokens + 1);
  CHECK(fleet.FindOrigin(*fleet.nodes[4], QueryOf()).evidence ==
        OriginEvidence::kConflict);
}

TEST_CASE("The run of a target goes before a held part") {
  RestartedFleet fleet;
  fleet.nodes[0]->directory->RecordRuns(fleet.targets[0], {"r"});
  fleet.Learn(0, 1, kPart.tokens + 1);
  for (const auto& it : fleet.nodes) {
    INFO("router ", it->info.vm);
    const StreamOrigin origin = fleet.FindOrigin(*it, QueryOf());
    CHECK(origin.evidence == OriginEvidence::kTargetRun);
    CHECK(origin.version == kOld);
  }
}

TEST_CASE("The proof of a service's only version goes before a held part") {
  Fleet fleet(3);
  fleet.targets = OldTargets();
  fleet.Advance(seconds(70));
  fleet.nodes[0]->directory->RecordHeldParts(MakeEntry("t3", "1.1"),
                                             {{kPart.id, kPart.tokens + 1}});
  fleet.Deliver();
  for (const auto& it : fleet.nodes) {
    INFO("router ", it->info.vm);
    const StreamOrigin origin = fleet.FindOrigin(*it, QueryOf());
    CHECK(origin.evidence == OriginEvidence::kOnlyVersion);
    CHECK(origin.version == kOld);
  }
}

TEST_CASE("A search for a part ends at once when all peers reply") {
  RestartedFleet fleet;
  fleet.FindOrigin(*fleet.nodes[4], QueryOf());
  CHECK(fleet.search_time == Duration(0));
}

// Returns whether only routers of the version that knows held parts handle it.
bool IsAboutHeldParts(const Fleet::Datagram& datagram) {
  const auto message = DecodeStreamMessage(datagram.bytes);
  REQUIRE(message.ok());
  return std::holds_alternative<HeldPartBatch>(*message) ||
         std::holds_alternative<HeldPartRequest>(*message);
}

TEST_CASE("Peers that know no held parts delay a search by a bounded time") {
  RestartedFleet fleet;
  const std::set<std::string> earlier = {fleet.nodes[1]->info.vm,
                                         fleet.nodes[4]->info.vm,
                                         fleet.nodes[7]->info.vm};
  fleet.loses = [&](const Fleet::Datagram& it) {
    return earlier.contains(it.to) && IsAboutHeldParts(it);
  };
  fleet.Learn(0, 1, kPart.tokens + 1);
  for (const auto& it : fleet.nodes) {
    if (!earlier.contains(it->info.vm)) {
      INFO("router ", it->info.vm);
      CHECK(fleet.FindOrigin(*it, QueryOf()).version == kNew);
      CHECK(fleet.search_time >= milliseconds(250));
      CHECK(fleet.search_time <= milliseconds(300));
    }
  }
}

TEST_CASE(
    "A reply to an earlier run of a router is not taken for a later one's") {
  RestartedFleet fleet;
  Fleet::Node& node = *fleet.nodes[4];
  fleet.Learn(0, 1, kPart.tokens + 1);
  std::vector<Fleet::Datagram> replies;
  fleet.loses = [&](const Fleet::Datagram& it) {
    const auto message = DecodeStreamMessage(it.bytes);
    if (std::holds_alternative<HeldPartReply>(*message)) {
      replies.push_back(it);
    }
    return it.to == node.info.vm;
  };
  fleet.FindOrigin(node, QueryOf());
  REQUIRE_FALSE(replies.empty());
  node.Restart();
  fleet.Advance(seconds(1));
  // The replies arrive while the router searches for another part.
  const auto late = std::exchange(replies, {});
  StreamQuery query = QueryOf("other");
  query.own_part->id = 0xdef;
  std::optional<StreamOrigin> origin;
  node.directory->FindOrigin(query,
                             [&](const StreamOrigin& it) { origin = it; });
  fleet.Advance(milliseconds(300));
  REQUIRE_FALSE(origin.has_value());
  for (const Fleet::Datagram& it : late) {
    node.directory->HandleMessage(fleet.clock.Now(), it.from, it.bytes);
  }
  fleet.Advance(milliseconds(300));
  REQUIRE(origin.has_value());
  CHECK(origin->evidence == OriginEvidence::kNone);
}

TEST_CASE("A request for a part that is lost is sent again") {
  RestartedFleet fleet;
  fleet.Learn(0, 1, kPart.tokens + 1);
  std::map<std::string, int> requests;
  fleet.loses = [&](const Fleet::Datagram& it) {
    return IsAboutHeldParts(it) && ++requests[it.to] == 1;
  };
  CHECK(fleet.FindOrigin(*fleet.nodes[4], QueryOf()).version == kNew);
  CHECK(fleet.search_time >= milliseconds(100));
  CHECK(fleet.search_time <= milliseconds(150));
}

TEST_CASE("Searches for a record and a part without replies are bounded") {
  RestartedFleet fleet;
  fleet.lost_datagrams = 1'000;
  CHECK(fleet.FindOrigin(*fleet.nodes[4], QueryOf()).evidence ==
        OriginEvidence::kNone);
  CHECK(fleet.search_time <= milliseconds(600));
}

TEST_CASE("A held part is found though each record of it is lost at one peer") {
  RestartedFleet fleet;
  int batches = 0;
  fleet.loses = [&](const Fleet::Datagram& it) {
    return IsAboutHeldParts(it) && ++batches == 1;
  };
  fleet.Learn(0, 1, kPart.tokens + 1);
  REQUIRE(batches == 2);
  fleet.nodes[0]->is_alive = false;
  fleet.Advance(milliseconds(200));
  CHECK(fleet.FindOrigin(*fleet.nodes[4], QueryOf()).version == kNew);
}

TEST_CASE("A held part is no evidence once its stream can't be resumed") {
  RestartedFleet fleet;
  fleet.Learn(0, 1, kPart.tokens + 1);
  fleet.Advance(kStreamRetention);
  CHECK(fleet.FindOrigin(*fleet.nodes[4], QueryOf()).evidence ==
        OriginEvidence::kNone);
}

TEST_CASE("Routers need the targets while the past is unknown") {
  Fleet fleet(3);
  fleet.targets = OldTargets();
  fleet.Advance(milliseconds(100));
  CHECK(fleet.nodes[0]->directory->NeedsTargets(fleet.clock.Now()));
  fleet.Advance(seconds(10));
  CHECK_FALSE(fleet.nodes[0]->directory->NeedsTargets(fleet.clock.Now()));
}

TEST_CASE("A router that starts alone needs the targets of several versions") {
  Fleet fleet(3);
  fleet.targets = MixedTargets();
  fleet.Advance(seconds(70));
  fleet.nodes[0]->Restart();
  fleet.Advance(milliseconds(100));
  CHECK_FALSE(fleet.nodes[0]->directory->LacksHistory(fleet.clock.Now()));
  CHECK(fleet.nodes[0]->directory->NeedsTargets(fleet.clock.Now()));
}

}  // namespace
}  // namespace corianderpost
