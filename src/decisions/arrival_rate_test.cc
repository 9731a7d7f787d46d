#include "decisions/arrival_rate.h"

#include <doctest/doctest.h>

#include <random>

namespace corianderpost {
namespace {

using std::chrono::milliseconds;

const TimePoint kStart(std::chrono::seconds(100));
constexpr Duration kTimeConstant = milliseconds(1500);

// Adds requests of ten units every `gap` until `end`. Returns the time of the
// last one.
TimePoint AddRun(ArrivalRate& rate, TimePoint begin, TimePoint end,
                 Duration gap) {
  TimePoint last = begin;
  for (TimePoint now = begin; now < end; now += gap) {
    rate.Add(now, 10);
    last = now;
  }
  return last;
}

TEST_CASE("ArrivalRate is zero without requests") {
  const ArrivalRate rate(kTimeConstant);
  CHECK(rate.Current(kStart) == 0);
  CHECK(rate.Average(kStart) == 0);
}

TEST_CASE("ArrivalRate knows the rate of a new run before the average does") {
  ArrivalRate rate(kTimeConstant);
  const TimePoint last =
      AddRun(rate, kStart, kStart + milliseconds(200), milliseconds(2));
  CHECK(rate.Current(last) == doctest::Approx(5000).epsilon(0.1));
  CHECK(rate.Average(last) < 1000);
}

TEST_CASE("ArrivalRate is zero soon after a dense run has ended") {
  ArrivalRate rate(kTimeConstant);
  const TimePoint last =
      AddRun(rate, kStart, kStart + milliseconds(2000), milliseconds(2));
  CHECK(rate.Current(last + milliseconds(100)) > 4000);
  CHECK(rate.Current(last + milliseconds(200)) == 0);
  CHECK(rate.Average(last + milliseconds(200)) > 3000);
}

TEST_CASE("ArrivalRate measures a second run from its own beginning") {
  ArrivalRate rate(kTimeConstant);
  AddRun(rate, kStart, kStart + milliseconds(1000), milliseconds(1));
  const TimePoint last = AddRun(rate, kStart + milliseconds(2000),
                                kStart + milliseconds(2300), milliseconds(10));
  CHECK(rate.Current(last) == doctest::Approx(1000).epsilon(0.15));
}

TEST_CASE("ArrivalRate uses the average for single requests") {
  ArrivalRate rate(kTimeConstant);
  rate.Add(kStart, 10);
  CHECK(rate.Current(kStart) == rate.Average(kStart));
  CHECK(rate.Current(kStart + milliseconds(500)) > 0);
}

// An average over 1.5 s shows a quarter of a burst after 0.4 s.
TEST_CASE("A rising rate shows a burst within a fraction of a second") {
  ArrivalRate rate(kTimeConstant);
  AddRun(rate, kStart, kStart + milliseconds(5000), milliseconds(20));
  AddRun(rate, kStart + milliseconds(5000), kStart + milliseconds(5400),
         milliseconds(2));
  const TimePoint now = kStart + milliseconds(5400);
  // 500 units per second before, 5000 since.
  CHECK(rate.Average(now) < 2500);
  CHECK(rate.Rising(now) > 2500);
  CHECK(rate.Rising(now) < 5000);
}

TEST_CASE("A rising rate does not take one request for a burst") {
  ArrivalRate rate(kTimeConstant);
  rate.Add(kStart, 1000);
  CHECK(rate.Rising(kStart) == doctest::Approx(rate.Average(kStart)));
}

TEST_CASE("ArrivalRate of random requests is unbiased over time") {
  constexpr std::uint64_t kSeed = 7;
  INFO("seed ", kSeed);
  std::mt19937_64 random(kSeed);
  for (const double requests_per_second : {2.0, 5.0, 50.0}) {
    INFO("requests per second ", requests_per_second);
    std::exponential_distribution<double> gap_seconds(requests_per_second);
    ArrivalRate rate(kTimeConstant);
    double next_seconds = gap_seconds(random);
    double sum = 0;
    constexpr int kSamples = 40'000;
    for (int i = 0; i < kSamples; ++i) {
      const TimePoint now = kStart + milliseconds(10 * i);
      for (; next_seconds < 0.01 * i; next_seconds += gap_seconds(random)) {
        rate.Add(now, 10);
      }
      sum += rate.Current(now);
    }
    CHECK(sum / kSamples ==
          doctest::Approx(10 * requests_per_second).epsilon(0.1));
  }
}

}  // namespace
}  // namespace corianderpost
