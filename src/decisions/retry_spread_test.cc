#include "decisions/retry_spread.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace corianderpost {
namespace {

using std::chrono::milliseconds;

// Guards against rejected callers that return at one time.
TEST_CASE("Retry times are spread after the time of the capacity") {
  std::minstd_rand random(1);
  const auto bounds = [&random](Duration wait) {
    Duration least = Duration::max();
    Duration most(0);
    for (int i = 0; i < 200; ++i) {
      const Duration it = SpreadRetry(wait, milliseconds(2000), random);
      least = std::min(least, it);
      most = std::max(most, it);
    }
    CHECK(most - least > milliseconds(80));
    CHECK(most <= milliseconds(2000));
    return least;
  };
  CHECK(bounds(milliseconds(100)) >= milliseconds(100));
  CHECK(bounds(milliseconds(800)) >= milliseconds(800));
  CHECK(bounds(milliseconds(2000)) >= milliseconds(1500));
}

}  // namespace
}  // namespace corianderpost
