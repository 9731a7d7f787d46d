// Predicts the time to an engine's first event from the parts of the load that
// a router knows, each with a coefficient of its own.
//
// Prompt tokens that other routers report as pending are some hundred
// milliseconds old: most of them have been read when a request arrives. So how
// much they delay a request is learned, apart from the time that the engine
// takes for the request's own prompt. The same holds for the distance of the
// other region, which includes the handshake of new connections.
#ifndef CORIANDERPOST_DECISIONS_FIRST_EVENT_PREDICTOR_H_
#define CORIANDERPOST_DECISIONS_FIRST_EVENT_PREDICTOR_H_

#include "decisions/robust_linear_fit.h"

namespace corianderpost {

// What an engine has to do before the first event of a request. Tokens are
// prompt tokens that are not cached.
struct FirstEventLoad {
  // Of the request itself.
  double own_tokens = 0;
  // Of this router's other requests at the engine, and of those that its peers
  // reported there.
  double queued_tokens = 0;
  // Mean over the engines of the region, as reported.
  double mean_queued_tokens = 0;
  bool is_remote = false;
  friend bool operator==(const FirstEventLoad&,
                         const FirstEventLoad&) = default;
};

// Not thread-safe.
class FirstEventPredictor {
 public:
  // Uses these values until observations replace them. All must be positive.
  FirstEventPredictor(double idle_seconds, double seconds_per_token,
                      double remote_seconds);

  // Records a first event that came `seconds` after the request was sent.
  void Add(const FirstEventLoad& load, double seconds);

  // Returns the median time to the first event, in seconds.
  double Predict(const FirstEventLoad& load) const;
  // Time to read one token.
  double seconds_per_token() const;
  // Additional time in the other region.
  double remote_seconds() const;

 private:
  RobustLinearFit<5> fit_;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_DECISIONS_FIRST_EVENT_PREDICTOR_H_
