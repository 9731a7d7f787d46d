// Tells for which services the adaptive decisions take effect: learned request
// costs, measured engine capacity and engine speeds.
#ifndef CORIANDERPOST_DECISIONS_ADAPTIVE_PLACEMENT_H_
#define CORIANDERPOST_DECISIONS_ADAPTIVE_PLACEMENT_H_

#include <map>
#include <string>
#include <string_view>

#include "model/configuration.h"

namespace corianderpost {

enum class AdaptiveMode {
  // For services whose engines need it; see `AdaptivePlacement`.
  kAuto,
  kOn,
  kOff,
};

std::string_view ToString(AdaptiveMode mode);

// A service's engines need adaptive decisions if requests compete for their
// memory, i.e. a full batch of requests of mean declared size exceeds the
// KV cache, or if their measured speeds differ widely. Engines that have
// neither trait are served as well by the declared sizes and by one speed for
// all. Both conditions have hysteresis. Not thread-safe.
class AdaptivePlacement {
 public:
  explicit AdaptivePlacement(AdaptiveMode mode = AdaptiveMode::kAuto)
      : mode_(mode) {}

  void SetMode(AdaptiveMode mode) { mode_ = mode; }
  AdaptiveMode mode() const { return mode_; }

  // Records the KV cache, in tokens, that a request is declared to need on
  // `engine`, without shared prompt parts that other requests may have left.
  void RecordRequest(const std::string& service, const EngineProfile& engine,
                     double declared_tokens);
  // Sets the ratio of the fast engines' lasting speed to that of the slow ones
  // of a service; 1 if unknown.
  void SetSpeedRatio(const std::string& service, double ratio);

  bool IsMemoryScarce(const std::string& service) const;
  bool HasUnevenSpeeds(const std::string& service) const;
  // Returns whether decisions depend on each engine's lasting speed.
  bool UsesEngineSpeeds(const std::string& service) const;
  // Returns whether learned request costs and the measured capacity take
  // effect. Only if the mode is `kOn`: on the deployments that were measured
  // they admit more, but customers within their share are served later.
  bool UsesMeasuredLoad() const { return mode_ == AdaptiveMode::kOn; }
  // Returns whether adaptive decisions take effect for the service.
  bool IsActive(const std::string& service) const;

 private:
  struct Traits {
    double mean_declared_tokens = 0;
    int requests = 0;
    bool is_memory_scarce = false;
    bool has_uneven_speeds = false;
  };

  AdaptiveMode mode_;
  std::map<std::string, Traits> traits_;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_DECISIONS_ADAPTIVE_PLACEMENT_H_
