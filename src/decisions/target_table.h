// What one router knows of the targets: list entries, load, and evidence from
// its own requests and from its peers.
#ifndef CORIANDERPOST_DECISIONS_TARGET_TABLE_H_
#define CORIANDERPOST_DECISIONS_TARGET_TABLE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "corianderpost/clock.h"
#include "corianderpost/ids.h"
#include "decisions/pending_work.h"
#include "decisions/rate_meter.h"
#include "model/configuration.h"
#include "model/target.h"

namespace corianderpost {

// Work that targets have been given and have not finished, and what came of
// their work lately. Sums over routers keep their meaning.
struct TargetLoad {
  int in_flight = 0;
  // Prompt tokens to be read by requests that have no first event yet.
  double pending_prefill_tokens = 0;
  // Memory that requests in flight will take, in tokens.
  double kv_cache_tokens = 0;
  // Attempts that ended in about the last second, and how many of them failed.
  double ended_attempts = 0;
  double failed_attempts = 0;
  // First events of the last seconds, and the sum of the logarithms of how many
  // times as long as predicted from the load alone they took.
  double first_events = 0;
  double log_slowness = 0;
  friend bool operator==(const TargetLoad&, const TargetLoad&) = default;
};

// How a request at a target ended, as evidence of the target's health.
enum class AttemptOutcome {
  // A whole answer of the target, whatever its status below 500.
  kCompleted,
  // A whole answer with a status of 500 or more.
  kServerError,
  // The target said that it did not run the request.
  kRejected,
  // Another target has the address now.
  kMisdirected,
  // No connection, hence nothing was sent.
  kConnectFailed,
  // The connection broke, or the bytes were no answer.
  kBroken,
  // No answer, or no more events, for too long.
  kStalled,
  // The caller left or the request's time ran out.
  kCancelled,
};

// What attempts showed of a target counts for about this long.
inline constexpr Duration kOutcomeRateTimeConstant = std::chrono::seconds(1);
// First events are judged over a longer time: a queue that builds up and drains
// is no change of a target's speed.
inline constexpr Duration kFirstEventRateTimeConstant = std::chrono::seconds(4);

// State of one target. Fields are read by the scheduler.
struct TargetState {
  TargetId id;
  TargetEntry entry;
  // Region of the entry's zone; empty if the zone is unknown.
  std::string region;
  bool is_in_local_region = false;
  // False once the entry was removed.
  bool is_listed = true;
  // A removal that may be an outage's effect takes force then.
  TimePoint removal_effective_at = TimePoint::max();
  TimePoint cold_until;
  // Cold rates apply until a list entry that is newer than this.
  TimePoint may_be_cold_since;
  bool may_be_cold = false;

  TargetLoad local_load;
  TargetLoad peer_load;
  // Prompt tokens that this router sent and that are not read yet; told to
  // peers as part of `own`.
  PendingWork pending_prefill_tokens;
  // What makes up the recent part of `own`.
  RateMeter ended_attempts{kOutcomeRateTimeConstant};
  RateMeter failed_attempts{kOutcomeRateTimeConstant};
  RateMeter first_events{kFirstEventRateTimeConstant};
  RateMeter log_slowness{kFirstEventRateTimeConstant};

  // Time to a first event, as a multiple of what the load predicts, over all
  // routers.
  double slowness = 1.0;
  // Share of recent requests that failed, decaying.
  double failure_rate = 0;
  int outcome_count = 0;
  int consecutive_stalls = 0;
  TimePoint ejected_until;
  Duration ejection_time{0};
  // An ejected target is tried with one request at a time.
  bool is_half_open = false;
  int probes_in_flight = 0;
  // The last broken connections, to tell a crash from a single reset.
  TimePoint last_break_at;
  int clustered_breaks = 0;
  std::uint64_t crashes = 0;

  // Sends allowed while cold.
  double cold_send_credit = 1.0;
  TimePoint cold_credit_updated_at;

  // Prompt parts believed kept, by chain hash, with their last use.
  std::unordered_map<std::uint64_t, TimePoint> cached_chains;

  // Mean time of plain requests.
  double mean_response_seconds = 0.02;
};

// Not thread-safe.
class TargetTable {
 public:
  // Sets the region of each zone, and this router's own region.
  void SetRegions(std::map<std::string, std::string> region_of_zone,
                  std::string local_region);
  // Takes a list entry. Returns true if it changed more than its time.
  bool ApplyEntry(TimePoint now, const TargetEntry& entry);
  // Takes an entry's removal; it has force at once, or after `grace`.
  void ApplyRemoval(TimePoint now, const std::string& id, Duration grace);
  // Drops the removed targets whose grace ended and that are idle.
  void Expire(TimePoint now);

  // Notes the end of an attempt as evidence.
  void RecordOutcome(TimePoint now, TargetState& target,
                     AttemptOutcome outcome);
  // A peer could not connect to the target, or saw it crash.
  void RecordPeerFailure(TimePoint now, const std::string& id);

  // Replaces what peers together have in flight.
  // Then judges each target by what all routers saw of it.
  void SetPeerLoad(TimePoint now, const std::map<TargetId, TargetLoad>& load);
  // Notes the time to a first event beside what the load alone predicted.
  void RecordFirstEvent(TimePoint now, TargetState& target, double seen_seconds,
                        double expected_seconds);
  // What this router has in flight, and saw lately.
  std::map<TargetId, TargetLoad> LocalLoad(TimePoint now) const;
  void SetEvacuatedZones(std::set<std::string> zones) {
    evacuated_zones_ = std::move(zones);
  }
  const std::set<std::string>& evacuated_zones() const {
    return evacuated_zones_;
  }

  // Returns null if the target is unknown.
  TargetState* Find(const std::string& id);
  // All targets of a service, listed or not. Valid until the table changes.
  const std::vector<TargetState*>& OfService(const std::string& service);
  std::map<std::string, TargetState>& targets() { return targets_; }

  // Whether the target may get new requests at all, its health aside.
  bool IsInRotation(TimePoint now, const TargetState& target) const;
  bool IsCold(TimePoint now, const TargetState& target) const {
    return now < target.cold_until || target.may_be_cold;
  }

 private:
  // Takes what all routers saw lately as evidence.
  void EvaluateTargets(TimePoint now);
  // Share of failures above which a target of the service is left.
  double MaxFailureRate(const std::string& service) const;
  void Eject(TimePoint now, TargetState& target, Duration initial_time);
  void UpdateRegion(TargetState& target) const;
  std::map<std::string, TargetState> targets_;
  // Targets by service; empty when it must be built again.
  std::map<std::string, std::vector<TargetState*>> by_service_;
  // Share of failures of all targets of a service together.
  std::map<std::string, double> service_failure_rates_;
  std::map<std::string, std::string> region_of_zone_;
  std::string local_region_;
  std::set<std::string> evacuated_zones_;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_DECISIONS_TARGET_TABLE_H_
