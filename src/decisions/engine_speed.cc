#include "decisions/engine_speed.h"

#include <algorithm>
#include <cmath>

namespace corianderpost {
namespace {

// Weight, in first events per second, of the assumption that a target is as
// fast as the targets of its service are on average.
constexpr double kSlownessPriorWeight = 1.0;
// The same for the lasting speed, in observations.
constexpr double kSpeedPriorWeight = 4.0;
// Bounds of one slowness observation. These bounds, and the averaging of
// logarithms, limit the effect of a single outlier, such as a first event
// delayed by another request's long prompt.
constexpr double kMinSlowness = 0.3;
constexpr double kMaxSlowness = 20.0;
// An observation changes the logarithmic speed as if it differed by at most
// this from the present estimate (Huber's weights), a factor of 1.8.
constexpr double kMaxLogDeviation = 0.6;
// Lower bound of the expected time to first event, which is a divisor.
constexpr double kMinExpectedSeconds = 1e-3;
// Observations from which an engine's speed counts for the ratio of speeds. The
// estimate then differs by about a tenth from the real speed.
constexpr double kMinObservations = 10.0;
// Weight of the assumption that all speeds are equal in the ratio of speeds. It
// is larger than the one above: some of several equal engines are homes of
// popular chains all the time. In simulations of equal engines, the ratio
// reached 1.49 with the weight above and 1.33 with this one.
constexpr double kRatioPriorWeight = 10.0;
// With fewer such engines, the percentiles mean little.
constexpr std::size_t kMinEngines = 5;
// Ratio of neighboring quantized speeds, as a logarithm (a factor of 1.25).
constexpr double kLogLevelStep = 0.2231;
// Deviation from a quantized speed, in steps, from which the next one is used.
constexpr double kLevelHysteresis = 0.75;
// Bound of the mean logarithmic speed in an engine's sums. Larger ones come
// from rounding where sums of few observations are subtracted, or from a
// damaged report.
constexpr double kMaxMeanLogSpeed = 4.0;
// Lasting speeds are bounded by this factor and its inverse.
constexpr double kMaxLogSpeed = 1.61;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

FirstEventSums& FirstEventSums::operator+=(const FirstEventSums& addend) {
  first_events += addend.first_events;
  log_slowness += addend.log_slowness;
  speed_observations += addend.speed_observations;
  log_speed += addend.log_speed;
  return *this;
}

void EngineSpeed::Record(TimePoint now,
                         const FirstEventObservation& observation) {
  const double log_slowness = std::log(std::clamp(
      observation.measured_seconds /
          std::max(kMinExpectedSeconds, observation.expected_seconds),
      kMinSlowness, kMaxSlowness));
  first_events_.Add(now, 1);
  log_slowness_.Add(now, log_slowness);
  const double weight = std::clamp(observation.speed_weight, 0.0, 1.0);
  const double log_speed = std::log(
      std::max(kMinExpectedSeconds, observation.expected_as_reported_seconds) /
      std::max(kMinExpectedSeconds, observation.measured_seconds));
  speed_observations_.Add(now, weight);
  log_speed_sum_.Add(
      now,
      weight * std::clamp(log_speed, expected_log_speed_ - kMaxLogDeviation,
                          expected_log_speed_ + kMaxLogDeviation));
}

FirstEventSums EngineSpeed::LocalSums(TimePoint now) const {
  const double time_constant = Seconds(kSpeedTimeConstant);
  return {first_events_.PerSecond(now), log_slowness_.PerSecond(now),
          speed_observations_.PerSecond(now) * time_constant,
          log_speed_sum_.PerSecond(now) * time_constant};
}

double EngineSpeed::quantized_speed() const {
  return std::exp(level_ * kLogLevelStep);
}

void EngineSpeed::SetSlowness(const FirstEventSums& fleet,
                              const FirstEventSums& service) {
  const double service_log_slowness =
      service.log_slowness / (service.first_events + kSlownessPriorWeight);
  slowness_ = std::exp(
      (fleet.log_slowness + service_log_slowness * kSlownessPriorWeight) /
      (fleet.first_events + kSlownessPriorWeight));
}

void EngineSpeed::SetLogSpeed(double log_speed, double observations) {
  observations_ = observations;
  log_speed = std::clamp(log_speed, -kMaxLogSpeed, kMaxLogSpeed);
  speed_ = std::exp(log_speed);
  const double level = log_speed / kLogLevelStep;
  if (std::abs(level - level_) > kLevelHysteresis) {
    level_ = static_cast<int>(std::lround(level));
  }
}

void ServiceSpeeds::Add(EngineSpeed& engine, const FirstEventSums& fleet) {
  Member member{&engine, fleet};
  double& observations = member.fleet.speed_observations;
  observations = std::max(0.0, observations);
  const double bound = kMaxMeanLogSpeed * observations;
  member.fleet.log_speed = std::clamp(fleet.log_speed, -bound, bound);
  members_.push_back(member);
  total_ += fleet;
}

void ServiceSpeeds::Evaluate() {
  // The mean is over engines rather than first events. Otherwise it would move
  // when fast engines get more requests.
  double weights = 0;
  double log_speeds = 0;
  for (const Member& it : members_) {
    const double weight =
        1.0 / (std::max(0.0, it.fleet.speed_observations) + kSpeedPriorWeight);
    weights += weight * std::max(0.0, it.fleet.speed_observations);
    log_speeds += weight * it.fleet.log_speed;
  }
  const double mean = weights > 0 ? log_speeds / weights : 0.0;
  for (const Member& it : members_) {
    EngineSpeed& engine = *it.engine;
    const double observations = it.fleet.speed_observations;
    const double log_speed = (it.fleet.log_speed - mean * observations) /
                             (observations + kSpeedPriorWeight);
    engine.SetSlowness(it.fleet, total_);
    engine.SetLogSpeed(log_speed, observations);
    engine.expected_log_speed_ = mean + log_speed;
  }
}

double ServiceSpeeds::SpeedRatio() const {
  std::vector<double> speeds;
  for (const Member& it : members_) {
    const double observations = it.engine->observations();
    if (observations >= kMinObservations) {
      speeds.push_back(
          std::pow(it.engine->speed(), (observations + kSpeedPriorWeight) /
                                           (observations + kRatioPriorWeight)));
    }
  }
  if (speeds.size() < kMinEngines || 2 * speeds.size() < members_.size()) {
    return 1.0;
  }
  std::sort(speeds.begin(), speeds.end());
  const std::size_t tenth = (speeds.size() - 1) / 10;
  return speeds[speeds.size() - 1 - tenth] / speeds[tenth];
}

}  // namespace corianderpost
