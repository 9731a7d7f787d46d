#include "runtime/checked_json.h"

#include <doctest/doctest.h>

#include <string>

namespace corianderpost {
namespace {

std::string Nested(std::size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

// Arrays of one element inside each other, around an integer.
std::string NestedMessagePack(std::size_t depth) {
  return std::string(depth, '\x91') + '\x07';
}

TEST_CASE("ParseJson refuses texts that are nested too deeply") {
  CHECK_FALSE(ParseJson(Nested(kMaxJsonDepth)).is_discarded());
  CHECK(ParseJson(Nested(kMaxJsonDepth + 1)).is_discarded());
  CHECK(ParseJson(Nested(100'000)).is_discarded());
  CHECK(ParseJson(std::string(100'000, '[')).is_discarded());
}

TEST_CASE("ParseJson does not count brackets in strings") {
  CHECK(ParseJson("\"" + Nested(1000) + "\\\"" + Nested(1000) + "\"")
            .is_string());
  CHECK(ParseJson("[" + std::string(999, ' ') + "]").is_array());
}

TEST_CASE("ParseMessagePack refuses bytes that are nested too deeply") {
  CHECK_FALSE(
      ParseMessagePack(NestedMessagePack(kMaxJsonDepth)).is_discarded());
  CHECK(ParseMessagePack(NestedMessagePack(kMaxJsonDepth + 1)).is_discarded());
  CHECK(ParseMessagePack(NestedMessagePack(100'000)).is_discarded());
  // Maps whose values are maps.
  std::string maps;
  for (int i = 0; i < 100'000; ++i) {
    maps += "\x81\xa1k";
  }
  CHECK(ParseMessagePack(maps + '\x07').is_discarded());
}

TEST_CASE("ParseMessagePack accepts values of all types") {
  using Json = nlohmann::json;
  Json json = {nullptr,
               true,
               -1,
               -40'000,
               -5'000'000'000,
               200,
               70'000,
               5'000'000'000,
               0.1,
               "",
               std::string(40, 'a'),
               std::string(300, 'a'),
               std::string(70'000, 'a'),
               Json::binary({1, 2}),
               Json::binary(std::vector<std::uint8_t>(300)),
               Json::binary(std::vector<std::uint8_t>(70'000)),
               Json::binary({1, 2, 3, 4}, 7),
               Json::binary({1, 2, 3}, 7),
               Json::binary(std::vector<std::uint8_t>(300), 7),
               Json::binary(std::vector<std::uint8_t>(70'000), 7)};
  Json large = Json::object();
  for (int i = 0; i < 70'000; ++i) {
    large["k" + std::to_string(i)] = i;
  }
  json.push_back(std::vector<int>(20, 1));
  json.push_back(std::vector<int>(70'000, 1));
  json.push_back(std::move(large));
  json.push_back({{"a", {{"b", {1, 2}}}}, {"c", json}});
  const std::vector<std::uint8_t> bytes = Json::to_msgpack(json);
  CHECK(ParseMessagePack(std::string(bytes.begin(), bytes.end())) == json);
}

TEST_CASE("ParseMessagePack refuses truncated bytes") {
  for (const char* it : {"", "\x92\x01", "\xdd\xff\xff\xff\xff", "\xc6\xff\xff",
                         "\xdb\xff\xff\xff\xff", "\xc1"}) {
    CHECK(ParseMessagePack(it).is_discarded());
  }
}

TEST_CASE("ToInteger accepts whole numbers in the range") {
  const auto parse = [](const char* text) {
    return ToInteger(ParseJson(text));
  };
  CHECK(parse("0") == 0);
  CHECK(parse("9223372036854775807") ==
        std::numeric_limits<std::int64_t>::max());
  CHECK(parse("7.0") == 7);
  CHECK(parse("1e3") == 1000);
  for (const char* it : {"-1", "9223372036854775808", "1e300", "-1e300", "0.5",
                         "1e400", "\"1\"", "null", "true", "[1]"}) {
    INFO(it);
    CHECK_FALSE(parse(it).has_value());
  }
  CHECK(ToInteger(ParseJson("-5"), -5, 5) == -5);
  CHECK_FALSE(ToInteger(ParseJson("6"), -5, 5).has_value());
}

TEST_CASE("ToNumber accepts finite numbers in the range") {
  CHECK(ToNumber(nlohmann::json(0.5), 0, 1) == 0.5);
  CHECK(ToNumber(nlohmann::json(1), 0, 1) == 1.0);
  CHECK_FALSE(ToNumber(nlohmann::json(1.5), 0, 1).has_value());
  CHECK_FALSE(ToNumber(nlohmann::json("1"), 0, 1).has_value());
  CHECK_FALSE(
      ToNumber(nlohmann::json(std::numeric_limits<double>::quiet_NaN()), 0, 1)
          .has_value());
}

}  // namespace
}  // namespace corianderpost
