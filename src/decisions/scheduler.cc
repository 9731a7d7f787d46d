#include "decisions/scheduler.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>

#include "corianderpost/ids.h"
#include "decisions/candidate_sample.h"
#include "decisions/prompt_homes.h"
#include "decisions/retry_spread.h"

namespace corianderpost {
namespace {

using std::chrono::milliseconds;

// Time that an engine takes per weighted token if no throughput is configured.
constexpr double kDefaultSecondsPerToken = 20e-6;
// Time to the first event on an idle engine without prefill: one engine step
// and the network.
constexpr double kIdleFirstEventSeconds = 0.040;
// Additional latency of a response from another region.
constexpr double kCrossRegionSeconds = 0.060;
// Fractions of the latency goal that the predicted time to the first event may
// use; the rest allows for prediction errors. Customers that demand more than
// their share get a lower limit, and those that have used it up the lowest.
// This leaves headroom, so that requests of small customers do not queue behind
// those of large ones.
constexpr double kGoalFraction = 0.85;
constexpr double kLargeCustomerGoalFraction = 0.65;
constexpr double kOverShareGoalFraction = 0.25;
// The queueing limit of a customer above an equal part of the capacity.
constexpr double kAheadGoalFraction = 0.45;
// A customer that demands more than its share but is served less than this
// fraction of it gets the limit of a small customer.
constexpr double kUnderservedFraction = 0.7;
// Fraction that queueing may use of the latency limit computed from the
// service's shortest latency goal; the rest is for the request's own prefill.
constexpr double kQueueingFraction = 0.7;
// Callers abandon a stream if no event arrives for the longest of a fixed time
// and multiples of the route's latency goal and gap goal.
constexpr double kMinAbandonSeconds = 2.0;
constexpr double kAbandonLatencyGoals = 4.0;
constexpr double kAbandonGapGoals = 8.0;
// Added to the cost of a target that a peer can't reach: it may have restarted
// with another version.
constexpr double kContinuationDoubtSeconds = 1.0;
// Fraction of the time until then that the predicted time to the first event of
// a continued stream may use.
constexpr double kContinuationFraction = 0.5;
// Used for routes without a latency goal.
constexpr double kDefaultLatencyGoalSeconds = 1.0;
// Fraction of an engine's KV cache that requests in flight may reserve.
constexpr double kKvCacheFraction = 0.85;
// Fraction of a cold target's rate limit that the routers use. The margin
// allows for routers that briefly disagree about the fleet.
constexpr double kColdRateFraction = 0.7;
// Maximum number of routers that send to one cold target; each gets an equal
// part of the target's rate.
constexpr int kMaxColdSenders = 6;
// Weight of one observation in the moving average of a target's response time
// for plain requests.
constexpr double kResponseTimeWeight = 0.10;
// Fraction of the queueing limit up to which a target gets requests that mostly
// recompute parts cached elsewhere. A request that recomputes takes about three
// times as long as one whose shared parts are cached, so a busy fleet serves
// more if such requests are rejected and retried when their home has headroom.
constexpr double kRecomputeQueueFraction = 0.5;
// A prompt so large that even an idle target would miss its latency limit is
// admitted if it queues no longer than this fraction of the queueing limit.
// Otherwise such prompts would always be rejected.
constexpr double kLargePromptQueueFraction = 0.3;
// Weight of the difference between a region's mean reported load and that of
// all targets; the rest is the mean of all. Reports are some hundred
// milliseconds old. Routers that all prefer the region that was less busy would
// only exchange the two regions' roles.
constexpr double kRegionReportWeight = 0.25;
// Fraction of the queueing limit up to which a target of the wider sample gets
// a request that no target of the sample can take, and the weight of the
// difference between the regions there.
constexpr double kWiderSampleQueueFraction = 0.3;
constexpr double kWiderSampleRegionWeight = 1.0;
// A chain that was not used for this long is assumed to be evicted.
constexpr Duration kCacheRetention = std::chrono::seconds(15);
// Expired entries are erased once a target has more than this many.
constexpr std::size_t kMaxCachedChains = 4096;
// Fraction of a chain that is assumed to be uncached on the home in a region if
// the fleet's home is in the other region.
constexpr double kRegionHomeUncachedFraction = 0.5;
// Weight of the delay of all other streams on the target against the request's
// own time.
constexpr double kDelayOfOthersWeight = 0.1;
// Bounds of `Rejection::retry_after`.
constexpr Duration kMinRetryAfter = milliseconds(100);
constexpr Duration kMaxRetryAfter = milliseconds(2000);
// Requests with a blamed trait are rejected at all routers and at least until
// the next probe, so an earlier retry is useless.
constexpr Duration kCrashesTargetsRetryAfter = std::chrono::seconds(30);
// Gives the routers time to learn of usable targets.
constexpr Duration kNoTargetRetryAfter = milliseconds(500);
// Fraction of the link budget that large bodies may use. The rest is reserved
// for small ones, which carry more work per byte.
constexpr double kLargeBodyBudgetFraction = 0.8;
constexpr std::size_t kLargeBodyBytes = std::size_t{8} * 1024;
// Requests whose home is not there may go to another region once the local
// region reaches this fraction of the latency or queueing limit. Small bodies
// do so earlier: they carry more work per byte, and leave the local region to
// large ones.
constexpr double kSmallBodySpillFraction = 0.4;
constexpr double kLargeBodySpillFraction = 0.75;
// A target with this many plain requests in flight per slot gets no more,
// because targets reject requests beyond it.
constexpr double kMaxPlainRequestsPerSlot = 3.0;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration FromSeconds(double seconds) {
  return Duration(
      static_cast<std::int64_t>(std::min(std::max(seconds, 0.0), 1e6) * 1e6));
}

// Returns the latency limit of a request that continues a stream.
double ContinuationLimitSeconds(const ScheduledRequest& request) {
  const double abandon_seconds =
      std::max({kMinAbandonSeconds,
                kAbandonLatencyGoals * Seconds(request.route->latency_goal),
                kAbandonGapGoals * Seconds(request.route->gap_goal)});
  return kContinuationFraction *
         (abandon_seconds - Seconds(request.waited_for_event));
}

CustomerId CustomerOf(const ScheduledRequest& request) {
  return request.customer == nullptr ? CustomerId() : request.customer->id;
}

bool Contains(const std::vector<std::string>& list, const std::string& item) {
  return std::find(list.begin(), list.end(), item) != list.end();
}

}  // namespace

std::string_view ToString(RejectionReason reason) {
  switch (reason) {
    case RejectionReason::kNoTarget:
      return "no_target";
    case RejectionReason::kOverShare:
      return "over_share";
    case RejectionReason::kOverloaded:
      return "overloaded";
    case RejectionReason::kCrashesTargets:
      return "crashes_targets";
    case RejectionReason::kRetryBudget:
      return "retry_budget";
    case RejectionReason::kRateLimited:
      return "rate_limited";
    case RejectionReason::kPaused:
      return "paused";
    case RejectionReason::kVersionGone:
      return "version_gone";
  }
  return "unknown";
}

Scheduler::Scheduler(SchedulerOptions options) {
  SetOptions(std::move(options));
}

void Scheduler::SetOptions(SchedulerOptions options) {
  if (options.region_link_bytes_per_second !=
      options_.region_link_bytes_per_second) {
    link_budget_ = LinkBudget(options.region_link_bytes_per_second);
  }
  options_ = std::move(options);
  adaptive_placement_.SetMode(options_.adaptive_placement);
  targets_.SetRegions(options_.region_of_zone, options_.region);
}

void Scheduler::SetConfiguration(
    std::shared_ptr<const Configuration> configuration) {
  configuration_ = std::move(configuration);
  fair_share_.SetCapacity(configuration_->engine_tokens_per_second());
  shortest_goal_seconds_.clear();
  for (const auto& route : configuration_->routes()) {
    if (route->latency_goal <= Duration(0)) {
      continue;
    }
    for (const TrafficShare& share : route->split) {
      const auto [it, is_new] = shortest_goal_seconds_.emplace(
          share.service, Seconds(route->latency_goal));
      it->second = std::min(it->second, Seconds(route->latency_goal));
    }
  }
}

void Scheduler::SetFleet(int fleet_size, int fleet_position) {
  fleet_size_ = std::max(1, fleet_size);
  fleet_position_ = fleet_position;
}

RequestCost Scheduler::CostOf(const ScheduledRequest& request) const {
  return costs_.Cost(request, adaptive_placement_.UsesMeasuredLoad());
}

double Scheduler::SecondsPerToken(const std::string& service) const {
  return engine_capacity_.SecondsPerUnit(service).value_or(
      kDefaultSecondsPerToken);
}

FirstEventModel& Scheduler::FirstEventModelOf(const std::string& service) {
  return first_event_models_
      .try_emplace(service, kIdleFirstEventSeconds, SecondsPerToken(service))
      .first->second;
}

double Scheduler::SpeedOf(const TargetState& target) const {
  return adaptive_placement_.UsesEngineSpeeds(target.entry.service)
             ? target.speed.speed()
             : 1.0;
}

FirstEventPredictor& Scheduler::PredictorOf(const std::string& service) {
  return predictors_
      .try_emplace(service, kIdleFirstEventSeconds, SecondsPerToken(service),
                   kCrossRegionSeconds)
      .first->second;
}

void Scheduler::RecordRequest(TimePoint now, const ScheduledRequest& request) {
  retry_budgets_[request.service].RecordRequest(now);
  if (request.customer != nullptr) {
    const ServiceProfile* service =
        configuration_->FindService(request.service);
    if (service != nullptr && service->engine) {
      const double units = CostOf(request).units();
      fair_share_.RecordDemand(now, request.customer->id, units);
      engine_capacity_.RecordRequest(now, units);
      const RequestCost declared = RequestCosts::DeclaredCost(request);
      adaptive_placement_.RecordRequest(
          request.service, *service->engine,
          declared.prompt_tokens + declared.output_tokens);
    }
  }
}

bool Scheduler::IsAllowedRegion(const ScheduledRequest& request,
                                const std::string& region) {
  const auto allows = [&region](const std::vector<std::string>& regions) {
    return regions.empty() || Contains(regions, region);
  };
  return allows(request.route->allowed_regions) &&
         (request.customer == nullptr ||
          allows(request.customer->allowed_regions));
}

bool Scheduler::HasRequiredVersion(const ScheduledRequest& request,
                                   const TargetState& target) {
  return !request.required_version ||
         request.required_version->IsSame(TargetTable::VersionOf(target));
}

std::vector<TargetState*> Scheduler::UsableTargets(
    TimePoint now, const ScheduledRequest& request) {
  struct Usable {
    std::vector<TargetState*> in_rotation;
    std::vector<TargetState*> healthy;
  };
  Usable usable;
  Usable with_new_version;
  for (TargetState* it : targets_.OfService(request.service)) {
    if (!targets_.IsInRotation(now, *it) || TargetTable::IsPaused(now, *it) ||
        !IsAllowedRegion(request, it->region) ||
        !HasRequiredVersion(request, *it) ||
        Contains(request.tried_targets, it->entry.id)) {
      continue;
    }
    Usable& list = request.route->is_resumable && !request.required_version &&
                           targets_.HasNewVersion(now, *it)
                       ? with_new_version
                       : usable;
    list.in_rotation.push_back(it);
    const bool is_excluded = now < it->ejected_until ||
                             (it->is_half_open && it->probes_in_flight > 0);
    if (!is_excluded) {
      list.healthy.push_back(it);
    }
  }
  // If the other versions have left, no router can continue a stream there.
  Usable& list = usable.in_rotation.empty() ? with_new_version : usable;
  // If all targets are ejected, their health gives no reason to prefer one.
  return list.healthy.empty() ? list.in_rotation : list.healthy;
}

Scheduler::Candidate Scheduler::Evaluate(TimePoint now,
                                         const ScheduledRequest& request,
                                         const ServiceProfile* service,
                                         TargetState& target,
                                         double uncached_fraction,
                                         const MeanPeerLoad& mean_peer_load,
                                         const RequestCost& cost) {
  Candidate candidate;
  candidate.target = &target;
  candidate.is_local = target.is_in_local_region;
  candidate.is_probe = target.is_half_open;
  const int in_flight =
      target.local_load.in_flight + target.peer_load.in_flight;
  const double region_latency_seconds =
      candidate.is_local ? 0.0 : kCrossRegionSeconds;
  if (service == nullptr || !service->engine) {
    const double per_slot =
        static_cast<double>(in_flight) / std::max(1, target.entry.slots);
    candidate.predicted_from_load_seconds =
        target.mean_response_seconds * (1.0 + per_slot);
    candidate.predicted_seconds =
        candidate.predicted_from_load_seconds + region_latency_seconds;
    candidate.median_seconds = candidate.predicted_seconds;
    candidate.predicted_idle_seconds =
        target.mean_response_seconds + region_latency_seconds;
    candidate.cost = candidate.predicted_seconds * (1.0 + target.failure_rate);
    if (per_slot >= kMaxPlainRequestsPerSlot) {
      candidate.predicted_seconds = std::numeric_limits<double>::infinity();
    }
    return candidate;
  }
  double uncached_shared_tokens = 0;
  std::uint64_t chain = 0;
  for (std::size_t i = 0; i + 1 < request.prompt.size(); ++i) {
    chain = ExtendChain(chain, request.prompt[i]);
    const auto cached = target.cached_chains.find(chain);
    if (cached == target.cached_chains.end() ||
        now - cached->second > kCacheRetention) {
      uncached_shared_tokens +=
          uncached_fraction * static_cast<double>(request.prompt[i].tokens);
    }
  }
  const double unshared_tokens = cost.prompt_tokens;
  candidate.is_mostly_recompute = uncached_shared_tokens > unshared_tokens;
  candidate.prefill_tokens = unshared_tokens + uncached_shared_tokens;
  candidate.kv_cache_tokens =
      unshared_tokens + uncached_shared_tokens + cost.output_tokens;
  EngineWork work;
  work.pending_tokens = EstimateLoad(target.pending_prefill_tokens.Sum(now),
                                     target.peer_load.pending_prefill_tokens,
                                     mean_peer_load.pending_prefill_tokens);
  work.unshared_tokens = unshared_tokens;
  work.uncached_shared_tokens = uncached_shared_tokens;
  work.slot_wait_seconds = slot_waits_[request.service].Seconds(
      service->engine->slots,
      EstimateLoad(target.local_load.in_flight, target.peer_load.in_flight,
                   mean_peer_load.in_flight));
  work.region_latency_seconds = region_latency_seconds;
  const double slowness_factor = SlownessFactor(
      target.speed, adaptive_placement_.UsesEngineSpeeds(request.service));
  const EnginePrediction prediction =
      PredictEngine(FirstEventModelOf(request.service), work, slowness_factor);
  candidate.slot_wait_seconds = work.slot_wait_seconds;
  candidate.load_tokens = prediction.load_tokens;
  candidate.predicted_from_load_seconds = prediction.from_load;
  candidate.predicted_seconds = prediction.first_event;
  candidate.queueing_seconds = prediction.queueing;
  candidate.predicted_idle_seconds = prediction.idle_first_event;
  candidate.cost = prediction.cost;
  candidate.load = {candidate.prefill_tokens,
                    target.pending_prefill_tokens.Sum(now) +
                        target.peer_load.pending_prefill_tokens,
                    mean_peer_load.pending_prefill_tokens, !candidate.is_local};
  // Placement and its limits go by the prediction above: it is higher than the
  // median, since half of the first events come later than that.
  candidate.median_seconds =
      adaptive_placement_.IsActive(request.service)
          ? PredictorOf(request.service).Predict(candidate.load) /
                    SpeedOf(target) +
                candidate.slot_wait_seconds
          : candidate.predicted_seconds;
  if (adaptive_placement_.UsesMeasuredLoad()) {
    // A peer of an earlier version reports requests without their output.
    const TargetLoad& reported = target.peer_load;
    const double reported_left = reported.output_tokens_left > 0
                                     ? reported.output_tokens_left
                                     : cost.output_tokens * reported.in_flight;
    AddCompletionCost(
        request, cost,
        {EstimateLoad(target.local_load.in_flight, reported.in_flight,
                      mean_peer_load.in_flight),
         EstimateLoad(target.local_load.output_tokens_left, reported_left,
                      mean_peer_load.output_tokens_left)},
        FirstEventModelOf(request.service).seconds_per_token() *
            slowness_factor,
        candidate);
  }
  const double used_kv_cache_tokens = target.local_load.kv_cache_tokens +
                                      target.peer_load.kv_cache_tokens +
                                      candidate.kv_cache_tokens;
  const bool is_full =
      service->engine->kv_capacity_tokens > 0 && in_flight > 0 &&
      used_kv_cache_tokens >
          kKvCacheFraction *
              static_cast<double>(service->engine->kv_capacity_tokens);
  if (is_full) {
    candidate.predicted_seconds = std::numeric_limits<double>::infinity();
    candidate.cost = std::numeric_limits<double>::infinity();
  }
  return candidate;
}

void Scheduler::AddCompletionCost(const ScheduledRequest& request,
                                  const RequestCost& cost,
                                  const RunningStreams& streams,
                                  double seconds_per_prefill_token,
                                  Candidate& candidate) {
  const CompletionModel& model = completion_models_[request.service];
  const double generation_seconds =
      model.GenerationSeconds(streams, cost.output_tokens);
  candidate.streams = streams;
  candidate.completion_seconds =
      candidate.predicted_seconds + generation_seconds;
  candidate.cost +=
      generation_seconds +
      kDelayOfOthersWeight *
          model.DelayOfOthers(
              streams, candidate.prefill_tokens * seconds_per_prefill_token,
              cost.output_tokens);
}

bool Scheduler::FitsLinkBudget(TimePoint now, std::size_t bytes) const {
  const double budget =
      link_budget_.BytesPerSecond() *
      (bytes > kLargeBodyBytes ? kLargeBodyBudgetFraction : 1.0);
  return peer_link_use_ + local_link_use_.PerSecond(now) < budget;
}

double Scheduler::ShortestLatencyGoal(const std::string& service) const {
  const auto it = shortest_goal_seconds_.find(service);
  return it == shortest_goal_seconds_.end() ? kDefaultLatencyGoalSeconds
                                            : it->second;
}

double Scheduler::ColdPerSecond(TimePoint now,
                                const TargetState& target) const {
  const ServiceProfile* service =
      configuration_->FindService(target.entry.service);
  return service != nullptr && targets_.IsCold(now, target)
             ? service->cold_per_second
             : 0.0;
}

bool Scheduler::HasColdCredit(TimePoint now, TargetState& target) {
  const double cold_per_second = ColdPerSecond(now, target);
  if (cold_per_second <= 0) {
    return true;
  }
  const int senders = std::min(fleet_size_, kMaxColdSenders);
  const std::uint64_t first_position =
      XXH64(target.entry.id.data(), target.entry.id.size(), 0) %
      static_cast<std::uint64_t>(fleet_size_);
  const int offset =
      (fleet_position_ - static_cast<int>(first_position) + fleet_size_) %
      fleet_size_;
  if (offset >= senders) {
    return false;
  }
  const double rate_per_second = kColdRateFraction * cold_per_second / senders;
  target.cold_send_credit = std::min(
      1.0, target.cold_send_credit +
               rate_per_second * Seconds(now - target.cold_credit_updated_at));
  target.cold_credit_updated_at = now;
  return target.cold_send_credit >= 1.0;
}

bool Scheduler::HasRateLimitCredit(TimePoint now, TargetState& target) {
  return !target.named_rate_limit ||
         target.rate_limit.HasCredit(now, *target.named_rate_limit,
                                     target.peer_load.limit_use, fleet_size_,
                                     random_);
}

void Scheduler::UpdateCapacity(TimePoint now, const std::string& service,
                               const EngineProfile& engine) {
  if (!engine_capacity_.NeedsUpdate(now, service)) {
    return;
  }
  EngineCapacityInputs inputs;
  inputs.configured_rate = configuration_->engine_tokens_per_second();
  inputs.engine = engine;
  inputs.is_measured = adaptive_placement_.UsesMeasuredLoad();
  if (inputs.is_measured) {
    for (const auto& [customer, rates] : fair_share_.FleetRates(now)) {
      inputs.demand += rates.demand;
      inputs.admitted += rates.admitted;
    }
    inputs.goal_seconds = ShortestLatencyGoal(service);
    // The model starts from the configured time per unit.
    if (engine_capacity_.SecondsPerUnit(service)) {
      inputs.seconds_per_prompt_token =
          FirstEventModelOf(service).seconds_per_token();
    }
  }
  engine_capacity_.Update(now, service, inputs, targets_);
  if (const std::optional<double> units = engine_capacity_.UnitsPerSecond();
      units) {
    fair_share_.SetCapacity(*units);
  }
}

Decision Scheduler::Place(TimePoint now, const ScheduledRequest& request) {
  bool is_crash_probe = false;
  if (const BlamedTrait* blamed = FindCrashCause(now, request);
      blamed != nullptr) {
    is_crash_probe =
        IsProberOf(blamed->trait) && suspects_.TryProbe(now, blamed->trait);
    if (!is_crash_probe) {
      return Rejection{RejectionReason::kCrashesTargets,
                       kCrashesTargetsRetryAfter,
                       Duration(0),
                       0,
                       {},
                       *blamed};
    }
  }
  const ServiceProfile* service = configuration_->FindService(request.service);
  const bool is_engine = service != nullptr && service->engine.has_value();
  if (is_engine) {
    UpdateCapacity(now, request.service, *service->engine);
  }
  // Checked before any target is evaluated, so that rejecting a flood of
  // requests is cheap.
  const bool is_continuation = request.required_version.has_value();
  const bool has_share_credit =
      !is_engine || request.customer == nullptr || request.was_admitted ||
      fair_share_.HasCredit(now, request.customer->id);
  if (!has_share_credit && !fair_share_.MayUseSpareCapacity(
                               now, request.customer->id,
                               engine_capacity_.HasHeadroom(request.service))) {
    return Reject(now, request, RejectionReason::kOverShare, 0, 0, {});
  }
  const std::vector<TargetState*> usable = UsableTargets(now, request);
  if (usable.empty()) {
    return RejectWithoutTarget(now, request);
  }
  const PlacementLimits limits =
      LimitsOf(now, request, is_engine, has_share_credit);
  // A request that was sent before has few targets left.
  const bool is_sampled =
      is_engine && !is_continuation && request.tried_targets.empty();
  const auto speed_sampling =
      adaptive_placement_.UsesEngineSpeeds(request.service)
          ? std::optional(SpeedSampling{fleet_position_})
          : std::nullopt;
  const std::vector<TargetState*> sample =
      is_sampled ? SampleCandidates(usable, ChainOf(request.prompt), random_,
                                    speed_sampling)
                 : usable;
  PlacementFailure failure;
  std::optional<Decision> decision = Choose(
      now, request, is_engine, limits,
      EvaluateAll(now, request, service, sample, usable, kRegionReportWeight),
      failure);
  if (!decision && is_sampled) {
    // Other engines, or those of another region, may be free while those of the
    // sample are busy or cold.
    PlacementLimits wider_limits = limits;
    wider_limits.queueing *= kWiderSampleQueueFraction;
    failure = PlacementFailure();
    decision = Choose(
        now, request, is_engine, wider_limits,
        EvaluateAll(now, request, service,
                    ExtendSample(usable, sample, random_, speed_sampling),
                    usable, kWiderSampleRegionWeight),
        failure);
    if (!decision && failure.limited_rate > 0) {
      // Each router has a small part of each target's rate limit, so that few
      // targets have credit here at any time.
      failure = PlacementFailure();
      decision = Choose(now, request, is_engine, wider_limits,
                        EvaluateAll(now, request, service, usable, usable,
                                    kWiderSampleRegionWeight),
                        failure);
    }
  }
  if (decision) {
    if (auto* assignment = std::get_if<Assignment>(&*decision)) {
      assignment->is_crash_probe = is_crash_probe;
    }
    return *decision;
  }
  if (has_share_credit && failure.limited_rate > 0) {
    Decision rejected =
        Reject(now, request, RejectionReason::kRateLimited,
               failure.best_seconds, limits.first_event, failure.excluded);
    Rejection& rejection = std::get<Rejection>(rejected);
    rejection.retry_after =
        std::clamp(std::max(rejection.retry_after,
                            FromSeconds(1.0 / failure.limited_rate)),
                   kMinRetryAfter, kMaxRetryAfter);
    return rejected;
  }
  return Reject(now, request,
                has_share_credit ? RejectionReason::kOverloaded
                                 : RejectionReason::kOverShare,
                failure.best_seconds, limits.first_event, failure.excluded);
}

std::vector<Scheduler::Candidate> Scheduler::EvaluateAll(
    TimePoint now, const ScheduledRequest& request,
    const ServiceProfile* service, const std::vector<TargetState*>& targets,
    const std::vector<TargetState*>& usable, double region_weight) {
  const Homes homes =
      FindHomes(usable, ChainOf(request.prompt),
                adaptive_placement_.UsesEngineSpeeds(request.service)
                    ? HomeWeighting::kBySpeed
                    : HomeWeighting::kEqual);
  // One mean per region: load differences between regions last longer than the
  // delay of peer reports.
  const MeanPeerLoads means = MeanPeerLoadsOf(usable, region_weight);
  const RequestCost cost = CostOf(request);
  std::vector<Candidate> candidates;
  candidates.reserve(targets.size());
  for (TargetState* it : targets) {
    const bool is_region_home =
        it == homes.of_local_region || it == homes.of_remote_region;
    const double uncached_fraction = it == homes.of_fleet ? 0.0
                                     : is_region_home
                                         ? kRegionHomeUncachedFraction
                                         : 1.0;
    candidates.push_back(
        Evaluate(now, request, service, *it, uncached_fraction,
                 it->is_in_local_region ? means.local : means.remote, cost));
    candidates.back().is_home = it == homes.of_fleet;
    if (request.required_version && it->may_be_cold) {
      candidates.back().cost += kContinuationDoubtSeconds;
    }
  }
  std::sort(
      candidates.begin(), candidates.end(),
      [](const Candidate& a, const Candidate& b) { return a.cost < b.cost; });
  return candidates;
}

Scheduler::PlacementLimits Scheduler::LimitsOf(TimePoint now,
                                               const ScheduledRequest& request,
                                               bool is_engine,
                                               bool has_share_credit) {
  const double goal_seconds = request.route->latency_goal > Duration(0)
                                  ? Seconds(request.route->latency_goal)
                                  : kDefaultLatencyGoalSeconds;
  const bool is_large_customer =
      is_engine && request.customer != nullptr &&
      !fair_share_.IsDemandWithinShare(now, request.customer->id) &&
      fair_share_.AdmittedFraction(now, request.customer->id) >=
          kUnderservedFraction;
  const double goal_fraction = !has_share_credit   ? kOverShareGoalFraction
                               : is_large_customer ? kLargeCustomerGoalFraction
                                                   : kGoalFraction;
  PlacementLimits limits;
  limits.new_first_event = goal_seconds * goal_fraction;
  limits.first_event =
      request.was_admitted
          ? std::max(limits.new_first_event, ContinuationLimitSeconds(request))
          : limits.new_first_event;
  // All requests of a service share a target's queue. If the queue were longer
  // than the shortest latency goal allows, requests with that goal would be
  // rejected. A continued stream may queue longer: only the targets of its
  // version can serve it, while new streams can go to others.
  // Queues fill before the demand of a burst is known; a part of them is kept
  // for the customers that have less than an equal part of the capacity.
  const bool is_ahead = is_engine && request.customer != nullptr &&
                        fair_share_.IsAboveEqualPart(now, request.customer->id);
  const double queue_fraction =
      is_ahead ? std::min(goal_fraction, kAheadGoalFraction) : goal_fraction;
  limits.new_queueing =
      kQueueingFraction * queue_fraction * ShortestLatencyGoal(request.service);
  limits.queueing = request.was_admitted
                        ? std::max(limits.new_queueing,
                                   kQueueingFraction * limits.first_event)
                        : limits.new_queueing;
  return limits;
}

std::optional<Decision> Scheduler::Choose(
    TimePoint now, const ScheduledRequest& request, bool is_engine,
    const PlacementLimits& limits, const std::vector<Candidate>& candidates,
    PlacementFailure& failure) {
  double best_local_seconds = std::numeric_limits<double>::infinity();
  double local_queueing_seconds = std::numeric_limits<double>::infinity();
  for (const Candidate& it : candidates) {
    if (it.is_local) {
      best_local_seconds = std::min(best_local_seconds, it.predicted_seconds);
      local_queueing_seconds =
          std::min(local_queueing_seconds, it.queueing_seconds);
    }
  }
  const double spill_fraction = request.body_bytes > kLargeBodyBytes
                                    ? kLargeBodySpillFraction
                                    : kSmallBodySpillFraction;
  const bool is_local_region_busy =
      best_local_seconds > spill_fraction * limits.new_first_event ||
      local_queueing_seconds > spill_fraction * limits.new_queueing;
  const bool fits_link_budget = FitsLinkBudget(now, request.body_bytes);
  ExcludedTargets& excluded = failure.excluded;
  for (const Candidate& it : candidates) {
    if (failure.best_seconds == 0 ||
        it.predicted_seconds < failure.best_seconds) {
      failure.best_seconds = it.predicted_seconds;
    }
    if (it.predicted_seconds >
            std::max(limits.first_event,
                     it.predicted_idle_seconds +
                         kLargePromptQueueFraction * limits.queueing) ||
        it.predicted_seconds > Seconds(request.remaining)) {
      ++excluded.latency;
      continue;
    }
    if (is_engine && it.queueing_seconds > limits.queueing) {
      ++excluded.queue;
      continue;
    }
    if (is_engine && it.is_mostly_recompute &&
        it.queueing_seconds > kRecomputeQueueFraction * limits.queueing) {
      ++excluded.recompute;
      continue;
    }
    if (!it.is_local && !fits_link_budget) {
      ++excluded.link;
      continue;
    }
    if (!it.is_local && !is_local_region_busy && !it.is_home) {
      ++excluded.remote;
      continue;
    }
    if (!HasRateLimitCredit(now, *it.target)) {
      ++excluded.rate_limit;
      failure.limited_rate += it.target->rate_limit.LocalRate(
          now, *it.target->named_rate_limit, it.target->peer_load.limit_use,
          fleet_size_);
      continue;
    }
    if (!HasColdCredit(now, *it.target)) {
      ++excluded.cold;
      continue;
    }
    if (!request.tried_targets.empty() &&
        !retry_budgets_[request.service].TrySpend(now, options_.retry_budget,
                                                  fleet_size_)) {
      return Rejection{RejectionReason::kRetryBudget, kMinRetryAfter,
                       Duration(0), 0};
    }
    return Reserve(now, request, it);
  }
  return std::nullopt;
}

Rejection Scheduler::RejectWithoutTarget(TimePoint now,
                                         const ScheduledRequest& request) {
  TimePoint first_pause_ends = TimePoint::max();
  bool is_version_gone = request.required_version.has_value();
  for (const TargetState* it : targets_.OfService(request.service)) {
    if (!targets_.IsInRotation(now, *it) ||
        !IsAllowedRegion(request, it->region)) {
      continue;
    }
    // A target that may have restarted counts until its entry shows another
    // version.
    is_version_gone =
        is_version_gone && !request.required_version->IsSame(it->version);
    if (TargetTable::IsPaused(now, *it) && HasRequiredVersion(request, *it) &&
        !Contains(request.tried_targets, it->entry.id)) {
      first_pause_ends = std::min(first_pause_ends, it->paused_until);
    }
  }
  if (is_version_gone) {
    return {RejectionReason::kVersionGone, kMinRetryAfter, Duration(0), 0};
  }
  if (first_pause_ends == TimePoint::max()) {
    return {RejectionReason::kNoTarget, kNoTargetRetryAfter, Duration(0), 0};
  }
  return {RejectionReason::kPaused,
          std::clamp(first_pause_ends - now, kMinRetryAfter, kMaxRetryAfter),
          Duration(0), 0};
}

Decision Scheduler::Reject(TimePoint now, const ScheduledRequest& request,
                           RejectionReason reason, double best_seconds,
                           double limit_seconds,
                           const ExcludedTargets& excluded) {
  Duration retry_after = kMinRetryAfter;
  if (std::isfinite(best_seconds)) {
    retry_after =
        std::max(retry_after, FromSeconds(best_seconds - limit_seconds));
  }
  if (reason == RejectionReason::kOverShare) {
    retry_after = std::max(
        retry_after, fair_share_.TimeUntilCredit(now, request.customer->id));
  }
  retry_after = std::min(retry_after, kMaxRetryAfter);
  if (adaptive_placement_.UsesMeasuredLoad()) {
    if (reason != RejectionReason::kOverShare) {
      retry_after =
          std::clamp(engine_capacity_.TimeUntilHeadroom(request.service),
                     retry_after, kMaxRetryAfter);
    }
    retry_after = SpreadRetry(retry_after, kMaxRetryAfter, random_);
  }
  const double level = fair_share_.ShareLevel(now);
  return Rejection{
      reason, retry_after,
      std::isfinite(best_seconds) ? FromSeconds(best_seconds) : Duration(0),
      std::isfinite(level) ? level : 0.0, excluded};
}

ShareState Scheduler::CurrentShareState(TimePoint now) {
  ShareState state;
  const double level = fair_share_.ShareLevel(now);
  state.level = std::isfinite(level) ? level : 0.0;
  state.capacity = fair_share_.capacity();
  for (const auto& [customer, rates] : fair_share_.FleetRates(now)) {
    state.demand += rates.demand;
    state.admitted += rates.admitted;
    ++state.customers;
    state.customers_above_level += rates.demand > level ? 1 : 0;
  }
  state.usable_engines = engine_capacity_.UsableEngines();
  state.peak_engines = engine_capacity_.PeakEngines();
  state.configured_capacity =
      engine_capacity_.ConfiguredUnitsPerSecond().value_or(0.0);
  state.capacity_limit = engine_capacity_.LowestLimit();
  return state;
}

void Scheduler::MarkCached(TimePoint now, const ScheduledRequest& request,
                           TargetState& target) {
  if (target.cached_chains.size() > kMaxCachedChains) {
    std::erase_if(target.cached_chains, [now](const auto& it) {
      return now - it.second > kCacheRetention;
    });
  }
  std::uint64_t chain = 0;
  for (std::size_t i = 0; i + 1 < request.prompt.size(); ++i) {
    chain = ExtendChain(chain, request.prompt[i]);
    target.cached_chains[chain] = now;
  }
}

Assignment Scheduler::Reserve(TimePoint now, const ScheduledRequest& request,
                              const Candidate& candidate) {
  TargetState& target = *candidate.target;
  Assignment assignment;
  assignment.target_id = target.entry.id;
  assignment.address = target.entry.address;
  assignment.incarnation = target.entry.incarnation;
  assignment.version = TargetTable::VersionOf(target);
  assignment.prefill_tokens = candidate.prefill_tokens;
  assignment.kv_cache_tokens = candidate.kv_cache_tokens;
  assignment.load_tokens = candidate.load_tokens;
  assignment.load = candidate.load;
  assignment.slot_wait_seconds = candidate.slot_wait_seconds;
  assignment.predicted_from_load =
      FromSeconds(candidate.predicted_from_load_seconds);
  assignment.predicted = FromSeconds(candidate.median_seconds);
  assignment.waiting_tokens = target.pending_prefill_tokens.Sum(now) +
                              target.peer_load.pending_prefill_tokens;
  assignment.is_home = candidate.is_home;
  assignment.other_streams = candidate.streams;
  assignment.predicted_completion = FromSeconds(candidate.completion_seconds);
  assignment.is_probe = candidate.is_probe;
  assignment.sent_at = now;
  assignment.output =
      costs_.BeginAttempt(request, adaptive_placement_.UsesMeasuredLoad());
  if (target.named_rate_limit) {
    target.rate_limit.Spend(now);
  }
  if (ColdPerSecond(now, target) > 0) {
    target.cold_send_credit -= 1.0;
  }
  if (!candidate.is_local) {
    local_link_use_.Add(now, static_cast<double>(request.body_bytes));
  }
  ++target.local_load.in_flight;
  target.pending_prefill_tokens.Add(now, candidate.prefill_tokens);
  target.local_load.kv_cache_tokens += candidate.kv_cache_tokens;
  target.local_load.output_tokens_left += assignment.output.tokens_left;
  target.probes_in_flight += candidate.is_probe ? 1 : 0;
  MarkCached(now, request, target);
  if (request.customer != nullptr) {
    fair_share_.Charge(now, request.customer->id,
                       request.tried_targets.empty()
                           ? CostOf(request).units()
                           : 2.0 * assignment.output.charged_tokens);
  }
  return assignment;
}

std::uint64_t Scheduler::RecordBreak(TimePoint now,
                                     const Assignment& assignment,
                                     const ScheduledRequest& request) {
  if (assignment.has_first_event) {
    return 0;
  }
  const std::uint64_t crash_id =
      CrashIdOf(assignment.target_id, assignment.incarnation);
  suspects_.RecordCrash(now, crash_id, CustomerOf(request), request.traits);
  return crash_id;
}

void Scheduler::RecordStall(TimePoint now, const Assignment& assignment) {
  if (TargetState* target = targets_.Find(assignment.target_id);
      target != nullptr) {
    targets_.RecordOutcome(now, *target, AttemptOutcome::kStalled);
  }
}

void Scheduler::ConfirmCrash(TimePoint now, const std::string& target_id) {
  if (const TargetState* target = targets_.Find(target_id); target != nullptr) {
    suspects_.ConfirmCrash(now,
                           CrashIdOf(target_id, target->entry.incarnation));
  }
}

void Scheduler::ConfirmCrashes(TimePoint now) {
  for (const EndedIncarnation& it : targets_.TakeEndedIncarnations()) {
    suspects_.ConfirmCrash(now, CrashIdOf(it.target_id, it.incarnation));
  }
}

const BlamedTrait* Scheduler::FindCrashCause(TimePoint now,
                                             const ScheduledRequest& request) {
  return suspects_.FindCause(now, request.traits, CustomerOf(request));
}

bool Scheduler::IsProberOf(const RequestTrait& trait) const {
  return static_cast<int>(trait.value % static_cast<std::uint64_t>(
                                            fleet_size_)) == fleet_position_;
}

void Scheduler::RecordFirstEvent(TimePoint now, Assignment& assignment,
                                 const ScheduledRequest& request) {
  if (assignment.has_first_event) {
    return;
  }
  assignment.has_first_event = true;
  assignment.first_event_at = now;
  suspects_.RecordAnswer(now, request.traits);
  TargetState* target = targets_.Find(assignment.target_id);
  if (target == nullptr) {
    return;
  }
  target->pending_prefill_tokens.Remove(now, assignment.sent_at,
                                        assignment.prefill_tokens);
  const double observed_seconds = Seconds(now - assignment.sent_at);
  if (assignment.prefill_tokens <= 0) {
    target->mean_response_seconds +=
        kResponseTimeWeight *
        (observed_seconds - target->mean_response_seconds);
    return;
  }
  if (!is_event_loop_lagging_) {
    const std::string& service = target->entry.service;
    adaptive_placement_.SetSpeedRatio(service, targets_.SpeedRatio(service));
    const double running_seconds =
        std::max(0.0, observed_seconds - assignment.slot_wait_seconds);
    FirstEventModel& model = FirstEventModelOf(service);
    target->speed.Record(
        now,
        ObserveFirstEvent(model, running_seconds,
                          {assignment.prefill_tokens, assignment.waiting_tokens,
                           assignment.slot_wait_seconds,
                           Seconds(assignment.predicted_from_load),
                           target->is_in_local_region}));
    // The models are those of an engine of mean speed.
    const double seconds_at_mean_speed = running_seconds * SpeedOf(*target);
    model.Add(assignment.load_tokens, seconds_at_mean_speed);
    PredictorOf(service).Add(assignment.load, seconds_at_mean_speed);
  }
}

void Scheduler::RecordEvent(Assignment& assignment) {
  const double tokens_left = assignment.output.tokens_left;
  const double excess_tokens = costs_.RecordEvent(assignment.output);
  TargetState* target = targets_.Find(assignment.target_id);
  if (target == nullptr) {
    return;
  }
  double& total = target->local_load.output_tokens_left;
  total = std::max(0.0, total + assignment.output.tokens_left - tokens_left);
  if (assignment.output.is_settled) {
    // The KV cache was reserved for the expected output.
    assignment.kv_cache_tokens += excess_tokens;
    target->local_load.kv_cache_tokens += excess_tokens;
  }
}

void Scheduler::Finish(TimePoint now, const Assignment& assignment,
                       AttemptOutcome outcome) {
  const double correction = costs_.RecordEnd(
      now, assignment.output, outcome == AttemptOutcome::kCompleted);
  if (correction != 0 && assignment.output.traits.customer != CustomerId()) {
    fair_share_.Settle(now, assignment.output.traits.customer, correction);
  }
  TargetState* target = targets_.Find(assignment.target_id);
  if (target == nullptr) {
    return;
  }
  target->local_load.in_flight = std::max(0, target->local_load.in_flight - 1);
  if (!assignment.has_first_event) {
    target->pending_prefill_tokens.Remove(now, assignment.sent_at,
                                          assignment.prefill_tokens);
  }
  if (assignment.has_first_event && assignment.prefill_tokens > 0 &&
      !is_event_loop_lagging_) {
    slot_waits_[target->entry.service].RecordRun(now - assignment.sent_at);
    if (assignment.output.is_settled) {
      completion_models_[target->entry.service].RecordStream(
          assignment.other_streams.count,
          assignment.output.generated_tokens * (assignment.output.events - 1) /
              assignment.output.events,
          Seconds(now - assignment.first_event_at));
    }
  }
  target->local_load.kv_cache_tokens = std::max(
      0.0, target->local_load.kv_cache_tokens - assignment.kv_cache_tokens);
  target->local_load.output_tokens_left =
      std::max(0.0, target->local_load.output_tokens_left -
                        assignment.output.tokens_left);
  if (assignment.is_probe) {
    target->probes_in_flight = std::max(0, target->probes_in_flight - 1);
  }
  targets_.RecordOutcome(now, *target, outcome);
}

}  // namespace corianderpost
