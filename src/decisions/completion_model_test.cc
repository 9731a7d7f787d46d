#include "decisions/completion_model.h"

#include <doctest/doctest.h>

namespace corianderpost {
namespace {

// Steps of 3 ms and 0.1 ms for each stream.
double StepSeconds(double streams) { return 0.003 + 0.0001 * streams; }

TEST_CASE("The time per token is learned with the number of streams") {
  CompletionModel model;
  for (int i = 0; i < 400; ++i) {
    const double others = i % 40;
    // One in ten waits for a slow caller.
    const double factor = i % 10 == 3 ? 20 : 1;
    model.RecordStream(others, 100, 100 * factor * StepSeconds(others + 1));
    // Short ones, of which all tokens arrive at once.
    model.RecordStream(others, 5, 1);
  }
  CHECK(model.GenerationSeconds({9, 0}, 200) ==
        doctest::Approx(200 * StepSeconds(10)).epsilon(0.1));
  CHECK(model.GenerationSeconds({29, 0}, 200) ==
        doctest::Approx(200 * StepSeconds(30)).epsilon(0.1));
}

TEST_CASE("A request delays the others while they run") {
  const CompletionModel model;
  CHECK(model.DelayOfOthers({0, 0}, 0.1, 100) == 0);
  // Those that are about to end are only delayed by the prompt.
  CHECK(model.DelayOfOthers({10, 0}, 0.1, 100) == doctest::Approx(1.0));
  const double some = model.DelayOfOthers({10, 500}, 0.1, 100);
  CHECK(some > 1.0);
  CHECK(model.DelayOfOthers({10, 1000}, 0.1, 100) > some);
  CHECK(model.DelayOfOthers({10, 9000}, 0.1, 100) ==
        doctest::Approx(model.DelayOfOthers({10, 1000}, 0.1, 100)));
}

}  // namespace
}  // namespace corianderpost
