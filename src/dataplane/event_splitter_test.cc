#include "dataplane/event_splitter.h"

#include <doctest/doctest.h>

#include <random>

namespace corianderpost {
namespace {

TEST_CASE("EventSplitter buffers an event until it is complete") {
  EventSplitter splitter;
  CHECK(splitter.Feed("id: 1\nda").empty());
  CHECK(splitter.HasPartialEvent());
  const auto events = splitter.Feed("ta: x\n\n");
  REQUIRE(events.size() == 1);
  CHECK(events[0].text == "id: 1\ndata: x\n\n");
  CHECK(events[0].id == "1");
  CHECK_FALSE(splitter.HasPartialEvent());
}

TEST_CASE("EventSplitter accepts LF and CRLF line endings") {
  EventSplitter splitter;
  const auto events = splitter.Feed("id:7\r\ndata: x\r\n\r\nid: 8\n\n");
  REQUIRE(events.size() == 2);
  CHECK(events[0].id == "7");
  CHECK(events[1].id == "8");
}

TEST_CASE("EventSplitter yields the same events for any split of the body") {
  std::string body;
  for (int i = 1; i <= 40; ++i) {
    body += "id: " + std::to_string(i) + (i % 3 == 0 ? "\r\n" : "\n") +
            "data: " + std::string(static_cast<std::size_t>(i % 7), 'x') +
            (i % 3 == 0 ? "\r\n\r\n" : "\n\n");
  }
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    INFO("seed ", seed);
    std::mt19937_64 random(seed);
    EventSplitter splitter;
    std::string reassembled;
    int count = 0;
    for (std::size_t offset = 0; offset < body.size();) {
      const std::size_t n = 1 + random() % 9;
      for (const StreamEvent& it :
           splitter.Feed(std::string_view(body).substr(offset, n))) {
        reassembled += it.text;
        CHECK(it.id == std::to_string(++count));
      }
      offset += n;
    }
    CHECK(reassembled == body);
  }
}

TEST_CASE("ParseEventNumber accepts only decimal integers") {
  CHECK(ParseEventNumber("12") == 12);
  CHECK_FALSE(ParseEventNumber("12x"));
  CHECK_FALSE(ParseEventNumber(""));
}

TEST_CASE("IsComment tells comments from events with data") {
  CHECK(IsComment({": ping\n\n", ""}));
  CHECK(IsComment({"\r\n", ""}));
  CHECK_FALSE(IsComment({"data: x\n\n", ""}));
  CHECK_FALSE(IsComment({": ping\nevent: error\n\n", ""}));
}

}  // namespace
}  // namespace corianderpost
