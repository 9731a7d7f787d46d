#include "peers/store_replica.h"

#include <doctest/doctest.h>

#include <random>

namespace corianderpost {
namespace {

StoreItem Item(const std::string& key, std::uint64_t revision) {
  return {key, "v" + std::to_string(revision), revision, false};
}

StoreItem Removal(const std::string& key, std::uint64_t revision) {
  return {key, "", revision, true};
}

StoreBatch Batch(std::vector<StoreItem> items, std::uint64_t revision) {
  StoreBatch batch;
  batch.items = std::move(items);
  batch.store_revision = revision;
  return batch;
}

TEST_CASE("StoreReplica does not replace a value by an older one") {
  StoreReplica replica;
  replica.ApplyChanges(Batch({Item("a", 5)}, 5));
  CHECK(replica.ApplyChanges(Batch({Item("a", 3)}, 6)).empty());
  CHECK(replica.items().at("a").revision == 5);
}

TEST_CASE("StoreReplica ignores a value older than the key's removal") {
  StoreReplica replica;
  replica.ApplyChanges(Batch({Item("a", 5)}, 5));
  replica.ApplyChanges(Batch({Removal("a", 7)}, 7));
  CHECK(replica.ApplyChanges(Batch({Item("a", 6)}, 8)).empty());
  CHECK(replica.items().empty());
}

TEST_CASE("ApplySnapshot returns items missing from the snapshot as removals") {
  StoreReplica replica;
  replica.ApplySnapshot(Batch({Item("a", 1), Item("b", 2)}, 2));
  const auto changes = replica.ApplySnapshot(Batch({Item("b", 2)}, 9));
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].key == "a");
  CHECK(changes[0].is_removed);
}

TEST_CASE("ApplySnapshot ignores a snapshot older than the replica") {
  StoreReplica replica;
  replica.ApplySnapshot(Batch({Item("a", 8)}, 9));
  CHECK(replica.ApplySnapshot(Batch({}, 4)).empty());
  CHECK(replica.items().contains("a"));
}

TEST_CASE("A replica updated through ChangesSince equals its source") {
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    INFO("seed ", seed);
    std::mt19937_64 random(seed);
    StoreReplica source;
    StoreReplica replica;
    source.ApplySnapshot(Batch({}, 1));
    std::uint64_t revision = 1;
    for (int step = 0; step < 300; ++step) {
      const std::string key = "k" + std::to_string(random() % 12);
      ++revision;
      source.ApplyChanges(Batch(
          {random() % 4 == 0 ? Removal(key, revision) : Item(key, revision)},
          revision));
      if (random() % 5 == 0) {
        StoreBatch changes =
            source.ChangesSince(replica.is_loaded() ? replica.revision() : 0);
        changes.is_snapshot ? replica.ApplySnapshot(changes)
                            : replica.ApplyChanges(changes);
        CHECK(replica.items() == source.items());
        CHECK(replica.revision() == source.revision());
      }
    }
  }
}

}  // namespace
}  // namespace corianderpost
