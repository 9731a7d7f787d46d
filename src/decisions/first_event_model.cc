#include "decisions/first_event_model.h"

#include <algorithm>

namespace corianderpost {
namespace {

// Factor by which an observation's weight decays with each later one.
constexpr double kDecay = 0.995;
// The assumed line counts as this many observations at each of two points.
constexpr double kPriorWeight = 10.0;
constexpr double kPriorTokens = 10'000.0;
// The fitted speed and idle time stay within these multiples of the assumed
// ones.
constexpr double kMinSpeedRatio = 0.2;
constexpr double kMaxSpeedRatio = 2.0;
constexpr double kMinIdleRatio = 0.5;
constexpr double kMaxIdleRatio = 5.0;

}  // namespace

FirstEventModel::FirstEventModel(double idle_seconds, double seconds_per_token)
    : prior_idle_seconds_(idle_seconds),
      prior_seconds_per_token_(seconds_per_token),
      idle_seconds_(idle_seconds),
      seconds_per_token_(seconds_per_token) {
  AddWeighted(kPriorWeight, 0, idle_seconds);
  AddWeighted(kPriorWeight, kPriorTokens,
              idle_seconds + kPriorTokens * seconds_per_token);
}

void FirstEventModel::AddWeighted(double weight, double tokens,
                                  double seconds) {
  weight_ += weight;
  tokens_ += weight * tokens;
  seconds_ += weight * seconds;
  tokens_squared_ += weight * tokens * tokens;
  tokens_seconds_ += weight * tokens * seconds;
}

void FirstEventModel::Add(double tokens, double seconds) {
  for (double* it :
       {&weight_, &tokens_, &seconds_, &tokens_squared_, &tokens_seconds_}) {
    *it *= kDecay;
  }
  AddWeighted(1.0, tokens, seconds);
  Fit();
}

void FirstEventModel::Fit() {
  const double variance = weight_ * tokens_squared_ - tokens_ * tokens_;
  // All observations may have the same number of tokens.
  if (variance > 1e-6 * weight_ * tokens_squared_) {
    seconds_per_token_ =
        std::clamp((weight_ * tokens_seconds_ - tokens_ * seconds_) / variance,
                   kMinSpeedRatio * prior_seconds_per_token_,
                   kMaxSpeedRatio * prior_seconds_per_token_);
  }
  idle_seconds_ = std::clamp(
      (seconds_ - seconds_per_token_ * tokens_) / weight_,
      kMinIdleRatio * prior_idle_seconds_, kMaxIdleRatio * prior_idle_seconds_);
}

}  // namespace corianderpost
