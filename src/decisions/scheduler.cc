#include "decisions/scheduler.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>

#include "corianderpost/ids.h"
#include "decisions/prompt_homes.h"

namespace corianderpost {
namespace {

using std::chrono::milliseconds;

// Seconds that an engine takes for a token while nothing is configured.
constexpr double kDefaultTokenSeconds = 20e-6;
// Time to a first event at an idle engine: one step and the network.
constexpr double kBaseSeconds = 0.040;
// An answer from another region takes longer by about this.
constexpr double kCrossRegionSeconds = 0.060;
// Part of the latency goal that a prediction may fill; the rest covers what
// the prediction misses. Customers that ask more than their share, and those
// that have used it up, leave room, so that no small customer waits behind a
// large one.
constexpr double kGoalPart = 0.85;
constexpr double kLargeCustomerPart = 0.65;
constexpr double kOverSharePart = 0.25;
// A large customer that is given less than this part of its share has the room
// of a small one until it catches up.
constexpr double kBehindPart = 0.7;
// Part of that which waiting behind others may take; the rest is for reading
// the request itself.
constexpr double kWaitPart = 0.7;
// Goal for routes that state none.
constexpr double kDefaultGoalSeconds = 1.0;
// Part of an engine's memory that requests may be promised.
constexpr double kMemoryPart = 0.85;
// Part of the cold rate that is used; peers may disagree for a moment.
constexpr double kColdPart = 0.7;
// Most routers that send to one cold target; each has a part of its rate.
constexpr int kMaxColdSenders = 6;
// Weight of one observation in the mean time of plain requests.
constexpr double kServiceTimeWeight = 0.10;
// Part of the queue up to which a target may read shared parts again that
// another one keeps. A busy fleet serves more if such requests come back when
// their home has room: reading again takes about three times as long.
constexpr double kReadAgainPart = 0.5;
// A prompt that takes up its goal even at an idle target may wait this part of
// what others may; it is late, but not shut out.
constexpr double kLargePromptPart = 0.3;
// How often the engines that can serve are counted.
constexpr Duration kCapacityInterval = milliseconds(100);
// Part of an engine's throughput that a cold one gives.
constexpr double kColdCapacityPart = 0.5;
// Peers' counts are some hundred ms old: a target that looks idle has been
// chosen by others meanwhile, and one that looks busy has been avoided. So
// only this part of the difference to the mean is believed.
constexpr double kKnownPart = 0.5;
// For the same reason each router prefers a random sample of the targets, and
// passes over the others unless they are this much better.
constexpr double kSampledPart = 0.15;
constexpr double kUnsampledSeconds = 0.10;
// A prompt part not used for this long is taken for evicted.
constexpr Duration kKeptFor = std::chrono::seconds(15);
constexpr std::size_t kMaxKeptParts = 4096;
// Reading a part again costs others at that target the same time once more,
// and those whose parts it displaces.
constexpr double kReadAgainWeight = 3.0;
// Part of a chain that the home in a region is taken to have to read, if the
// fleet's home is in the other region.
constexpr double kUnkeptAtRegionHome = 0.5;
// Bounds of what callers are told to wait.
constexpr Duration kMinRetryAfter = milliseconds(100);
constexpr Duration kMaxRetryAfter = milliseconds(2000);
// Wait for the routers' own view to recover.
constexpr Duration kNoTargetRetryAfter = milliseconds(500);
// Larger bodies leave this part of the budget to small ones, which carry more
// work for each byte.
constexpr double kLargeBodyPart = 0.8;
constexpr std::size_t kLargeBody = std::size_t{8} * 1024;
// Another region is used once the own one takes this part of the limit. Small
// bodies cross sooner: they carry more work for each byte, and leave the own
// region to large ones.
constexpr double kSmallSpillPart = 0.4;
constexpr double kLargeSpillPart = 0.75;
// Most plain requests in flight for a slot; beyond it targets shed.
constexpr double kPlainQueuePerSlot = 3.0;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration FromSeconds(double seconds) {
  return Duration(
      static_cast<std::int64_t>(std::min(std::max(seconds, 0.0), 1e6) * 1e6));
}

// Mean of what peers have waiting at the targets of this or other regions.
double MeanPeerTokens(const std::vector<TargetState*>& targets, bool is_near) {
  double sum = 0;
  int count = 0;
  for (const TargetState* it : targets) {
    if (it->is_in_local_region == is_near) {
      sum += it->peer_load.pending_prefill_tokens;
      ++count;
    }
  }
  return count == 0 ? 0.0 : sum / count;
}

bool Contains(const std::vector<std::string>& list, const std::string& item) {
  return std::find(list.begin(), list.end(), item) != list.end();
}

}  // namespace

std::string_view ToString(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kNoTarget:
      return "no_target";
    case RefusalReason::kOverShare:
      return "over_share";
    case RefusalReason::kOverloaded:
      return "overloaded";
    case RefusalReason::kCrashesTargets:
      return "crashes_targets";
    case RefusalReason::kRetryBudget:
      return "retry_budget";
  }
  return "unknown";
}

Scheduler::Scheduler(Surroundings surroundings) {
  SetSurroundings(std::move(surroundings));
}

void Scheduler::SetSurroundings(Surroundings surroundings) {
  if (surroundings.region_link_bytes != surroundings_.region_link_bytes) {
    link_budget_ = LinkBudget(surroundings.region_link_bytes);
  }
  surroundings_ = std::move(surroundings);
  targets_.SetRegions(surroundings_.region_of_zone, surroundings_.region);
}

void Scheduler::SetConfiguration(
    std::shared_ptr<const Configuration> configuration) {
  configuration_ = std::move(configuration);
  fair_share_.SetCapacity(configuration_->engine_tokens_per_second());
  shortest_goals_.clear();
  for (const Route& route : configuration_->routes()) {
    if (route.latency_goal <= Duration(0)) {
      continue;
    }
    for (const TrafficShare& share : route.split) {
      const auto [it, is_new] =
          shortest_goals_.emplace(share.service, Seconds(route.latency_goal));
      it->second = std::min(it->second, Seconds(route.latency_goal));
    }
  }
}

void Scheduler::SetFleet(int routers, int position) {
  routers_ = std::max(1, routers);
  position_ = position;
}

double Scheduler::UnitsOf(const ScheduledRequest& request) {
  const double own = request.prompt.empty()
                         ? static_cast<double>(request.prompt_tokens)
                         : static_cast<double>(request.prompt.back().tokens);
  return own + 2.0 * static_cast<double>(request.max_output_tokens);
}

double Scheduler::TokenSeconds(const std::string& service) const {
  const auto it = token_seconds_.find(service);
  return it == token_seconds_.end() ? kDefaultTokenSeconds : it->second;
}

void Scheduler::NoteRequest(TimePoint now, const ScheduledRequest& request) {
  retry_budgets_[request.service].RecordRequest(now);
  if (request.customer != nullptr) {
    const ServiceProfile* service =
        configuration_->FindService(request.service);
    if (service != nullptr && service->engine) {
      fair_share_.RecordDemand(now, request.customer->id, UnitsOf(request));
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

std::vector<TargetState*> Scheduler::Usable(TimePoint now,
                                            const ScheduledRequest& request) {
  std::vector<TargetState*> open;
  std::vector<TargetState*> healthy;
  for (TargetState* it : targets_.OfService(request.service)) {
    if (!targets_.IsInRotation(now, *it) ||
        !IsAllowedRegion(request, it->region) ||
        Contains(request.tried, it->entry.id)) {
      continue;
    }
    open.push_back(it);
    const bool is_ejected = now < it->ejected_until ||
                            (it->is_half_open && it->probes_in_flight > 0);
    if (!is_ejected) {
      healthy.push_back(it);
    }
  }
  // If every target failed lately, evidence does not tell them apart.
  return healthy.empty() ? open : healthy;
}

Scheduler::Candidate Scheduler::Assess(TimePoint now,
                                       const ScheduledRequest& request,
                                       const ServiceProfile* service,
                                       TargetState& target, double unkept_part,
                                       double mean_peer_tokens) {
  Candidate candidate;
  candidate.target = &target;
  candidate.is_local = target.is_in_local_region;
  candidate.is_trial = target.is_half_open;
  const int in_flight =
      target.local_load.in_flight + target.peer_load.in_flight;
  const double distance = candidate.is_local ? 0.0 : kCrossRegionSeconds;
  if (service == nullptr || !service->engine) {
    const double per_slot =
        static_cast<double>(in_flight) / std::max(1, target.entry.slots);
    candidate.expected_seconds =
        target.mean_response_seconds * (1.0 + per_slot);
    candidate.predicted_seconds = candidate.expected_seconds + distance;
    candidate.idle_seconds = target.mean_response_seconds + distance;
    candidate.cost = candidate.predicted_seconds * (1.0 + target.failure_rate);
    if (per_slot >= kPlainQueuePerSlot) {
      candidate.predicted_seconds = std::numeric_limits<double>::infinity();
    }
    return candidate;
  }
  double shared = 0;
  std::uint64_t chain = 0;
  for (std::size_t i = 0; i + 1 < request.prompt.size(); ++i) {
    chain = ExtendChain(chain, request.prompt[i]);
    const auto kept = target.cached_chains.find(chain);
    if (kept == target.cached_chains.end() || now - kept->second > kKeptFor) {
      shared += unkept_part * static_cast<double>(request.prompt[i].tokens);
    }
  }
  const double own = request.prompt.empty()
                         ? static_cast<double>(request.prompt_tokens)
                         : static_cast<double>(request.prompt.back().tokens);
  candidate.mostly_reads_again = shared > own;
  const double token_seconds = TokenSeconds(request.service);
  candidate.uncached_tokens = own + shared;
  candidate.memory_tokens =
      own + shared + static_cast<double>(request.max_output_tokens);
  const double pending = target.pending_prefill_tokens.Sum(now) +
                         kKnownPart * target.peer_load.pending_prefill_tokens +
                         (1.0 - kKnownPart) * mean_peer_tokens;
  candidate.expected_seconds =
      kBaseSeconds + (pending + candidate.uncached_tokens) * token_seconds;
  candidate.predicted_seconds =
      candidate.expected_seconds * target.slowness + distance;
  candidate.wait_seconds = pending * token_seconds * target.slowness;
  candidate.idle_seconds =
      kBaseSeconds + own * token_seconds * std::min(1.0, target.slowness) +
      distance;
  // Reading a part again also delays others at that target.
  candidate.cost = candidate.predicted_seconds +
                   kReadAgainWeight * shared * token_seconds * target.slowness;
  const double memory = target.local_load.kv_cache_tokens +
                        target.peer_load.kv_cache_tokens +
                        candidate.memory_tokens;
  const bool is_full =
      in_flight >= service->engine->slots ||
      (service->engine->kv_capacity_tokens > 0 && in_flight > 0 &&
       memory > kMemoryPart *
                    static_cast<double>(service->engine->kv_capacity_tokens));
  if (is_full) {
    candidate.predicted_seconds = std::numeric_limits<double>::infinity();
    candidate.cost = std::numeric_limits<double>::infinity();
  }
  return candidate;
}

bool Scheduler::LinkAllows(TimePoint now, std::size_t bytes) const {
  const double budget = link_budget_.BytesPerSecond() *
                        (bytes > kLargeBody ? kLargeBodyPart : 1.0);
  return peer_link_use_ + link_use_.PerSecond(now) < budget;
}

double Scheduler::Random() {
  constexpr double kScale = 1.0 / std::minstd_rand::max();
  return kScale * static_cast<double>(random_());
}

double Scheduler::ShortestGoal(const std::string& service) const {
  const auto it = shortest_goals_.find(service);
  return it == shortest_goals_.end() ? kDefaultGoalSeconds : it->second;
}

bool Scheduler::TakeColdToken(TimePoint now, TargetState& target) {
  const ServiceProfile* service =
      configuration_->FindService(target.entry.service);
  if (service == nullptr || service->cold_per_second <= 0 ||
      !targets_.IsCold(now, target)) {
    return true;
  }
  const int senders = std::min(routers_, kMaxColdSenders);
  const std::uint64_t turn =
      XXH64(target.entry.id.data(), target.entry.id.size(), 0) %
      static_cast<std::uint64_t>(routers_);
  const int offset = (position_ - static_cast<int>(turn) + routers_) % routers_;
  if (offset >= senders) {
    return false;
  }
  const double rate = kColdPart * service->cold_per_second / senders;
  target.cold_send_credit =
      std::min(1.0, target.cold_send_credit +
                        rate * Seconds(now - target.cold_credit_updated_at));
  target.cold_credit_updated_at = now;
  if (target.cold_send_credit < 1.0) {
    return false;
  }
  target.cold_send_credit -= 1.0;
  return true;
}

void Scheduler::RefreshCapacity(TimePoint now, const std::string& service) {
  EngineCapacity& capacity = capacities_[service];
  if (capacity.refreshed_at != TimePoint() &&
      now - capacity.refreshed_at < kCapacityInterval) {
    return;
  }
  capacity.refreshed_at = now;
  double usable = 0;
  for (const TargetState* it : targets_.OfService(service)) {
    if (targets_.IsInRotation(now, *it) && now >= it->ejected_until) {
      usable += targets_.IsCold(now, *it) ? kColdCapacityPart : 1.0;
    }
  }
  capacity.usable = usable;
  capacity.most = std::max(capacity.most, usable);
  // The stated throughput is that of all services' engines together.
  double all_usable = 0;
  double all_most = 0;
  for (const auto& [name, it] : capacities_) {
    all_usable += it.usable;
    all_most += it.most;
  }
  const double stated = configuration_->engine_tokens_per_second();
  if (stated > 0 && all_usable > 0) {
    token_seconds_[service] = all_most / stated;
    fair_share_.SetCapacity(stated * all_usable / all_most);
  }
}

Decision Scheduler::Place(TimePoint now, const ScheduledRequest& request) {
  if (suspects_.IsQuarantined(now, request.fingerprint)) {
    return Refusal{RefusalReason::kCrashesTargets, kMaxRetryAfter, Duration(0),
                   0};
  }
  const ServiceProfile* service = configuration_->FindService(request.service);
  const bool is_engine = service != nullptr && service->engine.has_value();
  if (is_engine) {
    RefreshCapacity(now, request.service);
  }
  // First, since a flood is refused here and each look at all targets costs.
  const bool is_within_share = !is_engine || request.customer == nullptr ||
                               fair_share_.HasCredit(now, request.customer->id);
  if (!is_within_share &&
      !fair_share_.MayUseSpareCapacity(now, request.customer->id)) {
    return Refuse(now, request, RefusalReason::kOverShare, 0, 0);
  }
  const std::vector<TargetState*> usable = Usable(now, request);
  const std::uint64_t chain = ChainOf(request.prompt);
  std::vector<Candidate> candidates;
  candidates.reserve(usable.size());
  const Homes homes = HomesOf(usable, chain);
  // Regions differ for longer than reports take.
  const double near_mean = MeanPeerTokens(usable, true);
  const double far_mean = MeanPeerTokens(usable, false);
  for (TargetState* it : usable) {
    const bool is_region_home = it == homes.of_near || it == homes.of_far;
    const double unkept_part = it == homes.of_fleet ? 0.0
                               : is_region_home     ? kUnkeptAtRegionHome
                                                    : 1.0;
    candidates.push_back(Assess(now, request, service, *it, unkept_part,
                                it->is_in_local_region ? near_mean : far_mean));
    Candidate& candidate = candidates.back();
    candidate.is_home = it == homes.of_fleet;
    if (!is_region_home && Random() >= kSampledPart) {
      candidate.cost += kUnsampledSeconds;
    }
  }
  std::sort(
      candidates.begin(), candidates.end(),
      [](const Candidate& a, const Candidate& b) { return a.cost < b.cost; });
  const double goal = request.route->latency_goal > Duration(0)
                          ? Seconds(request.route->latency_goal)
                          : kDefaultGoalSeconds;
  const bool is_large =
      is_engine && request.customer != nullptr &&
      !fair_share_.IsDemandWithinShare(now, request.customer->id) &&
      fair_share_.AdmittedFraction(now, request.customer->id) >= kBehindPart;
  const double part = !is_within_share ? kOverSharePart
                      : is_large       ? kLargeCustomerPart
                                       : kGoalPart;
  const double limit = goal * part;
  // All requests of a service wait in one queue. One that is longer than the
  // shortest goal bears would shut out the requests with that goal.
  const double wait_limit = kWaitPart * part * ShortestGoal(request.service);
  double best = 0;
  double best_near = std::numeric_limits<double>::infinity();
  double near_wait = std::numeric_limits<double>::infinity();
  for (const Candidate& it : candidates) {
    if (it.is_local) {
      best_near = std::min(best_near, it.predicted_seconds);
      near_wait = std::min(near_wait, it.wait_seconds);
    }
  }
  const double spill_part =
      request.body_bytes > kLargeBody ? kLargeSpillPart : kSmallSpillPart;
  const bool is_near_busy =
      best_near > spill_part * limit || near_wait > spill_part * wait_limit;
  const bool link_allows = LinkAllows(now, request.body_bytes);
  for (const Candidate& it : candidates) {
    if (best == 0 || it.predicted_seconds < best) {
      best = it.predicted_seconds;
    }
    if (it.predicted_seconds >
            std::max(limit, it.idle_seconds + kLargePromptPart * wait_limit) ||
        it.predicted_seconds > Seconds(request.remaining) ||
        (is_engine &&
         it.wait_seconds >
             (it.mostly_reads_again ? kReadAgainPart : 1.0) * wait_limit)) {
      continue;
    }
    if (!it.is_local && !(link_allows && (is_near_busy || it.is_home))) {
      continue;
    }
    if (!TakeColdToken(now, *it.target)) {
      continue;
    }
    if (!request.tried.empty() &&
        !retry_budgets_[request.service].TrySpend(
            now, surroundings_.retry_budget, routers_)) {
      return Refusal{RefusalReason::kRetryBudget, kMinRetryAfter, Duration(0),
                     0};
    }
    return Reserve(now, request, it);
  }
  if (candidates.empty()) {
    return Refusal{RefusalReason::kNoTarget, kNoTargetRetryAfter, Duration(0),
                   0};
  }
  return Refuse(
      now, request,
      is_within_share ? RefusalReason::kOverloaded : RefusalReason::kOverShare,
      best, limit);
}

Decision Scheduler::Refuse(TimePoint now, const ScheduledRequest& request,
                           RefusalReason reason, double best_seconds,
                           double limit_seconds) {
  Duration wait = kMinRetryAfter;
  if (std::isfinite(best_seconds)) {
    wait = std::max(wait, FromSeconds(best_seconds - limit_seconds));
  }
  if (reason == RefusalReason::kOverShare) {
    wait =
        std::max(wait, fair_share_.TimeUntilCredit(now, request.customer->id));
  }
  const double level = fair_share_.ShareLevel(now);
  return Refusal{
      reason, std::min(wait, kMaxRetryAfter),
      std::isfinite(best_seconds) ? FromSeconds(best_seconds) : Duration(0),
      std::isfinite(level) ? level : 0.0};
}

void Scheduler::Keep(TimePoint now, const ScheduledRequest& request,
                     TargetState& target) {
  if (target.cached_chains.size() > kMaxKeptParts) {
    std::erase_if(target.cached_chains,
                  [now](const auto& it) { return now - it.second > kKeptFor; });
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
  assignment.uncached_tokens = candidate.uncached_tokens;
  assignment.memory_tokens = candidate.memory_tokens;
  assignment.expected = FromSeconds(candidate.expected_seconds);
  assignment.predicted = FromSeconds(candidate.predicted_seconds);
  assignment.waiting_tokens = target.pending_prefill_tokens.Sum(now) +
                              target.peer_load.pending_prefill_tokens;
  assignment.is_home = candidate.is_home;
  assignment.is_trial = candidate.is_trial;
  assignment.sent_at = now;
  if (!candidate.is_local) {
    link_use_.Add(now, static_cast<double>(request.body_bytes));
  }
  ++target.local_load.in_flight;
  target.pending_prefill_tokens.Add(now, candidate.uncached_tokens);
  target.local_load.kv_cache_tokens += candidate.memory_tokens;
  target.probes_in_flight += candidate.is_trial ? 1 : 0;
  Keep(now, request, target);
  if (request.customer != nullptr && request.tried.empty()) {
    fair_share_.Charge(now, request.customer->id, UnitsOf(request));
  }
  return assignment;
}

void Scheduler::NoteFirstEvent(TimePoint now, Assignment& assignment) {
  if (assignment.has_first_event) {
    return;
  }
  assignment.has_first_event = true;
  TargetState* target = targets_.Find(assignment.target_id);
  if (target == nullptr) {
    return;
  }
  target->pending_prefill_tokens.Remove(now, assignment.sent_at,
                                        assignment.uncached_tokens);
  const double seen = Seconds(now - assignment.sent_at);
  if (assignment.uncached_tokens <= 0) {
    target->mean_response_seconds +=
        kServiceTimeWeight * (seen - target->mean_response_seconds);
    return;
  }
  if (!is_late_) {
    targets_.RecordFirstEvent(now, *target, seen, Seconds(assignment.expected));
  }
}

void Scheduler::Finish(TimePoint now, const Assignment& assignment,
                       AttemptOutcome outcome) {
  TargetState* target = targets_.Find(assignment.target_id);
  if (target == nullptr) {
    return;
  }
  target->local_load.in_flight = std::max(0, target->local_load.in_flight - 1);
  if (!assignment.has_first_event) {
    target->pending_prefill_tokens.Remove(now, assignment.sent_at,
                                          assignment.uncached_tokens);
  }
  target->local_load.kv_cache_tokens = std::max(
      0.0, target->local_load.kv_cache_tokens - assignment.memory_tokens);
  if (assignment.is_trial) {
    target->probes_in_flight = std::max(0, target->probes_in_flight - 1);
  }
  targets_.RecordOutcome(now, *target, outcome);
}

}  // namespace corianderpost
