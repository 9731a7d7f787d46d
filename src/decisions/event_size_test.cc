#include "decisions/event_size.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <random>

namespace corianderpost {
namespace {

const TimePoint kStart(std::chrono::seconds(1000));

// Records streams of engines with `event_tokens` per event, which declare four
// times their mean output.
void Play(EventSize& size, TimePoint now, double event_tokens, int count) {
  std::mt19937 random(1);
  std::exponential_distribution<double> output(1.0 / 100);
  for (int i = 0; i < count; ++i) {
    const double tokens = std::min(400.0, std::ceil(output(random)));
    size.RecordStream(now, 400.0,
                      static_cast<int>(std::ceil(tokens / event_tokens)));
  }
}

// One event counted as one token: a fifth of what was generated.
TEST_CASE("EventSize learns from streams that reach their maximum") {
  EventSize size;
  CHECK(size.tokens_per_event() == 1);
  CHECK_FALSE(size.is_known());
  Play(size, kStart, 5, 60);
  CHECK(size.is_known());
  CHECK(size.tokens_per_event() >= 4.9);
  CHECK(size.tokens_per_event() < 8);
  Play(size, kStart, 5, 600);
  CHECK(size.tokens_per_event() == doctest::Approx(5).epsilon(0.1));
  // Engines that were restarted with smaller and with larger events.
  Play(size, kStart, 2, 300);
  CHECK(size.tokens_per_event() == doctest::Approx(2).epsilon(0.1));
  Play(size, kStart + std::chrono::seconds(61), 5, 600);
  CHECK(size.tokens_per_event() == doctest::Approx(5).epsilon(0.1));
}

// Short streams have too few events to tell.
TEST_CASE("EventSize ignores short streams and bounds the size") {
  EventSize size;
  for (int i = 0; i < 50; ++i) {
    size.RecordStream(kStart, 6, 2);
    size.RecordStream(kStart, 0, 100);
  }
  CHECK_FALSE(size.is_known());
  for (int i = 0; i < 50; ++i) {
    size.RecordStream(kStart, 1e9, 8);
  }
  CHECK(size.tokens_per_event() == 64);
}

// A bound that circulates between routers must not be kept for ever.
TEST_CASE("EventSize takes a recent lower bound of a peer") {
  EventSize size;
  size.Merge(kStart, 5, std::chrono::seconds(61));
  CHECK_FALSE(size.is_known());
  size.Merge(kStart, 5, std::chrono::seconds(20));
  CHECK(size.tokens_per_event() == 5);
  size.Merge(kStart, 9, Duration(0));
  CHECK(size.tokens_per_event() == 5);
  CHECK(size.shown_at() == kStart - std::chrono::seconds(20));
  size.Merge(kStart + std::chrono::seconds(41), 9, Duration(0));
  CHECK(size.tokens_per_event() == 9);
  size.Merge(kStart, -3, Duration(0));
  CHECK(size.tokens_per_event() == 9);
}

}  // namespace
}  // namespace corianderpost
