// Predicts the time to an engine's first event from the prompt tokens that the
// engine has to read before it, for engines whose reading speed differs from
// the configured throughput.
//
// The configured throughput counts the output of requests too, so a prompt is
// read much faster than it says, while the time that does not depend on tokens
// is longer on a busy engine. The line through recent observations tells both.
#ifndef CORIANDERPOST_DECISIONS_FIRST_EVENT_MODEL_H_
#define CORIANDERPOST_DECISIONS_FIRST_EVENT_MODEL_H_

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

  double idle_seconds() const { return idle_seconds_; }
  double seconds_per_token() const { return seconds_per_token_; }
  double Predict(double tokens) const {
    return idle_seconds_ + tokens * seconds_per_token_;
  }

 private:
  void AddWeighted(double weight, double tokens, double seconds);
  void Fit();

  const double prior_idle_seconds_;
  const double prior_seconds_per_token_;
  double idle_seconds_;
  double seconds_per_token_;
  // Weighted sums over the observations.
  double weight_ = 0;
  double tokens_ = 0;
  double seconds_ = 0;
  double tokens_squared_ = 0;
  double tokens_seconds_ = 0;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_DECISIONS_FIRST_EVENT_MODEL_H_
