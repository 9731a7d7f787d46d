#include "peers/value_delta.h"

#include <doctest/doctest.h>

#include <random>

namespace corianderpost {
namespace {

// Text of lines that differ, like a long list in a configuration.
std::string MakeValue(int lines, std::mt19937_64& random) {
  std::string value;
  for (int i = 0; i < lines; ++i) {
    value += "{\"name\":\"r" + std::to_string(random()) +
             "\",\"timeoutMs\":4000,\"service\":\"assistant\"},\n";
  }
  return value;
}

std::size_t NewBytes(const ValueDelta& delta) {
  std::size_t bytes = 0;
  for (const DeltaPart& it : delta.parts) {
    if (const auto* text = std::get_if<std::string>(&it)) {
      bytes += text->size();
    }
  }
  return bytes;
}

TEST_CASE("A delta rebuilds the value after random edits") {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    INFO("seed ", seed);
    std::mt19937_64 random(seed);
    const std::string base =
        MakeValue(1 + static_cast<int>(random() % 2000), random);
    std::string value = base;
    for (std::uint64_t i = random() % 6; i > 0; --i) {
      const std::size_t pos = random() % (value.size() + 1);
      random() % 2 == 0 ? value.insert(pos, MakeValue(3, random))
                        : value.erase(pos, random() % 5000);
    }
    ValueHistory history;
    history.Record(base);
    const auto delta = history.DeltaTo(value, {HashOfValue(base)});
    REQUIRE(delta.has_value());
    const auto rebuilt = ApplyDelta(base, *delta);
    REQUIRE(rebuilt.ok());
    CHECK(*rebuilt == value);
  }
}

TEST_CASE("The size of a delta grows with the change, not with the value") {
  std::mt19937_64 random(1);
  const std::string base = MakeValue(10'000, random);
  std::string value = base;
  value.insert(value.size() / 2, "one more line\n");
  value.replace(10, 3, "xyz");
  ValueHistory history;
  history.Record(base);
  const auto delta = history.DeltaTo(value, {HashOfValue(base)});
  REQUIRE(delta.has_value());
  // A few chunks around each of the two edits.
  CHECK(NewBytes(*delta) < 5'000);
  CHECK(delta->parts.size() < 10);
}

TEST_CASE("Lines that are inserted between all others leave these copied") {
  std::mt19937_64 random(3);
  std::string base;
  std::string value;
  std::size_t inserted = 0;
  for (int i = 0; i < 1000; ++i) {
    const std::string line = MakeValue(4, random);
    const std::string new_line = MakeValue(4, random);
    base += line;
    value += line + new_line;
    inserted += new_line.size();
  }
  ValueHistory history;
  history.Record(base);
  const auto delta = history.DeltaTo(value, {HashOfValue(base)});
  REQUIRE(delta.has_value());
  CHECK(NewBytes(*delta) < inserted * 3 / 2);
}

TEST_CASE("A receiver that is several versions behind gets a delta") {
  std::mt19937_64 random(2);
  ValueHistory history;
  std::string value = MakeValue(500, random);
  const std::string old_value = value;
  for (int i = 0; i < 4; ++i) {
    history.Record(value);
    value += MakeValue(1, random);
  }
  const auto delta = history.DeltaTo(value, {7, HashOfValue(old_value)});
  REQUIRE(delta.has_value());
  CHECK(*ApplyDelta(old_value, *delta) == value);
}

TEST_CASE("There is no delta from an unknown value") {
  ValueHistory history;
  history.Record("a value");
  CHECK_FALSE(history.DeltaTo("another", {HashOfValue("not recorded")}));
  CHECK_FALSE(history.DeltaTo("another", {}));
}

TEST_CASE("A delta is refused on another base") {
  ValueHistory history;
  history.Record("a value");
  const auto delta = history.DeltaTo("a new value", {HashOfValue("a value")});
  REQUIRE(delta.has_value());
  CHECK(
      absl::IsFailedPrecondition(ApplyDelta("another value", *delta).status()));
}

TEST_CASE("A malformed delta is refused") {
  const std::string base = "a value";
  ValueDelta delta{HashOfValue(base), 0, {CopiedRange{5, ~std::uint64_t{0}}}};
  CHECK_FALSE(ApplyDelta(base, delta).ok());
  delta.parts = {CopiedRange{100, 1}};
  CHECK_FALSE(ApplyDelta(base, delta).ok());
  delta.parts = {CopiedRange{0, 3}};
  CHECK(absl::IsInvalidArgument(ApplyDelta(base, delta).status()));
}

}  // namespace
}  // namespace corianderpost
