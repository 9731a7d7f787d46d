#include "corianderpost/internal/sse.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace corianderpost::internal {
namespace {

TEST_CASE("pieces of any size give the same whole events") {
  const std::string stream = "data: {\"a\":1}\n\ndata: {\"b\":2}\n\n";
  const bool holds = rc::check([&](std::uint8_t size) {
    SseSplitter splitter;
    std::string text;
    std::uint32_t events = 0;
    for (std::size_t i = 0; i < stream.size(); i += size % 7 + 1U) {
      const SseBatch batch = splitter.Take(stream.substr(i, size % 7 + 1U));
      RC_ASSERT(batch.text.empty() || batch.text.ends_with("\n\n"));
      text += batch.text;
      events += batch.events;
    }
    RC_ASSERT(text == stream);
    RC_ASSERT(events == 2U);
    RC_ASSERT(!splitter.is_done());
  });
  CHECK(holds);
}

TEST_CASE("a cut event is kept back") {
  SseSplitter splitter;
  CHECK(splitter.Take("data: {\"a\":").text.empty());
}

TEST_CASE("only the closing event ends a stream") {
  SseSplitter splitter;
  splitter.Take("data: not [DONE]\n\n");
  CHECK_FALSE(splitter.is_done());
  CHECK(splitter.Take("data: [DONE]\n\n").events == 0);
  CHECK(splitter.is_done());
}

}  // namespace
}  // namespace corianderpost::internal
