// Plays a load on engines of uneven speeds with short slow periods.
#include <doctest/doctest.h>

#include "decisions/simulated_engines.h"

namespace corianderpost {
namespace {

constexpr std::size_t kLongPrompts = 0;

// Long prompts with large shared parts, short prompts, and long outputs.
SimulatedLoad UnevenLoad(double per_second) {
  SimulatedLoad load;
  load.engines = 48;
  load.engine.slots = 32;
  load.engine.queue = 96;
  load.engine.step_seconds = 0.00505;
  load.engine.step_seconds_per_request = 0;
  load.engine.prefill_tokens_per_second = 40'800;
  load.engine.kv_cache_tokens = 242'577;
  load.engine.speeds = {0.6, 1.0, 1.6};
  load.engine.slow_factor = 2.5;
  load.engine.slow_seconds = 1.5;
  load.routers = 24;
  const double rate = per_second * load.engines;
  load.kinds = {{0.35 * rate, 4, 2520, 720, 3780, 2890, 52, 0.8, 0},
                {0.41 * rate, 10, 341, 1200, 227, 1800, 23, 1.2, 0},
                {0.24 * rate, 10, 103, 288, 69, 543, 280, 1.5, 0}};
  load.capacity_units_per_second = 37'000.0 * load.engines;
  load.seconds = 20;
  return load;
}

// Sums over several seeds, since single plays differ by a tenth.
SimulatedResult LongPrompts(AdaptiveMode mode) {
  SimulatedResult sum;
  for (const std::uint64_t seed : {1, 2, 3}) {
    SimulatedLoad load = UnevenLoad(11);
    load.adaptive_placement = mode;
    load.seed = seed;
    const SimulatedResult result = PlayLoad(load)[kLongPrompts];
    sum.requests += result.requests;
    sum.in_goal += result.in_goal;
    sum.late += result.late;
    sum.rejected += result.rejected;
  }
  return sum;
}

double LateFraction(const SimulatedResult& result) {
  return static_cast<double>(result.late) / (result.in_goal + result.late);
}

// Guards against slow engines that get as many long prompts as fast ones, so
// that these miss their goal.
TEST_CASE("Fewer long prompts are late where engine speeds are used") {
  const SimulatedResult off = LongPrompts(AdaptiveMode::kOff);
  const SimulatedResult on = LongPrompts(AdaptiveMode::kOn);
  INFO("off: ", ToString(off), "; on: ", ToString(on));
  CHECK(LateFraction(on) < 0.115);
  CHECK(LateFraction(on) < 0.9 * LateFraction(off));
  CHECK(on.in_goal > off.in_goal);
}

// Speeds are known to be uneven after about ten of the twenty seconds.
TEST_CASE("Uneven speeds are found without a setting") {
  const SimulatedResult found = LongPrompts(AdaptiveMode::kAuto);
  INFO(ToString(found));
  CHECK(LateFraction(found) < 0.115);
}

}  // namespace
}  // namespace corianderpost
