#include "peers/store_mirror.h"

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

TEST_CASE("StoreMirror never replaces a newer value by an older one") {
  StoreMirror mirror;
  mirror.Apply(Batch({Item("a", 5)}, 5));
  CHECK(mirror.Apply(Batch({Item("a", 3)}, 6)).empty());
  CHECK(mirror.items().at("a").revision == 5);
}

TEST_CASE("StoreMirror does not bring a removed item back") {
  StoreMirror mirror;
  mirror.Apply(Batch({Item("a", 5)}, 5));
  mirror.Apply(Batch({Removal("a", 7)}, 7));
  CHECK(mirror.Apply(Batch({Item("a", 6)}, 8)).empty());
  CHECK(mirror.items().empty());
}

TEST_CASE("StoreMirror tells which items a list no longer has") {
  StoreMirror mirror;
  mirror.Replace(Batch({Item("a", 1), Item("b", 2)}, 2));
  const auto changes = mirror.Replace(Batch({Item("b", 2)}, 9));
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].key == "a");
  CHECK(changes[0].is_removed);
}

TEST_CASE("StoreMirror ignores a list that is older than itself") {
  StoreMirror mirror;
  mirror.Replace(Batch({Item("a", 8)}, 9));
  CHECK(mirror.Replace(Batch({}, 4)).empty());
  CHECK(mirror.items().contains("a"));
}

TEST_CASE("StoreMirror gives a copy everything that changed") {
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    INFO("seed ", seed);
    std::mt19937_64 random(seed);
    StoreMirror source;
    StoreMirror copy;
    source.Replace(Batch({}, 1));
    std::uint64_t revision = 1;
    for (int step = 0; step < 300; ++step) {
      const std::string key = "k" + std::to_string(random() % 12);
      ++revision;
      source.Apply(Batch(
          {random() % 4 == 0 ? Removal(key, revision) : Item(key, revision)},
          revision));
      if (random() % 5 == 0) {
        StoreBatch since = source.Since(copy.is_filled() ? copy.revision() : 0);
        since.is_snapshot ? copy.Replace(since) : copy.Apply(since);
        CHECK(copy.items() == source.items());
        CHECK(copy.revision() == source.revision());
      }
    }
  }
}

}  // namespace
}  // namespace corianderpost
