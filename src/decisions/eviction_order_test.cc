#include "decisions/eviction_order.h"

#include <doctest/doctest.h>

namespace corianderpost {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against an order by size alone, in which an upload in progress makes
// room for clients that never complete their requests.
TEST_CASE("The client that has held the most for the longest is evicted") {
  const HeldMemory upload = {1'000'000, milliseconds(50)};
  const HeldMemory stalled_header = {300'000, seconds(2)};
  const HeldMemory stalled_body = {1'000'000, seconds(2)};
  const HeldMemory request = {2'000, milliseconds(1)};
  CHECK(ChooseEviction({upload, stalled_header, stalled_body}, request) == 2);
  CHECK(ChooseEviction({upload, stalled_header}, request) == 1);
  CHECK(ChooseEviction({stalled_header}, upload) == 0);
}

TEST_CASE("No client is evicted for one that has held more for longer") {
  const HeldMemory upload = {1'000'000, milliseconds(50)};
  const HeldMemory stalled = {1'000'000, seconds(2)};
  CHECK_FALSE(ChooseEviction({upload}, stalled).has_value());
  CHECK_FALSE(ChooseEviction({stalled}, stalled).has_value());
  CHECK_FALSE(ChooseEviction({}, upload).has_value());
}

// Guards against an eviction of ordinary callers that are slow, or whose
// responses wait for a slow target.
TEST_CASE("A client that holds little is not evicted") {
  CHECK_FALSE(ChooseEviction({{8'000, seconds(60)}}, {100, milliseconds(1)})
                  .has_value());
}

}  // namespace
}  // namespace corianderpost
