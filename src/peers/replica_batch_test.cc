#include "peers/replica_batch.h"

#include <doctest/doctest.h>

#include <limits>
#include <nlohmann/json.hpp>

namespace corianderpost {
namespace {

StoreBatch Batch(std::vector<StoreItem> items, std::uint64_t revision) {
  StoreBatch batch;
  batch.items = std::move(items);
  batch.store_revision = revision;
  return batch;
}

std::string LargeValue(char last) {
  std::string value;
  for (int i = 0; i < 3000; ++i) {
    value += "line " + std::to_string(i * 7919) + "\n";
  }
  return value + last;
}

TEST_CASE("A replica batch carries values, removals and bytes of any kind") {
  StoreReplica source;
  source.ApplySnapshot(
      Batch({{"k/a", std::string("\0\xff", 2), 3}, {"k/b", "", 4}}, 4));
  source.ApplyChanges(Batch({{"k/c", "x", 5}, {"k/b", "", 6, true}}, 6));
  const auto batch = DecodeReplicaBatch(
      EncodeReplicaBatch(source, {0, 4}, {}, Duration(0)), StoreReplica());
  REQUIRE(batch.ok());
  CHECK_FALSE(batch->is_snapshot);
  CHECK(batch->store_revision == 6);
  CHECK(batch->items ==
        std::vector<StoreItem>{{"k/c", "x", 5, false}, {"k/b", "", 6, true}});
  const auto snapshot = DecodeReplicaBatch(
      EncodeReplicaBatch(source, {}, {}, Duration(0)), StoreReplica());
  REQUIRE(snapshot.ok());
  CHECK(snapshot->is_snapshot);
  CHECK(snapshot->items.size() == 2);
}

TEST_CASE("A replica batch that is nested too deeply is refused") {
  CHECK_FALSE(
      DecodeReplicaBatch(std::string(200'000, '\x91'), StoreReplica()).ok());
}

TEST_CASE("A replica batch with numbers out of range is refused or bounded") {
  using Json = nlohmann::json;
  const auto decode = [](const char* name, const Json& value) {
    Json json = {{"revision", 1},
                 {"era", 1},
                 {"snapshot", true},
                 {"items", Json::array()},
                 {"retained", Json::array()},
                 {"outage_effects", 5}};
    json[name] = value;
    const std::vector<std::uint8_t> bytes = Json::to_msgpack(json);
    return DecodeReplicaBatch(std::string(bytes.begin(), bytes.end()),
                              StoreReplica());
  };
  CHECK(decode("era", 2).ok());
  for (const Json& value : {Json(-1), Json(1e300), Json(0.5)}) {
    CHECK_FALSE(decode("revision", value).ok());
    CHECK_FALSE(decode("era", value).ok());
  }
  CHECK_FALSE(decode("outage_effects", 1e300).ok());
  const auto batch =
      decode("outage_effects", std::numeric_limits<std::int64_t>::max());
  REQUIRE(batch.ok());
  CHECK(*batch->outage_effects > Duration(0));
}

TEST_CASE("A small change of a large value is sent as a delta") {
  StoreReplica source;
  StoreReplica receiver;
  const StoreBatch before = Batch({{"k", LargeValue('a'), 1}}, 1);
  source.ApplySnapshot(before);
  receiver.ApplySnapshot(before);
  source.ApplyChanges(Batch({{"k", LargeValue('b'), 2}}, 2));
  const std::string bytes = EncodeReplicaBatch(
      source, {0, 1}, receiver.LargeValueHashes(), Duration(0));
  CHECK(bytes.size() < LargeValue('b').size() / 4);
  const auto batch = DecodeReplicaBatch(bytes, receiver);
  REQUIRE(batch.ok());
  REQUIRE(batch->items.size() == 1);
  CHECK(batch->items[0].value == LargeValue('b'));
}

TEST_CASE("A delta whose base has been replaced meanwhile is refused") {
  StoreReplica source;
  StoreReplica receiver;
  const StoreBatch before = Batch({{"k", LargeValue('a'), 1}}, 1);
  source.ApplySnapshot(before);
  receiver.ApplySnapshot(before);
  source.ApplyChanges(Batch({{"k", LargeValue('b'), 2}}, 2));
  const std::string bytes = EncodeReplicaBatch(
      source, {0, 1}, receiver.LargeValueHashes(), Duration(0));
  receiver.ApplyChanges(Batch({{"k", LargeValue('c'), 2}}, 2));
  CHECK(
      absl::IsFailedPrecondition(DecodeReplicaBatch(bytes, receiver).status()));
}

TEST_CASE("A receiver of another era gets a snapshot and what is retained") {
  StoreReplica source;
  StoreBatch batch = Batch({{"k/a", "new", 8}, {"k/b", "x", 3}}, 9);
  batch.era = 1;
  source.ApplySnapshot(batch);
  batch = Batch({{"k/a", "old", 4}, {"k/b", "x", 3}}, 5);
  batch.era = 2;
  source.ApplySnapshot(batch);
  const auto decoded = DecodeReplicaBatch(
      EncodeReplicaBatch(source, {1, 9}, {}, Duration(0)), StoreReplica());
  REQUIRE(decoded.ok());
  CHECK(decoded->is_snapshot);
  CHECK(decoded->position() == StorePosition{2, 5});
  CHECK(decoded->items.size() == 2);
  REQUIRE(decoded->retained.size() == 1);
  CHECK(decoded->retained[0].value == "new");
}

TEST_CASE("Malformed replica batches are refused") {
  const StoreReplica replica;
  for (const char* bytes : {"", "{}", "\x80", "\xc1", "\x81\xa5items\xc0"}) {
    CHECK_FALSE(DecodeReplicaBatch(bytes, replica).ok());
  }
}

}  // namespace
}  // namespace corianderpost
