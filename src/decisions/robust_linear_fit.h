// Fits a linear function to recent observations so that its relative error is
// small for most of them, whatever the rest shows.
//
// A least-squares fit follows the largest values: a few long delays raise its
// constant, so that it is several times too high for small ones. This fit
// minimizes Huber's loss of the relative error by iteratively reweighted least
// squares (Holland and Welsch, "Robust regression using iteratively reweighted
// least-squares", 1977). Each of the weighted problems has bounds on the
// coefficients and is solved by coordinate descent.
#ifndef CORIANDERPOST_DECISIONS_ROBUST_LINEAR_FIT_H_
#define CORIANDERPOST_DECISIONS_ROBUST_LINEAR_FIT_H_

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <utility>
#include <vector>

namespace corianderpost {

// A function of `N` features. Not thread-safe.
template <std::size_t N>
class RobustLinearFit {
 public:
  using Vector = std::array<double, N>;

  // Assumes the coefficients `prior` until observations replace them. They and
  // all others stay between `min` and `max`. `prior_points` are features at
  // which the prior counts as observed; its value there must be positive.
  RobustLinearFit(const Vector& prior, const Vector& min, const Vector& max,
                  const std::vector<Vector>& prior_points)
      : min_(min), max_(max), coefficients_(prior) {
    observations_.reserve(kMaxObservations);
    for (const Vector& it : prior_points) {
      observations_.push_back({it, At(it)});
    }
  }

  // Records the value `y` at the features `x`. Ignores a `y` that is not
  // positive.
  void Add(const Vector& x, double y) {
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
      for (int i = 0; i < kReweightings; ++i) {
        Fit();
      }
    }
  }

  const Vector& coefficients() const { return coefficients_; }
  // Returns the function's value at `x`.
  double At(const Vector& x) const {
    double sum = 0;
    for (std::size_t i = 0; i < N; ++i) {
      sum += coefficients_[i] * x[i];
    }
    return sum;
  }

 private:
  // A router of a large fleet sees about 15 first events a second, so the fit
  // follows a change of the load within some seconds.
  static constexpr std::size_t kMaxObservations = 160;
  static constexpr std::size_t kObservationsPerFit = 4;
  static constexpr int kReweightings = 2;
  static constexpr int kDescents = 8;
  // Relative errors above this count linearly.
  static constexpr double kHuberLimit = 0.15;
  // Least value of the function in relative errors.
  static constexpr double kMinValue = 1e-6;

  struct Observation {
    Vector x{};
    double y = 0;
  };

  // Solves the problem weighted by the errors of the present coefficients.
  void Fit() {
    std::array<Vector, N> matrix{};
    Vector right_side{};
    for (const Observation& it : observations_) {
      const double value = std::max(kMinValue, At(it.x));
      const double error = std::abs(it.y - value) / value;
      const double weight =
          std::min(1.0, kHuberLimit / std::max(error, kMinValue)) /
          (value * value);
      for (std::size_t i = 0; i < N; ++i) {
        right_side[i] += weight * it.x[i] * it.y;
        for (std::size_t j = 0; j < N; ++j) {
          matrix[i][j] += weight * it.x[i] * it.x[j];
        }
      }
    }
    for (int descent = 0; descent < kDescents; ++descent) {
      for (std::size_t i = 0; i < N; ++i) {
        // A feature that no observation has keeps its coefficient.
        if (matrix[i][i] <= 0) {
          continue;
        }
        double rest = right_side[i];
        for (std::size_t j = 0; j < N; ++j) {
          rest -= i == j ? 0.0 : matrix[i][j] * coefficients_[j];
        }
        coefficients_[i] = std::clamp(rest / matrix[i][i], min_[i], max_[i]);
      }
    }
  }

  const Vector min_;
  const Vector max_;
  Vector coefficients_;
  // The last ones, in a ring.
  std::vector<Observation> observations_;
  std::size_t next_ = 0;
  std::size_t added_since_fit_ = 0;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_DECISIONS_ROBUST_LINEAR_FIT_H_
