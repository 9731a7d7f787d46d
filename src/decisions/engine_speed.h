// Tells an engine's lasting speed apart from its load of the moment.
//
// Both are estimated from first events: the time that they took compared with
// the time expected from the engine's load alone. Observations of the last few
// seconds show the slowness of the moment, which includes load that reports
// don't show yet. Those of the last half minute show the speed of the engine's
// hardware. All routers compute both from the sums of all routers'
// observations, so that routers that see few requests each get the same speeds.
#ifndef CORIANDERPOST_DECISIONS_ENGINE_SPEED_H_
#define CORIANDERPOST_DECISIONS_ENGINE_SPEED_H_

#include <vector>

#include "corianderpost/clock.h"
#include "decisions/rate_meter.h"

namespace corianderpost {

// Time constant of the observations behind the slowness of the moment. It is
// longer than a queue takes to build up and drain, which does not mean that the
// target's speed has changed.
inline constexpr Duration kSlownessTimeConstant = std::chrono::seconds(4);
// Time constant of the observations behind the lasting speed. Short slow
// periods of an engine and full links last a few seconds.
inline constexpr Duration kSpeedTimeConstant = std::chrono::seconds(30);

// Sums over observed first events. Additive over routers.
struct FirstEventSums {
  // First events per second, and the sum of their logarithmic slowness per
  // second, over `kSlownessTimeConstant`.
  double first_events = 0;
  double log_slowness = 0;
  // Weights of the observations of the speed, and weighted sum of the
  // logarithmic speeds, with exponential decay over `kSpeedTimeConstant`.
  double speed_observations = 0;
  double log_speed = 0;
  FirstEventSums& operator+=(const FirstEventSums& addend);
  friend bool operator==(const FirstEventSums&,
                         const FirstEventSums&) = default;
};

// One measured first event. Times are in seconds.
struct FirstEventObservation {
  double measured_seconds = 0;
  // Expected from the load alone, as predicted when the request was placed.
  double expected_seconds = 0;
  // Expected by an engine of mean speed that has exactly the load that was
  // reported. The prediction above gives most weight to the mean load instead,
  // so that an engine with much load all the time would look slow.
  double expected_as_reported_seconds = 0;
  // Weight of the observation for the lasting speed, from 0 to 1: the part of
  // the expected time that the engine needs for the request's own prompt. The
  // rest depends little on the engine's speed or is uncertain.
  double speed_weight = 0;
  friend bool operator==(const FirstEventObservation&,
                         const FirstEventObservation&) = default;
};

// The speed of one engine. Not thread-safe.
class EngineSpeed {
 public:
  // Records a first event that this router saw. Non-finite or negative times
  // must not be passed.
  void Record(TimePoint now, const FirstEventObservation& observation);
  // Returns the sums over what this router recorded.
  FirstEventSums LocalSums(TimePoint now) const;
  // Forgets everything. Call if the engine has restarted.
  void Reset() { *this = EngineSpeed(); }

  // Time to first event relative to that expected from the load alone, over the
  // last seconds; 1 if as expected, above 1 if slower.
  double slowness() const { return slowness_; }
  // Lasting speed relative to the mean of the service's engines; 1 if unknown.
  double speed() const { return speed_; }
  // Sum of the weights of the observations behind `speed`, at all routers.
  double observations() const { return observations_; }
  // `speed` rounded to a power of a fixed ratio, with hysteresis, so that most
  // routers use the same value though their sums differ a little.
  double quantized_speed() const;

 private:
  friend class ServiceSpeeds;
  void SetSlowness(const FirstEventSums& fleet, const FirstEventSums& service);
  void SetLogSpeed(double log_speed, double observations);

  RateMeter first_events_{kSlownessTimeConstant};
  RateMeter log_slowness_{kSlownessTimeConstant};
  RateMeter speed_observations_{kSpeedTimeConstant};
  RateMeter log_speed_sum_{kSpeedTimeConstant};
  double slowness_ = 1.0;
  double speed_ = 1.0;
  // Logarithm of the speed relative to the expectation rather than to the
  // service's mean; observations are compared with it.
  double expected_log_speed_ = 0;
  double observations_ = 0;
  int level_ = 0;
};

// Evaluates the engines of one service together. Used for one evaluation and
// then discarded. Not thread-safe.
class ServiceSpeeds {
 public:
  // Adds an engine with the sums of all routers. `engine` must outlive this
  // object.
  void Add(EngineSpeed& engine, const FirstEventSums& fleet);
  // Sets the slowness and the speed of each engine.
  void Evaluate();
  // Returns the ratio of the 90th to the 10th percentile of the speeds of
  // engines with enough observations; 1 if these are under half of all or only
  // a few. Call after `Evaluate`.
  double SpeedRatio() const;

 private:
  struct Member {
    EngineSpeed* engine = nullptr;
    FirstEventSums fleet;
  };
  std::vector<Member> members_;
  FirstEventSums total_;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_DECISIONS_ENGINE_SPEED_H_
