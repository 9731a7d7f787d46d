// Decides where a request goes, or that it must be refused and when to retry.
//
// A model request is placed where its first event comes earliest, counting the
// shared prompt parts that the target would have to read again. Each chain of
// shared parts has one home in the fleet, and one in each region for when that
// can't be used, by rendezvous hash, so all routers keep a chain in the same
// place without asking each other. A request whose first
// event would miss its goal everywhere is refused; customers beyond their
// max-min share are refused earlier.
#ifndef CORIANDERPOST_DECISIONS_SCHEDULER_H_
#define CORIANDERPOST_DECISIONS_SCHEDULER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "corianderpost/clock.h"
#include "decisions/crash_suspects.h"
#include "decisions/fair_share.h"
#include "decisions/link_budget.h"
#include "decisions/rate_meter.h"
#include "decisions/retry_budget.h"
#include "decisions/target_table.h"
#include "model/configuration.h"
#include "model/request.h"

namespace corianderpost {

// Where this router stands, and what it may assume of the others.
struct SchedulerOptions {
  std::string zone;
  std::string region;
  // Region of each zone.
  std::map<std::string, std::string> region_of_zone;
  RetryBudgetLimits retry_budget;
  // Bytes a second that the link to another region carries at least; zero if
  // nothing may cross.
  double region_link_bytes_per_second = 0;
  friend bool operator==(const SchedulerOptions&,
                         const SchedulerOptions&) = default;
};

// A request as the scheduler sees it.
struct ScheduledRequest {
  const Route* route = nullptr;
  const CustomerProfile* customer = nullptr;
  // Service chosen by the route's split.
  std::string service;
  std::vector<PromptPart> prompt;
  std::int64_t prompt_tokens = 0;
  std::int64_t max_output_tokens = 0;
  std::size_t body_bytes = 0;
  RequestFingerprint fingerprint = 0;
  // Time until the caller gives up.
  Duration remaining{0};
  // Time that the caller has waited before this attempt reached the router.
  Duration elapsed_before_attempt{0};
  // Targets that this attempt was sent to.
  std::vector<std::string> tried_targets;
};

enum class RejectionReason {
  kNoTarget,
  kOverShare,
  kOverloaded,
  kCrashesTargets,
  kRetryBudget,
};

std::string_view ToString(RejectionReason reason);

struct Rejection {
  RejectionReason reason = RejectionReason::kNoTarget;
  Duration retry_after{0};
  // Predicted time to the first event at the best target; zero if none.
  Duration predicted{0};
  // Max-min level in units a second at that moment; zero if all demands fit.
  double share_level = 0;
  friend bool operator==(const Rejection&, const Rejection&) = default;
};

// A request's place at a target, from `Place` to `Finish`.
struct Assignment {
  std::string target_id;
  std::string address;
  std::int64_t incarnation = 0;
  // Prompt tokens that the target is expected to read.
  double prefill_tokens = 0;
  double kv_cache_tokens = 0;
  // Tokens of others that the target reads first, as far as known.
  double waiting_tokens = 0;
  // The target is the home of the prompt's chain in the fleet.
  bool is_home = false;
  // Time to the first event that the load alone predicts.
  Duration predicted_from_load{0};
  Duration predicted{0};
  bool is_probe = false;
  bool has_first_event = false;
  TimePoint sent_at;
};

using Decision = std::variant<Assignment, Rejection>;

// Not thread-safe.
class Scheduler {
 public:
  explicit Scheduler(SchedulerOptions options);

  void SetOptions(SchedulerOptions options);
  void SetConfiguration(std::shared_ptr<const Configuration> configuration);
  // How many routers share budgets and cold limits, this one included, and
  // this one's place among them, from 0, in an order that all agree on.
  void SetFleet(int fleet_size, int fleet_position);
  // Tells that this router handles events late, so that what it sees of
  // targets' speed says more of itself.
  void SetEventLoopLagging(bool is_lagging) {
    is_event_loop_lagging_ = is_lagging;
  }
  // Seeds the choice between targets that are about as good.
  void SetSeed(std::uint32_t seed) { random_.seed(seed); }
  // Bytes a second that the other routers of this region send to others.
  void SetPeerLinkUse(TimePoint now, double bytes_per_second) {
    peer_link_use_ = bytes_per_second;
    link_budget_.SetUsage(peer_link_use_ + LocalLinkUse(now));
  }
  LinkBudget& link_budget() { return link_budget_; }
  // The same for this router.
  double LocalLinkUse(TimePoint now) const { return link_use_.PerSecond(now); }

  TargetTable& targets() { return targets_; }
  FairShare& fair_share() { return fair_share_; }
  CrashSuspects& suspects() { return suspects_; }

  // Counts a caller's request; call once before its first `Place`.
  void RecordRequest(TimePoint now, const ScheduledRequest& request);
  // Chooses a target and reserves the place. Further attempts of the request
  // name the targets already tried and draw on the retry budget.
  Decision Place(TimePoint now, const ScheduledRequest& request);
  // The first event, or a plain answer's head, arrived.
  void RecordFirstEvent(TimePoint now, Assignment& assignment);
  // Releases the place. `assignment` must come from `Place`.
  void Finish(TimePoint now, const Assignment& assignment,
              AttemptOutcome outcome);

  // Weighted tokens of a request: what it reads itself, and twice its output.
  static double UnitsOf(const ScheduledRequest& request);

 private:
  struct Candidate {
    TargetState* target = nullptr;
    double prefill_tokens = 0;
    // Reads more of shared parts that a home keeps than of the request's own.
    bool is_mostly_recompute = false;
    double kv_cache_tokens = 0;
    double predicted_from_load_seconds = 0;
    double predicted_seconds = 0;
    // The same at an idle target.
    double predicted_idle_seconds = 0;
    // Time that the work of others takes before this request is read.
    double queueing_seconds = 0;
    double cost = 0;
    bool is_local = false;
    bool is_home = false;
    bool is_probe = false;
  };

  std::vector<TargetState*> UsableTargets(TimePoint now,
                                          const ScheduledRequest& request);
  static bool IsAllowedRegion(const ScheduledRequest& request,
                              const std::string& region);
  // `unkept_part` is the part of the prompt's shared parts that the target is
  // taken to have to read if this router did not send them there lately.
  // `mean_peer_tokens` is what peers have waiting at a target of its region.
  // `service` is the request's; null if the configuration does not name it.
  Candidate Evaluate(TimePoint now, const ScheduledRequest& request,
                     const ServiceProfile* service, TargetState& target,
                     double uncached_fraction, double mean_peer_pending_tokens);
  // Whether a body may cross to another region now.
  bool FitsLinkBudget(TimePoint now, std::size_t bytes) const;
  // Shortest latency goal of the routes that a service answers.
  double ShortestLatencyGoal(const std::string& service) const;
  bool TrySpendColdCredit(TimePoint now, TargetState& target);
  Decision Reject(TimePoint now, const ScheduledRequest& request,
                  RejectionReason reason, double best_seconds,
                  double limit_seconds);
  Assignment Reserve(TimePoint now, const ScheduledRequest& request,
                     const Candidate& candidate);
  double SecondsPerToken(const std::string& service) const;
  // Takes the stated throughput for the part of the engines that can serve.
  void UpdateCapacity(TimePoint now, const std::string& service);
  // Uniform from 0 to 1.
  double UniformRandom();
  void MarkCached(TimePoint now, const ScheduledRequest& request,
                  TargetState& target);

  SchedulerOptions options_;
  std::shared_ptr<const Configuration> configuration_;
  int fleet_size_ = 1;
  int fleet_position_ = 0;
  bool is_event_loop_lagging_ = false;
  LinkBudget link_budget_{0};
  double peer_link_use_ = 0;
  RateMeter link_use_{std::chrono::milliseconds(500)};
  std::map<std::string, double> shortest_goal_seconds_;
  TargetTable targets_;
  FairShare fair_share_;
  CrashSuspects suspects_;
  std::map<std::string, RetryBudget> retry_budgets_;
  struct EngineCapacity {
    TimePoint updated_at;
    double usable_engines = 0;
    // Most engines that could serve at one time; the stated throughput is
    // theirs.
    double peak_engines = 0;
  };
  std::map<std::string, EngineCapacity> capacities_;
  // Seconds that one engine takes for a weighted token, by service.
  std::map<std::string, double> seconds_per_token_;
  std::minstd_rand random_;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_DECISIONS_SCHEDULER_H_
