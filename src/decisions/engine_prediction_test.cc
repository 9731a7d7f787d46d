#include "decisions/engine_prediction.h"

#include <doctest/doctest.h>

#include <cmath>

namespace corianderpost {
namespace {

// Returns a speed as from many observations, beside an engine that balances it.
EngineSpeed MakeSpeed(double speed, double slowness) {
  EngineSpeed engine;
  EngineSpeed other;
  ServiceSpeeds speeds;
  speeds.Add(engine,
             {1e6, 1e6 * std::log(slowness), 1e6, 1e6 * std::log(speed)});
  speeds.Add(other, {1e6, 0, 1e6, -1e6 * std::log(speed)});
  speeds.Evaluate();
  return engine;
}

// Guards against damping the lasting speed, which made long prompts on slow
// engines late.
TEST_CASE(
    "The lasting speed counts in full and the slowness of a moment less") {
  const EngineSpeed slow = MakeSpeed(0.5, 2.0);
  CHECK(SlownessFactor(slow, true) == doctest::Approx(2.0).epsilon(0.01));
  CHECK(SlownessFactor(slow, false) ==
        doctest::Approx(std::pow(2.0, 0.4)).epsilon(0.01));
  const EngineSpeed slow_and_busy = MakeSpeed(0.5, 8.0);
  CHECK(SlownessFactor(slow_and_busy, true) ==
        doctest::Approx(2.0 * std::pow(4.0, 0.4)).epsilon(0.01));
  CHECK(SlownessFactor(EngineSpeed(), true) == 1.0);
}

TEST_CASE("A slow engine is predicted to take longer for the same work") {
  const FirstEventModel model(0.04, 20e-6);
  const EngineWork work{4000, 1000, 500, 0.1, 0.06};
  const EnginePrediction mean = PredictEngine(model, work, 1.0);
  CHECK(mean.load_tokens == 5500);
  CHECK(mean.from_load == doctest::Approx(0.15));
  CHECK(mean.first_event == doctest::Approx(0.31));
  CHECK(mean.queueing == doctest::Approx(0.18));
  CHECK(mean.idle_first_event == doctest::Approx(0.12));
  CHECK(mean.cost == doctest::Approx(0.37));
  const EnginePrediction slow = PredictEngine(model, work, 2.0);
  CHECK(slow.first_event == doctest::Approx(0.46));
  CHECK(slow.queueing == doctest::Approx(0.26));
  CHECK(slow.idle_first_event == mean.idle_first_event);
}

// Guards against speeds that follow the queue or the link between the regions.
TEST_CASE("An observation is compared with the reported load") {
  const FirstEventModel model(0.04, 20e-6);
  const PlacedWork work{3000, 2000, 0.06, 0.09, true};
  const FirstEventObservation local = ObserveFirstEvent(model, 0.2, work);
  CHECK(local.measured_seconds == 0.2);
  CHECK(local.expected_seconds == 0.09);
  CHECK(local.expected_as_reported_seconds == doctest::Approx(0.14));
  CHECK(local.speed_weight == doctest::Approx(0.3));
  PlacedWork remote = work;
  remote.is_in_local_region = false;
  CHECK(ObserveFirstEvent(model, 0.2, remote).speed_weight == 0);
}

}  // namespace
}  // namespace corianderpost
