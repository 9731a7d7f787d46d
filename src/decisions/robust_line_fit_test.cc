#include "decisions/robust_line_fit.h"

#include <doctest/doctest.h>

#include <random>

#include "decisions/first_event_model.h"

namespace corianderpost {
namespace {

constexpr Line kPrior{0.04, 43e-6};
constexpr LineBounds kBounds{{0.01, 8e-6}, {0.2, 86e-6}};
constexpr double kPriorX = 10'000;

// First events of an engine that reads a token in 24 us, a sixth of them up to
// ten times late: waits for slots, cold engines, full links.
class Delays {
 public:
  double tokens() {
    return is_long_(random_) ? long_tokens_(random_) : short_tokens_(random_);
  }
  double seconds(double tokens) {
    const double seconds = (0.025 + 24e-6 * tokens) * noise_(random_);
    return is_late_(random_) ? seconds * lateness_(random_) : seconds;
  }

 private:
  std::mt19937 random_{5};
  std::bernoulli_distribution is_long_{0.25};
  std::uniform_real_distribution<double> long_tokens_{3000, 9000};
  std::uniform_real_distribution<double> short_tokens_{100, 1000};
  std::uniform_real_distribution<double> noise_{0.85, 1.2};
  std::bernoulli_distribution is_late_{1.0 / 6};
  std::uniform_real_distribution<double> lateness_{2, 10};
};

// Guards against predictions of short prompts at three times what callers see.
TEST_CASE("A robust line predicts most delays in spite of a few long ones") {
  RobustLineFit fit(kPrior, kPriorX, kBounds);
  FirstEventModel least_squares(kPrior.constant, kPrior.slope);
  Delays delays;
  for (int i = 0; i < 1000; ++i) {
    const double tokens = delays.tokens();
    const double seconds = delays.seconds(tokens);
    fit.Add(tokens, seconds);
    least_squares.Add(tokens, seconds);
  }
  int close = 0;
  int close_least_squares = 0;
  for (int i = 0; i < 1000; ++i) {
    const double tokens = delays.tokens();
    const double seconds = delays.seconds(tokens);
    const auto is_close = [seconds](double predicted) {
      return seconds > 0.75 * predicted && seconds < 1.25 * predicted;
    };
    close += is_close(fit.line().At(tokens)) ? 1 : 0;
    close_least_squares += is_close(least_squares.Predict(tokens)) ? 1 : 0;
  }
  INFO("seed 5");
  CHECK(close >= 500);
  CHECK(close_least_squares < 500);
}

TEST_CASE("A robust line follows engines that become slower") {
  RobustLineFit fit(kPrior, kPriorX, kBounds);
  for (const double slope : {20e-6, 60e-6}) {
    for (int i = 0; i < 200; ++i) {
      const double x = 100 + 53 * (i % 100);
      fit.Add(x, 0.03 + slope * x);
    }
    CHECK(fit.line().slope == doctest::Approx(slope).epsilon(0.05));
    CHECK(fit.line().constant == doctest::Approx(0.03).epsilon(0.1));
  }
}

TEST_CASE("A robust line learns from the first observations after a start") {
  RobustLineFit fit(kPrior, kPriorX, kBounds);
  CHECK(fit.line() == kPrior);
  Delays delays;
  for (int i = 0; i < 40; ++i) {
    const double tokens = delays.tokens();
    fit.Add(tokens, delays.seconds(tokens));
  }
  CHECK(fit.line().At(5000) == doctest::Approx(0.145).epsilon(0.25));
}

TEST_CASE("A robust line stays within its bounds") {
  RobustLineFit fit(kPrior, kPriorX, kBounds);
  for (int i = 0; i < 500; ++i) {
    fit.Add(i % 2 == 0 ? 0 : 10'000, i % 2 == 0 ? 30 : 1e-9);
    fit.Add(1000, -1);
  }
  CHECK(fit.line().slope >= kBounds.min.slope);
  CHECK(fit.line().constant <= kBounds.max.constant);
  for (int i = 0; i < 500; ++i) {
    fit.Add(1000, 0.1);
  }
  CHECK(fit.line().At(1000) == doctest::Approx(0.1).epsilon(0.1));
}

}  // namespace
}  // namespace corianderpost
