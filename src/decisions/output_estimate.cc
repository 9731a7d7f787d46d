#include "decisions/output_estimate.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace corianderpost {
namespace {

// Number of streams over which moments are averaged.
constexpr double kMaxWeight = 200;
// The same for the accuracy of hints, in units of squared logarithms times
// streams, so that a customer whose hints turn bad loses its weight soon.
constexpr double kHintMemory = 1.0 / 64;
// Weight of the declared maximum against the route's streams, and of the
// route's streams against a customer's, in streams.
constexpr double kDeclaredWeight = 1;
constexpr double kRouteWeight = 12;
// Variance of logarithms that is assumed before the first streams: outputs are
// within a factor of e of the prediction.
constexpr double kPriorVariance = 1.0;
// Prior of the regression on hints: half weight, worth this many squared
// logarithms.
constexpr double kPriorHintWeight = 0.5;
constexpr double kPriorHintSquare = 4.0;
// Bound of logarithms relative to the mean, so that one absurd hint does not
// outweigh the others: a factor of 20.
constexpr double kMaxLogRatio = 3.0;
// Weight of the prior smearing ratio, in streams, and bounds of the ratio.
constexpr double kPriorSmearingWeight = 4;
constexpr double kMinSmearing = 0.5;
constexpr double kMaxSmearing = 4.0;
// The load has changed if the mean over this many recent streams differs from
// the mean of all by this many standard errors.
constexpr int kRecentStreams = 24;
constexpr double kChangeStandardErrors = 5.0;
constexpr double kMinVariance = 0.01;
// Entries that were not used for this long make room for new ones.
constexpr Duration kRetention = std::chrono::seconds(60);

double LogOf(double output) { return std::log(std::max(1.0, output)); }

// Returns the hazard of the standard normal distribution at `z`: the mean of
// what lies above `z`.
double NormalHazard(double z) {
  // The tail underflows; the hazard approaches its argument.
  constexpr double kMaxZ = 8.0;
  if (z > kMaxZ) {
    return z + 1.0 / z;
  }
  const double tail = 0.5 * std::erfc(z / std::numbers::sqrt2);
  return std::exp(-0.5 * z * z) * std::numbers::inv_sqrtpi /
         std::numbers::sqrt2 / tail;
}

}  // namespace

void OutputEstimates::LogMoments::Add(double first, double second) {
  weight_ = std::min(weight_ + 1, kMaxWeight);
  mean_ += (first - mean_) / weight_;
  mean_square_ += (second - mean_square_) / weight_;
  ++recent_count_;
  const double recent_weight = recent_count_;
  recent_mean_ += (first - recent_mean_) / recent_weight;
  recent_mean_square_ += (second - recent_mean_square_) / recent_weight;
}

double OutputEstimates::LogMoments::variance() const {
  return std::max(kMinVariance, mean_square_ - mean_ * mean_);
}

bool OutputEstimates::LogMoments::ForgetIfChanged() {
  if (recent_count_ < kRecentStreams) {
    return false;
  }
  const double standard_error = std::sqrt(variance() / kRecentStreams);
  const bool has_changed =
      weight_ > 2 * kRecentStreams &&
      std::abs(recent_mean_ - mean_) > kChangeStandardErrors * standard_error;
  if (has_changed) {
    weight_ = kRecentStreams;
    mean_ = recent_mean_;
    mean_square_ = recent_mean_square_;
  }
  recent_count_ = 0;
  return has_changed;
}

void OutputEstimates::Distribution::AddRatio(double ratio) {
  smearing_weight = std::min(smearing_weight + 1, kMaxWeight);
  smearing_ratio += (ratio - smearing_ratio) / smearing_weight;
}

const OutputEstimates::Distribution* OutputEstimates::Find(
    const Key& key) const {
  const auto it = distributions_.find(key);
  return it == distributions_.end() ? nullptr : &it->second;
}

OutputEstimates::Distribution* OutputEstimates::FindOrCreate(TimePoint now,
                                                             const Key& key) {
  auto it = distributions_.find(key);
  if (it == distributions_.end()) {
    if (distributions_.size() >= kMaxEntries) {
      std::erase_if(distributions_, [now](const auto& entry) {
        return now - entry.second.used_at > kRetention;
      });
    }
    if (distributions_.size() >= kMaxEntries) {
      return nullptr;
    }
    it = distributions_.emplace(key, Distribution()).first;
  }
  it->second.used_at = now;
  return &it->second;
}

OutputEstimates::Prior OutputEstimates::PriorOf(
    const OutputTraits& traits) const {
  Prior prior{LogOf(traits.max_output), kPriorVariance};
  const auto blend = [&prior](const Distribution* distribution,
                              double prior_weight) {
    if (distribution == nullptr) {
      return;
    }
    const LogMoments& logs = distribution->logs;
    const double part = logs.weight() / (logs.weight() + prior_weight);
    prior.log_output += part * (logs.mean() - prior.log_output);
    prior.variance += part * (logs.variance() - prior.variance);
  };
  blend(Find({traits.route, CustomerId()}), kDeclaredWeight);
  if (traits.customer != CustomerId()) {
    blend(Find({traits.route, traits.customer}), kRouteWeight);
  }
  return prior;
}

bool OutputEstimates::HasRoomForHints(TimePoint now, CustomerId customer) {
  if (hints_.size() >= kMaxEntries && !hints_.contains(customer)) {
    std::erase_if(hints_, [now](const auto& entry) {
      return now - entry.second.used_at > kRetention;
    });
  }
  return hints_.size() < kMaxEntries || hints_.contains(customer);
}

double OutputEstimates::HintWeight(CustomerId customer) const {
  const auto it = hints_.find(customer);
  const double square = it == hints_.end() ? 0 : it->second.hint_square;
  const double product = it == hints_.end() ? 0 : it->second.product;
  return std::clamp((product + kPriorHintWeight * kPriorHintSquare) /
                        (square + kPriorHintSquare),
                    0.0, 1.0);
}

double OutputEstimates::LogPrediction(const OutputTraits& traits,
                                      const Prior& prior) const {
  if (!traits.hint) {
    return prior.log_output;
  }
  const double relative_hint = std::clamp(
      LogOf(*traits.hint) - prior.log_output, -kMaxLogRatio, kMaxLogRatio);
  return prior.log_output + HintWeight(traits.customer) * relative_hint;
}

double OutputEstimates::SmearingRatio(const OutputTraits& traits) const {
  double ratio = 1;
  double prior_weight = kPriorSmearingWeight;
  for (const Key& key :
       {Key{traits.route, CustomerId()}, Key{traits.route, traits.customer}}) {
    if (const Distribution* it = Find(key); it != nullptr) {
      ratio += it->smearing_weight / (it->smearing_weight + prior_weight) *
               (it->smearing_ratio - ratio);
    }
    prior_weight = kRouteWeight;
  }
  return std::clamp(ratio, kMinSmearing, kMaxSmearing);
}

double OutputEstimates::Predict(const OutputTraits& traits) const {
  if (traits.max_output <= 0) {
    return 0;
  }
  const double output =
      std::exp(LogPrediction(traits, PriorOf(traits))) * SmearingRatio(traits);
  return std::clamp(output, 1.0, traits.max_output);
}

template <typename Function>
void OutputEstimates::ForDistributions(TimePoint now,
                                       const OutputTraits& traits,
                                       const Function& apply) {
  if (Distribution* it = FindOrCreate(now, {traits.route, CustomerId()});
      it != nullptr) {
    apply(*it);
  }
  if (traits.customer == CustomerId()) {
    return;
  }
  if (Distribution* it = FindOrCreate(now, {traits.route, traits.customer});
      it != nullptr) {
    apply(*it);
  }
}

void OutputEstimates::RecordCompleted(TimePoint now, const OutputTraits& traits,
                                      double output) {
  const double log_output = LogOf(output);
  const Prior prior = PriorOf(traits);
  const double predicted_log = LogPrediction(traits, prior);
  if (traits.hint && HasRoomForHints(now, traits.customer)) {
    const auto bounded = [&prior](double log) {
      return std::clamp(log - prior.log_output, -kMaxLogRatio, kMaxLogRatio);
    };
    const double hint = bounded(LogOf(*traits.hint));
    HintAccuracy& accuracy = hints_[traits.customer];
    accuracy.hint_square += hint * hint - kHintMemory * accuracy.hint_square;
    accuracy.product +=
        hint * bounded(log_output) - kHintMemory * accuracy.product;
    accuracy.used_at = now;
  }
  const double ratio = std::min(std::max(1.0, output) / std::exp(predicted_log),
                                std::exp(kMaxLogRatio));
  ForDistributions(now, traits, [log_output, ratio](Distribution& it) {
    it.logs.Add(log_output, log_output * log_output);
    it.AddRatio(ratio);
    if (it.logs.ForgetIfChanged()) {
      it.smearing_weight = 0;
      it.smearing_ratio = 1;
    }
  });
}

void OutputEstimates::RecordInterrupted(TimePoint now,
                                        const OutputTraits& traits,
                                        double output) {
  const Prior prior = PriorOf(traits);
  const double deviation = std::sqrt(prior.variance);
  const double z = (LogOf(output) - prior.log_output) / deviation;
  const double hazard = NormalHazard(z);
  const double max_log = LogOf(traits.max_output);
  const double first = std::min(prior.log_output + deviation * hazard, max_log);
  const double spread =
      prior.variance * std::max(0.0, 1.0 + z * hazard - hazard * hazard);
  // The mean of a lognormal distribution with these moments. Completed streams
  // alone are the short ones.
  const double ratio =
      std::exp(std::min(first + spread / 2, max_log) - prior.log_output);
  ForDistributions(now, traits, [first, spread, ratio](Distribution& it) {
    it.logs.Add(first, first * first + spread);
    it.AddRatio(ratio);
  });
}

}  // namespace corianderpost
