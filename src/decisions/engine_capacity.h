// The throughput of the model engines: the configured one, scaled to the
// engines that can serve now, and for services with adaptive decisions times a
// measured factor of at least 1.
//
// The measured factor is a function of what all routers know alike: the
// customers' demand and admitted rates, and the engines' queues, slots and KV
// cache. While the engines have headroom, it rises slowly to somewhat more than
// what is admitted already, but not above the demand; when they have none, it
// falls fast to 1. It is no sum of past errors, so the factors of routers whose
// reports differ for a while come together again.
#ifndef CORIANDERPOST_DECISIONS_ENGINE_CAPACITY_H_
#define CORIANDERPOST_DECISIONS_ENGINE_CAPACITY_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "corianderpost/clock.h"
#include "decisions/rate_meter.h"
#include "decisions/target_table.h"
#include "model/configuration.h"

namespace corianderpost {

// What keeps the measured factor of a service from rising further.
enum class CapacityLimit {
  // The service has no adaptive decisions, or no engine.
  kConfigured,
  // All demand fits.
  kDemand,
  // Prompt tokens queue too long for the shortest latency goal.
  kQueue,
  // The engines' slots are taken.
  kSlots,
  // The engines' KV cache is taken.
  kKvCache,
  // The engines have headroom: the factor rises, or has reached its maximum.
  kNone,
};

std::string_view ToString(CapacityLimit limit);

// What the capacity of one service's engines is computed from, besides their
// load. Rates are in units per second (see fair_share.h), at all routers and of
// all services together.
struct EngineCapacityInputs {
  // Configured throughput; zero if unknown.
  double configured_rate = 0;
  double demand = 0;
  double admitted = 0;
  EngineProfile engine;
  // Shortest latency goal of the routes to the service.
  double goal_seconds = 0;
  // Time that an engine takes per prompt token, as learned by this router; zero
  // if unknown.
  double seconds_per_prompt_token = 0;
  // Whether the measured factor takes effect.
  bool is_measured = false;
};

// Not thread-safe.
class EngineCapacity {
 public:
  // Bounds of the measured factor.
  static constexpr double kMinFactor = 1.0;
  static constexpr double kMaxFactor = 3.0;

  // Records the demand of one model request.
  void RecordRequest(TimePoint now, double units);

  // Returns whether the service's capacity is out of date.
  bool NeedsUpdate(TimePoint now, const std::string& service) const;
  // Computes the service's capacity from its targets in `targets`. `now` must
  // not decrease.
  void Update(TimePoint now, const std::string& service,
              const EngineCapacityInputs& inputs, TargetTable& targets);

  // Returns the throughput of the engines of all services in units per second,
  // or nullopt if it is unknown.
  std::optional<double> UnitsPerSecond() const;
  // Returns the same without the measured factors.
  std::optional<double> ConfiguredUnitsPerSecond() const;
  // Returns the seconds that one engine of the service takes per unit according
  // to the configured throughput, or nullopt if that is unknown.
  std::optional<double> SecondsPerUnit(const std::string& service) const;

  // Returns the measured factor of the service; 1 if unknown.
  double Factor(const std::string& service) const;
  // Returns whether the service's engines have at least half of their headroom.
  // False if the capacity is not measured.
  bool HasHeadroom(const std::string& service) const;
  // Returns the time until the prompt tokens queued at the service's engines
  // leave headroom, as of the last update; zero if they do or if it is unknown.
  Duration TimeUntilHeadroom(const std::string& service) const;
  // Returns what limits the measured factor of the service.
  CapacityLimit Limit(const std::string& service) const;
  // Returns the limit of the service whose factor is the lowest among the
  // services with a measured one; `kConfigured` if there is none.
  CapacityLimit LowestLimit() const;

  // Sums over all services. A cold engine counts as a part of one.
  double UsableEngines() const;
  double PeakEngines() const;

 private:
  // Mean load of the usable engines.
  struct Load {
    double queue_seconds = 0;
    // Requests in flight per slot.
    double slots = 0;
    // Fraction of the KV cache that is reserved.
    double kv_cache = 0;
  };
  struct Service {
    TimePoint updated_at;
    double usable_engines = 0;
    // Maximum of `usable_engines` so far. The configured throughput is taken to
    // be that of this many engines.
    double peak_engines = 0;
    std::optional<double> seconds_per_unit;
    // Averaged.
    Load load;
    double factor = kMinFactor;
    // From 0 to 1.
    double headroom = 0;
    double seconds_until_headroom = 0;
    CapacityLimit limit = CapacityLimit::kConfigured;
  };

  // Returns the throughput of an engine as a fraction of that of a warm one
  // without a rate limit.
  double EngineFraction(TimePoint now, const Service& service,
                        const TargetState& target,
                        const TargetTable& targets) const;
  // Sets the headroom, and what limits it, from the average load.
  static void SetHeadroom(double goal_seconds, Service& service);
  static void UpdateFactor(double elapsed_seconds, double demand_ratio,
                           double admitted_ratio, Service& service);

  double configured_rate_ = 0;
  std::map<std::string, Service> services_;
  // Units and number of model requests per second at this router, for the
  // throughput that a limit on requests allows.
  RateMeter requested_units_{std::chrono::seconds(5)};
  RateMeter requests_{std::chrono::seconds(5)};
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_DECISIONS_ENGINE_CAPACITY_H_
