#include "decisions/engine_capacity.h"

#include <algorithm>
#include <cmath>

namespace corianderpost {
namespace {

constexpr Duration kUpdateInterval = std::chrono::milliseconds(100);
// Throughput of a cold engine as a fraction of that of a warm one.
constexpr double kColdFraction = 0.5;
// The headroom is 1 up to the first value of each pair and 0 from the second
// one on. Queues are fractions of the shortest latency goal: the second one is
// below the queueing limit of customers above their share, so that the factor
// has fallen before requests within a share are rejected.
constexpr double kShortQueue = 0.15;
constexpr double kLongQueue = 0.45;
constexpr double kFewSlots = 0.70;
constexpr double kAllSlots = 1.0;
// The scheduler reserves up to 0.85 of an engine's KV cache.
constexpr double kLittleKvCache = 0.60;
constexpr double kMuchKvCache = 0.85;
// With full headroom the factor rises to this multiple of what is admitted.
constexpr double kProbeRatio = 1.3;
// With full headroom the factor rises to at most this multiple of the demand,
// so that noise of the demand does not limit customers whose demand fits.
constexpr double kDemandMargin = 1.1;
// Admitted rates are known about a second late, so the factor rises by at most
// this much per second. It falls with a time constant of two reports.
constexpr double kMaxRisePerSecond = 0.25;
constexpr double kFallSeconds = 0.2;
// The load is averaged over this time: a router's own counts are newer than
// those of its peers, so that single values differ between routers.
constexpr double kLoadSeconds = 0.25;
// Upper bound of the time between two updates that counts.
constexpr double kMaxElapsedSeconds = 0.5;
// The learned time per prompt token counts only within these fractions of the
// configured time per unit, so that routers that have learned different times
// agree roughly.
constexpr double kMinTokenTimeFraction = 0.1;
constexpr double kMaxTokenTimeFraction = 1.0;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Returns 1 up to `low`, 0 from `high` on, and a linear function between them.
double HeadroomOf(double load, double low, double high) {
  return std::clamp((high - load) / (high - low), 0.0, 1.0);
}

}  // namespace

std::string_view ToString(CapacityLimit limit) {
  switch (limit) {
    case CapacityLimit::kConfigured:
      return "configured";
    case CapacityLimit::kDemand:
      return "demand";
    case CapacityLimit::kQueue:
      return "queue";
    case CapacityLimit::kSlots:
      return "slots";
    case CapacityLimit::kKvCache:
      return "kv_cache";
    case CapacityLimit::kNone:
      break;
  }
  return "none";
}

void EngineCapacity::RecordRequest(TimePoint now, double units) {
  requested_units_.Add(now, units);
  requests_.Add(now, 1);
}

bool EngineCapacity::NeedsUpdate(TimePoint now,
                                 const std::string& service) const {
  const auto it = services_.find(service);
  return it == services_.end() ||
         now - it->second.updated_at >= kUpdateInterval;
}

double EngineCapacity::EngineFraction(TimePoint now, const Service& service,
                                      const TargetState& target,
                                      const TargetTable& targets) const {
  const double fraction = targets.IsCold(now, target) ? kColdFraction : 1.0;
  const double requests = requests_.PerSecond(now);
  if (!target.named_rate_limit || !service.seconds_per_unit || requests <= 0) {
    return fraction;
  }
  const double units_per_request = requested_units_.PerSecond(now) / requests;
  return std::min(fraction, *target.named_rate_limit * units_per_request *
                                *service.seconds_per_unit);
}

void EngineCapacity::Update(TimePoint now, const std::string& service_name,
                            const EngineCapacityInputs& inputs,
                            TargetTable& targets) {
  const bool is_first = !services_.contains(service_name);
  Service& service = services_[service_name];
  const double elapsed_seconds =
      is_first
          ? 0.0
          : std::min(Seconds(now - service.updated_at), kMaxElapsedSeconds);
  service.updated_at = now;
  double usable_engines = 0;
  double count = 0;
  double pending_tokens = 0;
  double in_flight = 0;
  double kv_cache_tokens = 0;
  for (const TargetState* it : targets.OfService(service_name)) {
    if (!targets.IsInRotation(now, *it) || now < it->ejected_until ||
        TargetTable::IsPaused(now, *it)) {
      continue;
    }
    usable_engines += EngineFraction(now, service, *it, targets);
    count += 1;
    pending_tokens += it->pending_prefill_tokens.Sum(now) +
                      it->peer_load.pending_prefill_tokens;
    in_flight += it->local_load.in_flight + it->peer_load.in_flight;
    kv_cache_tokens +=
        it->local_load.kv_cache_tokens + it->peer_load.kv_cache_tokens;
  }
  service.usable_engines = usable_engines;
  service.peak_engines = std::max(service.peak_engines, usable_engines);
  configured_rate_ = inputs.configured_rate;
  const double peak_engines = PeakEngines();
  const std::optional<double> configured = ConfiguredUnitsPerSecond();
  if (configured) {
    // The configured throughput is that of the engines of all services.
    service.seconds_per_unit = peak_engines / configured_rate_;
  }
  if (!inputs.is_measured || !configured || count <= 0) {
    service.factor = kMinFactor;
    service.headroom = 0;
    service.seconds_until_headroom = 0;
    service.limit = CapacityLimit::kConfigured;
    return;
  }
  const double unit_seconds = *service.seconds_per_unit;
  const double token_seconds =
      inputs.seconds_per_prompt_token <= 0
          ? unit_seconds
          : std::clamp(inputs.seconds_per_prompt_token,
                       kMinTokenTimeFraction * unit_seconds,
                       kMaxTokenTimeFraction * unit_seconds);
  Load load;
  load.queue_seconds = pending_tokens / count * token_seconds;
  load.slots = in_flight / count / std::max(1, inputs.engine.slots);
  if (inputs.engine.kv_capacity_tokens > 0) {
    load.kv_cache = kv_cache_tokens / count /
                    static_cast<double>(inputs.engine.kv_capacity_tokens);
  }
  const double weight = 1.0 - std::exp(-elapsed_seconds / kLoadSeconds);
  for (const auto field :
       {&Load::queue_seconds, &Load::slots, &Load::kv_cache}) {
    service.load.*field += weight * (load.*field - service.load.*field);
  }
  SetHeadroom(inputs.goal_seconds, service);
  UpdateFactor(elapsed_seconds, inputs.demand / *configured,
               inputs.admitted / *configured, service);
}

void EngineCapacity::SetHeadroom(double goal_seconds, Service& service) {
  const Load& load = service.load;
  service.seconds_until_headroom =
      std::max(0.0, load.queue_seconds - kLongQueue * goal_seconds);
  service.headroom = HeadroomOf(load.queue_seconds, kShortQueue * goal_seconds,
                                kLongQueue * goal_seconds);
  service.limit = CapacityLimit::kQueue;
  if (const double headroom = HeadroomOf(load.slots, kFewSlots, kAllSlots);
      headroom < service.headroom) {
    service.headroom = headroom;
    service.limit = CapacityLimit::kSlots;
  }
  if (const double headroom =
          HeadroomOf(load.kv_cache, kLittleKvCache, kMuchKvCache);
      headroom < service.headroom) {
    service.headroom = headroom;
    service.limit = CapacityLimit::kKvCache;
  }
}

void EngineCapacity::UpdateFactor(double elapsed_seconds, double demand_ratio,
                                  double admitted_ratio, Service& service) {
  const double demand_factor =
      demand_ratio <= 1.0 ? kMinFactor : kDemandMargin * demand_ratio;
  const double probe_factor =
      std::max(kMinFactor, kProbeRatio * admitted_ratio);
  const double headroom_factor = 1.0 + (probe_factor - 1.0) * service.headroom;
  const double target = std::clamp(std::min(demand_factor, headroom_factor),
                                   kMinFactor, kMaxFactor);
  if (demand_factor <= headroom_factor) {
    service.limit = CapacityLimit::kDemand;
  } else if (service.headroom >= 1.0) {
    service.limit = CapacityLimit::kNone;
  }
  service.factor = target > service.factor
                       ? std::min(target, service.factor + kMaxRisePerSecond *
                                                               elapsed_seconds)
                       : target + (service.factor - target) *
                                      std::exp(-elapsed_seconds / kFallSeconds);
}

double EngineCapacity::UsableEngines() const {
  double sum = 0;
  for (const auto& [name, it] : services_) {
    sum += it.usable_engines;
  }
  return sum;
}

double EngineCapacity::PeakEngines() const {
  double sum = 0;
  for (const auto& [name, it] : services_) {
    sum += it.peak_engines;
  }
  return sum;
}

std::optional<double> EngineCapacity::ConfiguredUnitsPerSecond() const {
  const double usable_engines = UsableEngines();
  if (configured_rate_ <= 0 || usable_engines <= 0) {
    return std::nullopt;
  }
  return configured_rate_ * usable_engines / PeakEngines();
}

std::optional<double> EngineCapacity::UnitsPerSecond() const {
  const std::optional<double> configured = ConfiguredUnitsPerSecond();
  if (!configured) {
    return std::nullopt;
  }
  double weighted_factors = 0;
  for (const auto& [name, it] : services_) {
    weighted_factors += it.factor * it.usable_engines;
  }
  return *configured * (weighted_factors / UsableEngines());
}

std::optional<double> EngineCapacity::SecondsPerUnit(
    const std::string& service) const {
  const auto it = services_.find(service);
  return it == services_.end() ? std::nullopt : it->second.seconds_per_unit;
}

double EngineCapacity::Factor(const std::string& service) const {
  const auto it = services_.find(service);
  return it == services_.end() ? kMinFactor : it->second.factor;
}

bool EngineCapacity::HasHeadroom(const std::string& service) const {
  const auto it = services_.find(service);
  return it != services_.end() && it->second.headroom >= 0.5;
}

Duration EngineCapacity::TimeUntilHeadroom(const std::string& service) const {
  const auto it = services_.find(service);
  return it == services_.end() ? Duration(0)
                               : Duration(static_cast<std::int64_t>(
                                     it->second.seconds_until_headroom * 1e6));
}

CapacityLimit EngineCapacity::Limit(const std::string& service) const {
  const auto it = services_.find(service);
  return it == services_.end() ? CapacityLimit::kConfigured : it->second.limit;
}

CapacityLimit EngineCapacity::LowestLimit() const {
  const Service* lowest = nullptr;
  for (const auto& [name, it] : services_) {
    if (it.limit != CapacityLimit::kConfigured &&
        (lowest == nullptr || it.factor < lowest->factor)) {
      lowest = &it;
    }
  }
  return lowest == nullptr ? CapacityLimit::kConfigured : lowest->limit;
}

}  // namespace corianderpost
