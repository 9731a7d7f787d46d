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

StoreBatch BatchOfEra(std::uint64_t era, std::vector<StoreItem> items,
                      std::uint64_t revision) {
  StoreBatch batch = Batch(std::move(items), revision);
  batch.era = era;
  return batch;
}

TEST_CASE("A snapshot of a new era replaces items with larger revisions") {
  StoreReplica replica;
  replica.ApplySnapshot(
      BatchOfEra(1, {Item("lost", 8), Item("older", 9), Item("same", 3)}, 9));
  const auto changes = replica.ApplySnapshot(
      BatchOfEra(2, {Item("older", 4), Item("same", 3)}, 5));
  CHECK(replica.position() == StorePosition{2, 5});
  CHECK(replica.items().size() == 2);
  CHECK(replica.items().at("older").revision == 4);
  REQUIRE(changes.size() == 2);
  for (const StoreItem& it : changes) {
    INFO(it.key);
    CHECK(it.is_restored);
    CHECK(it.is_removed == (it.key == "lost"));
  }
  // What was newer is retained with its former value.
  REQUIRE(replica.retained().size() == 2);
  CHECK(replica.retained().at("lost").value == "v8");
  CHECK(replica.retained().at("older").value == "v9");
}

// A revision of the former era is given out again, also to a key that was
// removed then.
TEST_CASE("Changes of the new era are not compared with those of the former") {
  StoreReplica replica;
  replica.ApplySnapshot(BatchOfEra(1, {Item("a", 2), Item("b", 3)}, 9));
  replica.ApplyChanges(BatchOfEra(1, {Removal("b", 12)}, 12));
  replica.ApplySnapshot(BatchOfEra(2, {Item("a", 2)}, 5));
  CHECK(
      replica.ApplyChanges(BatchOfEra(2, {{"a", "new", 6}, {"b", "new", 7}}, 7))
          .size() == 2);
  CHECK(replica.items().at("b").value == "new");
}

TEST_CASE("Batches of a former era are ignored") {
  StoreReplica replica;
  replica.ApplySnapshot(BatchOfEra(2, {Item("a", 2)}, 5));
  CHECK(replica.IsOlder(BatchOfEra(1, {}, 99)));
  CHECK(replica.ApplySnapshot(BatchOfEra(1, {Item("b", 90)}, 99)).empty());
  CHECK(replica.ApplyChanges(BatchOfEra(1, {Item("b", 90)}, 99)).empty());
  CHECK(replica.position() == StorePosition{2, 5});
}

TEST_CASE("A batch without era is older only if its revision is") {
  StoreReplica replica;
  replica.ApplySnapshot(BatchOfEra(2, {Item("a", 2)}, 5));
  CHECK(replica.IsOlder(BatchOfEra(0, {}, 4)));
  CHECK_FALSE(replica.IsOlder(BatchOfEra(0, {}, 6)));
  CHECK(replica.ApplyChanges(BatchOfEra(0, {Item("b", 6)}, 6)).size() == 1);
  CHECK(replica.era() == 2);
}

TEST_CASE("After two restores the last value before them is retained") {
  StoreReplica replica;
  replica.ApplySnapshot(BatchOfEra(1, {Item("a", 8)}, 9));
  replica.ApplySnapshot(BatchOfEra(2, {Item("a", 5)}, 6));
  replica.ApplySnapshot(BatchOfEra(3, {Item("a", 2)}, 3));
  CHECK(replica.retained().at("a").value == "v8");
  CHECK(replica.items().at("a").value == "v2");
  replica.Release("a");
  CHECK(replica.retained().empty());
}

TEST_CASE("A replica that knows no era is replaced by a snapshot of an era") {
  StoreReplica replica;
  replica.ApplySnapshot(BatchOfEra(0, {Item("a", 8)}, 9));
  for (const std::uint64_t revision : {8, 10}) {
    INFO("revision ", revision);
    CHECK(replica.IsOfNewEra(BatchOfEra(1, {}, revision)));
    CHECK_FALSE(replica.IsOlder(BatchOfEra(1, {}, revision)));
  }
  CHECK(replica.ApplyChanges(BatchOfEra(1, {Item("b", 10)}, 10)).empty());
  CHECK(replica.position() == StorePosition{0, 9});
  // The revision of "a" is of the former era.
  CHECK(replica.ApplySnapshot(BatchOfEra(1, {Item("a", 5), Item("b", 10)}, 10))
            .size() == 2);
  CHECK(replica.position() == StorePosition{1, 10});
  CHECK(replica.items().at("a").revision == 5);
}

TEST_CASE("Items that a peer retains are followed by the end of their keys") {
  StoreReplica replica;
  replica.ApplySnapshot(BatchOfEra(2, {Item("older", 4)}, 5));
  const auto changes =
      replica.ApplyRetained({Item("older", 9), Item("lost", 8)});
  REQUIRE(changes.size() == 3);
  CHECK(changes[0] == Item("older", 9));
  CHECK(changes[1] == Item("lost", 8));
  CHECK(changes[2].key == "lost");
  CHECK(changes[2].is_removed);
  CHECK(changes[2].is_restored);
  CHECK(replica.ApplyRetained({Item("older", 9)}).empty());
}

// Restores at random moments, copies between two replicas in both directions.
TEST_CASE("Replicas that copy from each other converge through restores") {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    INFO("seed ", seed);
    std::mt19937_64 random(seed);
    StoreReplica store;
    store.ApplySnapshot(BatchOfEra(1, {}, 1));
    StoreReplica copy = store;
    std::uint64_t era = 1;
    StoreReplica readers[2];
    for (int step = 0; step < 200; ++step) {
      const std::uint64_t revision = store.revision() + 1;
      const std::string key = "k" + std::to_string(random() % 8);
      store.ApplyChanges(
          BatchOfEra(era,
                     {random() % 4 == 0
                          ? Removal(key, revision)
                          : StoreItem{key, std::to_string(random()), revision}},
                     revision));
      if (random() % 30 == 0) {
        copy = store;
      }
      if (random() % 40 == 0) {
        // The store returns from the copy.
        StoreBatch snapshot = copy.ChangesSince(0);
        snapshot.era = ++era;
        store = StoreReplica();
        store.ApplySnapshot(snapshot);
        copy = store;
      }
      StoreReplica& reader = readers[random() % 2];
      StoreReplica& source = random() % 2 == 0 ? store : readers[random() % 2];
      if (&reader == &source || !source.is_loaded()) {
        continue;
      }
      const StoreBatch batch = source.ChangesSince(
          reader.is_loaded() && reader.era() == source.era() ? reader.revision()
                                                             : 0);
      if (!reader.IsOlder(batch)) {
        batch.is_snapshot ? reader.ApplySnapshot(batch)
                          : reader.ApplyChanges(batch);
      }
    }
    for (StoreReplica& reader : readers) {
      const StoreBatch batch = store.ChangesSince(
          reader.is_loaded() && reader.era() == era ? reader.revision() : 0);
      batch.is_snapshot ? reader.ApplySnapshot(batch)
                        : reader.ApplyChanges(batch);
      CHECK(reader.items() == store.items());
      CHECK(reader.position() == store.position());
    }
  }
}

}  // namespace
}  // namespace corianderpost
