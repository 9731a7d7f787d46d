// Predicts the time to an engine's first event from the prompt tokens that the
// engine has to read before it, for engines whose reading speed differs from
// the configured throughput.
//
// The configured throughput counts the output of requests too, so a prompt is
// read much faster than it says, while the time that does not depend on tokens
// is longer on a busy engine. The line through recent observations tells both.
// Where a few long delays would spoil a least-squares line, a robust one is
// used.
#ifndef CORIANDERPOST_DECISIONS_FIRST_EVENT_MODEL_H_
#define CORIANDERPOST_DECISIONS_FIRST_EVENT_MODEL_H_

#include "decisions/robust_line_fit.h"

namespace corianderpost {

// Not thread-safe.
class FirstEventModel {
 public:
  // Uses `idle_seconds` and `seconds_per_token` until observations replace
  // them. Both must be positive.
  FirstEventModel(double idle_seconds, double seconds_per_token);

  // Records a first event that came `seconds` after the request was sent to an
  // engine that had to read `tokens` before it.
  void Add(double tokens, double seconds);

  // Selects the robust line instead of the least-squares one.
  void SetRobust(bool is_robust) { is_robust_ = is_robust; }

  double idle_seconds() const { return line().constant; }
  double seconds_per_token() const { return line().slope; }
  double Predict(double tokens) const { return line().At(tokens); }

 private:
  const Line& line() const {
    return is_robust_ ? robust_fit_.line() : least_squares_;
  }
  void AddWeighted(double weight, double tokens, double seconds);
  void Fit();

  const double prior_idle_seconds_;
  const double prior_seconds_per_token_;
  bool is_robust_ = false;
  RobustLineFit robust_fit_;
  Line least_squares_;
  // Weighted sums over the observations.
  double weight_ = 0;
  double tokens_ = 0;
  double seconds_ = 0;
  double tokens_squared_ = 0;
  double tokens_seconds_ = 0;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_DECISIONS_FIRST_EVENT_MODEL_H_
