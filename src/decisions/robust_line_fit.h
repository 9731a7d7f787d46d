// Fits a line to recent observations so that its relative error is small for
// most of them, whatever the rest shows.
//
// A least-squares line follows the largest values: a few long delays raise its
// constant term, so that it is several times too high for small ones. This fit
// minimizes Huber's loss of the relative error instead, by iteratively
// reweighted least squares (Huber, "Robust Estimation of a Location Parameter",
// 1964; Holland and Welsch, "Robust regression using iteratively reweighted
// least-squares", 1977).
#ifndef CORIANDERPOST_DECISIONS_ROBUST_LINE_FIT_H_
#define CORIANDERPOST_DECISIONS_ROBUST_LINE_FIT_H_

#include <cstddef>
#include <vector>

namespace corianderpost {

// A line y = constant + slope * x.
struct Line {
  double constant = 0;
  double slope = 0;
  double At(double x) const { return constant + slope * x; }
  friend bool operator==(const Line&, const Line&) = default;
};

// Bounds of the fitted line's parameters, all positive.
struct LineBounds {
  Line min;
  Line max;
  friend bool operator==(const LineBounds&, const LineBounds&) = default;
};

// Not thread-safe.
class RobustLineFit {
 public:
  // Assumes `prior`, whose parameters must be positive and within `bounds`,
  // until observations replace it. `prior_x` is an x at which it is to be
  // kept.
  RobustLineFit(const Line& prior, double prior_x, const LineBounds& bounds);

  // Records y observed at x. `x` must not be negative; a `y` that is not
  // positive is ignored.
  void Add(double x, double y);
  const Line& line() const { return line_; }

 private:
  struct Observation {
    double x = 0;
    double y = 0;
  };
  void Fit();

  const LineBounds bounds_;
  Line line_;
  // The last ones, in a ring.
  std::vector<Observation> observations_;
  std::size_t next_ = 0;
  std::size_t added_since_fit_ = 0;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_DECISIONS_ROBUST_LINE_FIT_H_
