#include "decisions/adaptive_placement.h"

namespace corianderpost {
namespace {

// Requests after which the mean counts.
constexpr int kMinRequests = 30;
// Weight of one request in the mean.
constexpr double kRequestWeight = 0.02;
// Memory becomes scarce if a full batch takes more than the first fraction of
// the KV cache, and stops being so below the second one. Engines keep shared
// prompt parts in what remains.
constexpr double kScarceFraction = 0.85;
constexpr double kAmpleFraction = 0.70;
// The same for the ratio of fast to slow engines.
constexpr double kUnevenRatio = 1.5;
constexpr double kEvenRatio = 1.3;

}  // namespace

std::string_view ToString(AdaptiveMode mode) {
  switch (mode) {
    case AdaptiveMode::kAuto:
      return "auto";
    case AdaptiveMode::kOn:
      return "on";
    case AdaptiveMode::kOff:
      break;
  }
  return "off";
}

void AdaptivePlacement::RecordRequest(const std::string& service,
                                      const EngineProfile& engine,
                                      double declared_tokens) {
  if (engine.kv_capacity_tokens <= 0) {
    return;
  }
  Traits& traits = traits_[service];
  const double weight = traits.requests < kMinRequests
                            ? 1.0 / (traits.requests + 1)
                            : kRequestWeight;
  traits.mean_declared_tokens +=
      weight * (declared_tokens - traits.mean_declared_tokens);
  if (traits.requests < kMinRequests) {
    ++traits.requests;
    return;
  }
  const double batch_fraction = traits.mean_declared_tokens * engine.slots /
                                static_cast<double>(engine.kv_capacity_tokens);
  traits.is_memory_scarce =
      batch_fraction >
      (traits.is_memory_scarce ? kAmpleFraction : kScarceFraction);
}

void AdaptivePlacement::SetSpeedRatio(const std::string& service,
                                      double ratio) {
  Traits& traits = traits_[service];
  traits.has_uneven_speeds =
      ratio >= (traits.has_uneven_speeds ? kEvenRatio : kUnevenRatio);
}

bool AdaptivePlacement::IsMemoryScarce(const std::string& service) const {
  const auto it = traits_.find(service);
  return it != traits_.end() && it->second.is_memory_scarce;
}

bool AdaptivePlacement::HasUnevenSpeeds(const std::string& service) const {
  const auto it = traits_.find(service);
  return it != traits_.end() && it->second.has_uneven_speeds;
}

bool AdaptivePlacement::UsesEngineSpeeds(const std::string& service) const {
  return mode_ == AdaptiveMode::kOn ||
         (mode_ == AdaptiveMode::kAuto && HasUnevenSpeeds(service));
}

bool AdaptivePlacement::IsActive(const std::string& service) const {
  switch (mode_) {
    case AdaptiveMode::kOn:
      return true;
    case AdaptiveMode::kOff:
      return false;
    case AdaptiveMode::kAuto:
      break;
  }
  return IsMemoryScarce(service) || HasUnevenSpeeds(service);
}

}  // namespace corianderpost
