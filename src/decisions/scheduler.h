// Decides which target serves a request, or rejects it with a retry time.
//
// A model request is sent to the target with the lowest cost of a small sample
// (candidate_sample.h): the predicted time to the first event, plus a penalty
// for recomputing shared prompt parts that are assumed not to be cached on the
// target. Rendezvous hashing gives each chain of shared parts one home in the
// fleet, and a fallback home in the other region, so that all routers choose
// the same targets for a chain without coordination. A request that would miss
// its latency goal on every target of a wider sample is rejected; a tighter
// limit applies to customers above their max-min fair share.
#ifndef CORIANDERPOST_DECISIONS_SCHEDULER_H_
#define CORIANDERPOST_DECISIONS_SCHEDULER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "corianderpost/clock.h"
#include "corianderpost/ids.h"
#include "decisions/adaptive_placement.h"
#include "decisions/completion_model.h"
#include "decisions/crash_suspects.h"
#include "decisions/engine_capacity.h"
#include "decisions/engine_prediction.h"
#include "decisions/fair_share.h"
#include "decisions/first_event_model.h"
#include "decisions/first_event_predictor.h"
#include "decisions/link_budget.h"
#include "decisions/rate_meter.h"
#include "decisions/request_cost.h"
#include "decisions/retry_budget.h"
#include "decisions/slot_wait.h"
#include "decisions/target_table.h"
#include "model/configuration.h"
#include "model/request.h"

namespace corianderpost {

// Location of this router, and limits that it shares with the other routers.
struct SchedulerOptions {
  std::string zone;
  std::string region;
  // Maps each zone to its region.
  std::map<std::string, std::string> region_of_zone;
  RetryBudgetLimits retry_budget;
  // Configured capacity of the link to the other region, a lower bound of the
  // real one; zero disables requests across regions.
  double region_link_bytes_per_second = 0;
  AdaptiveMode adaptive_placement = AdaptiveMode::kAuto;
  friend bool operator==(const SchedulerOptions&,
                         const SchedulerOptions&) = default;
};

// A request to be placed.
struct ScheduledRequest {
  const Route* route = nullptr;
  // Null for callers without a known API key.
  const CustomerProfile* customer = nullptr;
  // Chosen by the route's traffic split.
  std::string service;
  std::vector<PromptPart> prompt;
  std::int64_t prompt_tokens = 0;
  std::int64_t max_output_tokens = 0;
  std::size_t body_bytes = 0;
  // What the request has in common with others that may crash targets.
  std::vector<RequestTrait> traits;
  // Time until the caller's or the route's timeout, whichever is earlier.
  Duration remaining{0};
  // Estimate of the time that the caller spent on earlier tries, before this
  // request arrived at the router. Placement does not depend on it.
  Duration elapsed_before_arrival{0};
  // Ids of the targets that the request was already sent to.
  std::vector<std::string> tried_targets;
  // Set if the request continues a stream: the software version that began it.
  // Only targets of this version may serve the request; none if it is unknown.
  std::optional<VersionId> required_version = std::nullopt;
  // The request continues a stream that a router is known to have admitted, so
  // its customer's share is not checked again, and it may wait longer than a
  // new stream. A caller's word for it is not enough.
  bool was_admitted = false;
  // Set with `required_version`: time that the caller has waited for the next
  // event, as far as known.
  Duration waited_for_event{0};
  // The caller's estimate of the output, in tokens.
  std::optional<std::int64_t> output_hint = std::nullopt;
};

enum class RejectionReason {
  kNoTarget,
  kOverShare,
  kOverloaded,
  kCrashesTargets,
  kRetryBudget,
  // All targets with headroom name a rate limit that is used up.
  kRateLimited,
  // All targets have asked this router for a pause.
  kPaused,
  // The request continues a stream, and no target of the version that began it
  // is in rotation.
  kVersionGone,
};

std::string_view ToString(RejectionReason reason);

// Number of targets that each limit ruled out for a rejected request. A target
// counts for the first limit that ruled it out, in the order of the fields.
struct ExcludedTargets {
  // The first event would come too late, or the target is full.
  int latency = 0;
  // The target's queue is too long.
  int queue = 0;
  // The target would have to recompute what is cached elsewhere, and its queue
  // is too long for that.
  int recompute = 0;
  // The target is in another region, and the link budget is used up.
  int link = 0;
  // The target is in another region, and this one has headroom.
  int remote = 0;
  // The target is cold, and its rate limit is used up.
  int cold = 0;
  // The target names a rate limit, and this router's part of it is used up.
  int rate_limit = 0;
  friend bool operator==(const ExcludedTargets&,
                         const ExcludedTargets&) = default;
};

struct Rejection {
  RejectionReason reason = RejectionReason::kNoTarget;
  // How long the caller should wait before it retries.
  Duration retry_after{0};
  // Lowest predicted time to the first event; zero if there is none.
  Duration predicted{0};
  // Max-min fair share level in units per second at the time of the rejection;
  // zero if all demand fits.
  double share_level = 0;
  ExcludedTargets excluded = {};
  // Set if the reason is `kCrashesTargets`.
  std::optional<BlamedTrait> blamed = std::nullopt;
  friend bool operator==(const Rejection&, const Rejection&) = default;
};

// A reservation at a target, from `Place` until `Finish`.
struct Assignment {
  std::string target_id;
  std::string address;
  std::int64_t incarnation = 0;
  // Software version of the target when it was chosen; see
  // `TargetTable::VersionOf`.
  VersionId version;
  // Prompt tokens that the target is expected to prefill.
  double prefill_tokens = 0;
  // KV cache that the request is expected to use, in tokens.
  double kv_cache_tokens = 0;
  // Pending prefill tokens of other requests at the target, as reported.
  double waiting_tokens = 0;
  // Whether the target is the fleet's home of the prompt's chain.
  bool is_home = false;
  // What the prediction was made from: prompt tokens that the target has to
  // read before the first event, and seconds of waiting for a slot.
  double load_tokens = 0;
  FirstEventLoad load = {};
  double slot_wait_seconds = 0;
  // Time to the first event predicted from load alone, without the target's
  // slowness and the latency between regions.
  Duration predicted_from_load{0};
  // Predicted time to the first event, with that slowness and latency; its
  // median where adaptive decisions are active.
  Duration predicted{0};
  // Whether the target is half-open and this request probes it.
  bool is_probe = false;
  // Whether the request has a trait that is blamed for crashes, and shows
  // whether such requests still crash targets.
  bool is_crash_probe = false;
  bool has_first_event = false;
  TimePoint sent_at;
  // Meaningless until `has_first_event`.
  TimePoint first_event_at;
  AttemptOutput output = {};
  // Streams at the target when it was chosen.
  RunningStreams other_streams = {};
  // Predicted time to the end of a stream; zero where adaptive decisions don't
  // take effect.
  Duration predicted_completion{0};
};

using Decision = std::variant<Assignment, Rejection>;

// What the share level was computed from, for the log. Rates are in units per
// second, at all routers together.
struct ShareState {
  // Zero if all demand fits.
  double level = 0;
  double capacity = 0;
  double demand = 0;
  double admitted = 0;
  int customers = 0;
  int customers_above_level = 0;
  double usable_engines = 0;
  double peak_engines = 0;
  // `capacity` without the measured factor; zero if unknown.
  double configured_capacity = 0;
  // Why the measured capacity is not higher.
  CapacityLimit capacity_limit = CapacityLimit::kConfigured;
  friend bool operator==(const ShareState&, const ShareState&) = default;
};

// Chooses targets for requests and tracks what this router has sent to them.
// Call `SetConfiguration` before any other method that takes a request. Not
// thread-safe.
class Scheduler {
 public:
  explicit Scheduler(SchedulerOptions options);

  void SetOptions(SchedulerOptions options);
  void SetConfiguration(std::shared_ptr<const Configuration> configuration);
  // Sets the number of routers, including this one, that share the retry budget
  // and the rate limits of cold targets, and this router's index among them,
  // from 0. All routers must agree on the order.
  void SetFleet(int fleet_size, int fleet_position);
  // Sets whether this router's event loop lags. While it does, first events are
  // seen late, so their delays are not recorded as the targets' slowness.
  void SetEventLoopLagging(bool is_lagging) {
    is_event_loop_lagging_ = is_lagging;
  }
  // Seeds the random sample of targets that each placement prefers.
  void SetSeed(std::uint32_t seed) { random_.seed(seed); }
  // Sets the bytes per second that the other routers of this region send to
  // other regions.
  void SetPeerLinkUse(TimePoint now, double bytes_per_second) {
    peer_link_use_ = bytes_per_second;
    link_budget_.SetUsage(peer_link_use_ + LocalLinkUse(now));
  }
  LinkBudget& link_budget() { return link_budget_; }
  // Returns the bytes per second of request bodies that this router sends to
  // other regions.
  double LocalLinkUse(TimePoint now) const {
    return local_link_use_.PerSecond(now);
  }

  // Returns the state behind the current share level.
  ShareState CurrentShareState(TimePoint now);

  TargetTable& targets() { return targets_; }
  FairShare& fair_share() { return fair_share_; }
  CrashSuspects& suspects() { return suspects_; }
  RequestCosts& costs() { return costs_; }
  const AdaptivePlacement& adaptive_placement() const {
    return adaptive_placement_;
  }
  const EngineCapacity& engine_capacity() const { return engine_capacity_; }

  // Counts a caller's request for the retry budget and the customer's demand.
  // Call once per request, before its first `Place`.
  void RecordRequest(TimePoint now, const ScheduledRequest& request);
  // Chooses a target and reserves capacity on it, or rejects the request.
  // `request.route` must not be null. A request with `tried_targets` is a
  // retry: it is not sent to those targets again and spends from the retry
  // budget.
  Decision Place(TimePoint now, const ScheduledRequest& request);
  // Records that the first event of a stream, or the header of another
  // response, arrived. Only the first call for an assignment has an effect.
  void RecordFirstEvent(TimePoint now, Assignment& assignment,
                        const ScheduledRequest& request);
  // Records an event with output of a stream, including the first one.
  void RecordEvent(Assignment& assignment);
  // Records that the connection broke. If the target had not begun to answer,
  // the request is a suspect for a crash of the target, and the id of that
  // crash is returned; otherwise zero.
  std::uint64_t RecordBreak(TimePoint now, const Assignment& assignment,
                            const ScheduledRequest& request);
  // Records that an attempt has stalled, as evidence of the target's health.
  // The reservation stays.
  void RecordStall(TimePoint now, const Assignment& assignment);
  // Records that a peer could not connect to a target.
  void ConfirmCrash(TimePoint now, const std::string& target_id);
  // Confirms crashes of targets that were seen to end. Call regularly.
  void ConfirmCrashes(TimePoint now);
  // Returns the blamed trait because of which the request must be rejected, or
  // null.
  const BlamedTrait* FindCrashCause(TimePoint now,
                                    const ScheduledRequest& request);
  // Releases the reservation and records the outcome as evidence of the
  // target's health. Call once for each assignment that `Place` returned.
  void Finish(TimePoint now, const Assignment& assignment,
              AttemptOutcome outcome);

  // Returns what the request costs its customer's share: the expected cost
  // where adaptive decisions take effect, otherwise the declared one.
  RequestCost CostOf(const ScheduledRequest& request) const;

 private:
  struct Candidate {
    TargetState* target = nullptr;
    double prefill_tokens = 0;
    // Whether the shared parts to recompute, assumed uncached on this target,
    // have more tokens than the unshared part.
    bool is_mostly_recompute = false;
    double kv_cache_tokens = 0;
    // As in `Assignment`.
    double load_tokens = 0;
    FirstEventLoad load = {};
    double slot_wait_seconds = 0;
    double predicted_from_load_seconds = 0;
    // Infinite if the target is full.
    double predicted_seconds = 0;
    // Time within which half of such requests get their first event, where
    // adaptive decisions are active; else as above.
    double median_seconds = 0;
    // Prediction for an idle target that has all shared parts cached.
    double predicted_idle_seconds = 0;
    // Predicted time until the prefill queued ahead of this request is done and
    // a slot is free.
    double queueing_seconds = 0;
    // Where adaptive decisions take effect: the streams that run on the target,
    // and the predicted time to the end of this one.
    RunningStreams streams = {};
    double completion_seconds = 0;
    // Rank among the candidates, in seconds; the lowest is preferred.
    double cost = 0;
    bool is_local = false;
    bool is_home = false;
    bool is_probe = false;
  };
  // Limits of one request's placement, in seconds.
  struct PlacementLimits {
    double first_event = 0;
    double queueing = 0;
    // The same for a new request.
    double new_first_event = 0;
    double new_queueing = 0;
  };
  // Why no candidate was chosen.
  struct PlacementFailure {
    ExcludedTargets excluded;
    double best_seconds = 0;
    // This router's part of the limits that are used up, in requests per
    // second.
    double limited_rate = 0;
  };

  // Returns the targets of the request's service that are in rotation, in an
  // allowed region, of the required version and not tried yet. Leaves out those
  // that are ejected and half-open ones with a probe in flight, unless none
  // would be left, always those that have asked for a pause, and for streams
  // that may be resumed those of a new version, unless it is the only one.
  std::vector<TargetState*> UsableTargets(TimePoint now,
                                          const ScheduledRequest& request);
  // Returns whether the target has the version that the request requires.
  static bool HasRequiredVersion(const ScheduledRequest& request,
                                 const TargetState& target);
  // Returns a rejection because no target is usable.
  Rejection RejectWithoutTarget(TimePoint now, const ScheduledRequest& request);
  static bool IsAllowedRegion(const ScheduledRequest& request,
                              const std::string& region);
  // Predicts how `target` would serve the request. Shared parts that this
  // router did not send to the target recently are assumed to be uncached to
  // the fraction `uncached_fraction`. `mean_peer_load` is that of the target's
  // region. `service` is null if the configuration does not define the
  // request's service.
  Candidate Evaluate(TimePoint now, const ScheduledRequest& request,
                     const ServiceProfile* service, TargetState& target,
                     double uncached_fraction,
                     const MeanPeerLoad& mean_peer_load,
                     const RequestCost& cost);
  // Returns the evaluated `targets`, the one with the lowest cost first.
  // `usable` are those that determine the homes of the request's chain and the
  // regions' means; `region_weight` is that of the difference between a
  // region's mean and the mean of all.
  std::vector<Candidate> EvaluateAll(TimePoint now,
                                     const ScheduledRequest& request,
                                     const ServiceProfile* service,
                                     const std::vector<TargetState*>& targets,
                                     const std::vector<TargetState*>& usable,
                                     double region_weight);
  PlacementLimits LimitsOf(TimePoint now, const ScheduledRequest& request,
                           bool is_engine, bool has_share_credit);
  // Returns an assignment to the first candidate within the limits, a rejection
  // if the retry budget is used up, or nullopt and adds the reason to
  // `failure`.
  std::optional<Decision> Choose(TimePoint now, const ScheduledRequest& request,
                                 bool is_engine, const PlacementLimits& limits,
                                 const std::vector<Candidate>& candidates,
                                 PlacementFailure& failure);
  // Adds the time to the end of the stream and the delay of others to a
  // candidate's cost. `streams` run on its target.
  void AddCompletionCost(const ScheduledRequest& request,
                         const RequestCost& cost, const RunningStreams& streams,
                         double seconds_per_prefill_token,
                         Candidate& candidate);
  // Returns whether a body of `bytes` may be sent to another region now.
  bool FitsLinkBudget(TimePoint now, std::size_t bytes) const;
  // Returns the shortest latency goal, in seconds, of the routes to a service.
  double ShortestLatencyGoal(const std::string& service) const;
  // Returns whether the rate limit that the target names, if any, leaves room
  // for a request of this router. Counts the request as wanted there.
  bool HasRateLimitCredit(TimePoint now, TargetState& target);
  // Returns the requests per second that the target may get while it is cold;
  // zero if it is not or has no limit.
  double ColdPerSecond(TimePoint now, const TargetState& target) const;
  // Returns whether the target is warm or this router may send it a request:
  // it has credit there and is one of those that send to the cold target.
  bool HasColdCredit(TimePoint now, TargetState& target);
  // Returns whether this router is the one that probes a blamed trait.
  bool IsProberOf(const RequestTrait& trait) const;
  // Returns a rejection. `best_seconds` is the lowest predicted time to the
  // first event, and `limit_seconds` the latency limit; both are zero if no
  // target was evaluated.
  Decision Reject(TimePoint now, const ScheduledRequest& request,
                  RejectionReason reason, double best_seconds,
                  double limit_seconds, const ExcludedTargets& excluded);
  Assignment Reserve(TimePoint now, const ScheduledRequest& request,
                     const Candidate& candidate);
  double SecondsPerToken(const std::string& service) const;
  FirstEventModel& FirstEventModelOf(const std::string& service);
  // Returns the engine's lasting speed relative to the service's mean; 1 where
  // speeds are not used.
  double SpeedOf(const TargetState& target) const;
  FirstEventPredictor& PredictorOf(const std::string& service);
  // Updates the capacity of the service's engines and of all together.
  void UpdateCapacity(TimePoint now, const std::string& service,
                      const EngineProfile& engine);
  // Records that the target is about to cache the prompt's shared parts.
  void MarkCached(TimePoint now, const ScheduledRequest& request,
                  TargetState& target);

  SchedulerOptions options_;
  std::shared_ptr<const Configuration> configuration_;
  int fleet_size_ = 1;
  int fleet_position_ = 0;
  bool is_event_loop_lagging_ = false;
  AdaptivePlacement adaptive_placement_;
  LinkBudget link_budget_{0};
  // Bytes per second.
  double peer_link_use_ = 0;
  RateMeter local_link_use_{std::chrono::milliseconds(500)};
  // By service.
  std::map<std::string, double> shortest_goal_seconds_;
  TargetTable targets_;
  FairShare fair_share_;
  RequestCosts costs_;
  CrashSuspects suspects_;
  std::map<std::string, RetryBudget> retry_budgets_;
  EngineCapacity engine_capacity_;
  // By service.
  std::map<std::string, FirstEventModel> first_event_models_;
  std::map<std::string, FirstEventPredictor> predictors_;
  std::map<std::string, SlotWait> slot_waits_;
  std::map<std::string, CompletionModel> completion_models_;
  std::minstd_rand random_;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_DECISIONS_SCHEDULER_H_
