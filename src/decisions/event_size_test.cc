#include "decisions/event_size.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <random>

namespace corianderpost {
namespace {

// Counts one event as one token: charges a fifth of what was generated.
TEST_CASE("EventSize learns from streams that reach their maximum") {
  EventSize size;
  CHECK(size.tokens_per_event() == 1);
  std::mt19937 random(1);
  std::exponential_distribution<double> output(1.0 / 100);
  for (int i = 0; i < 600; ++i) {
    const double tokens = std::min(400.0, std::ceil(output(random)));
    size.RecordStream(400, static_cast<int>(std::ceil(tokens / 5)));
  }
  CHECK(size.tokens_per_event() == doctest::Approx(5).epsilon(0.1));
  // Engines that were restarted with smaller events.
  for (int i = 0; i < 1100; ++i) {
    const double tokens = std::min(400.0, std::ceil(output(random)));
    size.RecordStream(400, static_cast<int>(std::ceil(tokens / 2)));
  }
  CHECK(size.tokens_per_event() == doctest::Approx(2).epsilon(0.1));
}

// Short streams have too few events to tell.
TEST_CASE("EventSize ignores short streams and bounds the size") {
  EventSize size;
  for (int i = 0; i < 50; ++i) {
    size.RecordStream(6, 2);
    size.RecordStream(0, 100);
  }
  CHECK(size.tokens_per_event() == 1);
  for (int i = 0; i < 50; ++i) {
    size.RecordStream(1'000'000'000, 8);
  }
  CHECK(size.tokens_per_event() == 64);
}

}  // namespace
}  // namespace corianderpost
