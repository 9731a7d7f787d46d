#include "decisions/first_event_predictor.h"

#include <vector>

namespace corianderpost {
namespace {

using Vector = RobustLinearFit<5>::Vector;

enum Feature : std::size_t {
  kConstant,
  kOwnTokens,
  kQueuedTokens,
  kMeanQueuedTokens,
  kRemote,
};

// Bounds of the coefficients as multiples of the assumed ones.
constexpr double kMinRatio = 0.2;
constexpr double kMaxTimeRatio = 5.0;
constexpr double kMaxSecondsPerTokenRatio = 2.0;
// Sizes at which the assumed coefficients count as observed.
constexpr double kSmallTokens = 500;
constexpr double kLargeTokens = 8000;

Vector FeaturesOf(const FirstEventLoad& load) {
  return {1.0, load.own_tokens, load.queued_tokens, load.mean_queued_tokens,
          load.is_remote ? 1.0 : 0.0};
}

// The assumed coefficients take the reported queues of the engine for true and
// ignore the mean of the others.
Vector Prior(double idle_seconds, double seconds_per_token,
             double remote_seconds) {
  return {idle_seconds, seconds_per_token, seconds_per_token, 0.0,
          remote_seconds};
}

Vector MinCoefficients(const Vector& prior) {
  Vector min{};
  for (const Feature it : {kConstant, kOwnTokens, kRemote}) {
    min[it] = kMinRatio * prior[it];
  }
  return min;
}

Vector MaxCoefficients(const Vector& prior) {
  Vector max{};
  for (const Feature it : {kConstant, kRemote}) {
    max[it] = kMaxTimeRatio * prior[it];
  }
  for (const Feature it : {kOwnTokens, kQueuedTokens, kMeanQueuedTokens}) {
    max[it] = kMaxSecondsPerTokenRatio * prior[kOwnTokens];
  }
  return max;
}

std::vector<Vector> PriorPoints() {
  std::vector<Vector> points;
  for (const double remote : {0.0, 1.0}) {
    for (const double own : {kSmallTokens, kLargeTokens}) {
      points.push_back({1, own, 0, 0, remote});
      points.push_back({1, own, kLargeTokens, 0, remote});
    }
  }
  return points;
}

}  // namespace

FirstEventPredictor::FirstEventPredictor(double idle_seconds,
                                         double seconds_per_token,
                                         double remote_seconds)
    : fit_(Prior(idle_seconds, seconds_per_token, remote_seconds),
           MinCoefficients(
               Prior(idle_seconds, seconds_per_token, remote_seconds)),
           MaxCoefficients(
               Prior(idle_seconds, seconds_per_token, remote_seconds)),
           PriorPoints()) {}

void FirstEventPredictor::Add(const FirstEventLoad& load, double seconds) {
  fit_.Add(FeaturesOf(load), seconds);
}

double FirstEventPredictor::Predict(const FirstEventLoad& load) const {
  return fit_.At(FeaturesOf(load));
}

double FirstEventPredictor::seconds_per_token() const {
  return fit_.coefficients()[kOwnTokens];
}

double FirstEventPredictor::remote_seconds() const {
  return fit_.coefficients()[kRemote];
}

}  // namespace corianderpost
