#include "decisions/robust_line_fit.h"

#include <algorithm>
#include <cmath>

namespace corianderpost {
namespace {

// Observations that are kept. A router of a large fleet sees about 15 a second,
// so its line follows a change of the load within some seconds.
constexpr std::size_t kMaxObservations = 160;
// The line is fitted again after this many observations.
constexpr std::size_t kObservationsPerFit = 4;
// Observations of the prior at each of two points. They leave the ring like
// others, so that they count only at the start.
constexpr std::size_t kPriorObservations = 4;
constexpr int kIterations = 3;
// Relative errors above this count linearly.
constexpr double kHuberLimit = 0.15;

}  // namespace

RobustLineFit::RobustLineFit(const Line& prior, double prior_x,
                             const LineBounds& bounds)
    : bounds_(bounds), line_(prior) {
  observations_.reserve(kMaxObservations);
  for (std::size_t i = 0; i < kPriorObservations; ++i) {
    observations_.push_back({0, prior.At(0)});
    observations_.push_back({prior_x, prior.At(prior_x)});
  }
}

void RobustLineFit::Add(double x, double y) {
  if (!(y > 0)) {
    return;
  }
  if (observations_.size() < kMaxObservations) {
    observations_.push_back({x, y});
  } else {
    observations_[next_] = {x, y};
    next_ = (next_ + 1) % kMaxObservations;
  }
  if (++added_since_fit_ >= kObservationsPerFit) {
    added_since_fit_ = 0;
    Fit();
  }
}

void RobustLineFit::Fit() {
  for (int i = 0; i < kIterations; ++i) {
    double weight_sum = 0;
    double x_sum = 0;
    double y_sum = 0;
    double xx_sum = 0;
    double xy_sum = 0;
    for (const Observation& it : observations_) {
      const double fitted = line_.At(it.x);
      const double error = std::abs(it.y - fitted) / fitted;
      const double weight = std::min(1.0, kHuberLimit / std::max(error, 1e-9)) /
                            (fitted * fitted);
      weight_sum += weight;
      x_sum += weight * it.x;
      y_sum += weight * it.y;
      xx_sum += weight * it.x * it.x;
      xy_sum += weight * it.x * it.y;
    }
    const double variance = weight_sum * xx_sum - x_sum * x_sum;
    // All observations may have the same x.
    if (variance > 1e-6 * weight_sum * xx_sum) {
      line_.slope = std::clamp((weight_sum * xy_sum - x_sum * y_sum) / variance,
                               bounds_.min.slope, bounds_.max.slope);
    }
    line_.constant = std::clamp((y_sum - line_.slope * x_sum) / weight_sum,
                                bounds_.min.constant, bounds_.max.constant);
  }
}

}  // namespace corianderpost
