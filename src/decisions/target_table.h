// This router's view of the targets: entries of the target list, load, and
// health as observed by this router and reported by its peers.
#ifndef CORIANDERPOST_DECISIONS_TARGET_TABLE_H_
#define CORIANDERPOST_DECISIONS_TARGET_TABLE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "corianderpost/clock.h"
#include "corianderpost/ids.h"
#include "decisions/engine_speed.h"
#include "decisions/pending_work.h"
#include "decisions/rate_limit.h"
#include "decisions/rate_meter.h"
#include "model/configuration.h"
#include "model/target.h"

namespace corianderpost {

// Unfinished work at a target and its recent outcomes, as seen by one router.
// All fields are additive: the sum over several routers is their joint load.
struct TargetLoad {
  int in_flight = 0;
  // Uncached prompt tokens of requests that have no first event yet.
  double pending_prefill_tokens = 0;
  // KV cache that the requests in flight will need, in tokens.
  double kv_cache_tokens = 0;
  // Attempts that ended, and those of them that failed, per second, averaged
  // over about the last second.
  double ended_attempts = 0;
  double failed_attempts = 0;
  // First events per second, and the sum of their logarithmic slowness per
  // second, averaged over the last few seconds. The logarithmic slowness is the
  // natural logarithm of the measured time to first event divided by the time
  // expected from the load alone.
  double first_events = 0;
  double log_slowness = 0;
  // Use of the rate limit that the target names.
  LimitUse limit_use = {};
  // Observations of the target's lasting speed; see `FirstEventSums`. Zero in
  // reports of earlier versions of the router.
  double speed_observations = 0;
  double log_speed = 0;
  // Output that the streams in flight are expected to generate still, in
  // tokens; zero in reports of earlier versions of the router.
  double output_tokens_left = 0;
  friend bool operator==(const TargetLoad&, const TargetLoad&) = default;
};

// The rate limit that a target named in its last answer to some router.
struct NamedRateLimit {
  TargetId target;
  // Requests per second for all routers together; absent if the answer named no
  // limit.
  std::optional<double> per_second;
  // Time since the answer.
  Duration age{0};
  friend bool operator==(const NamedRateLimit&,
                         const NamedRateLimit&) = default;
};

// A run of a target that has said that it leaves.
struct LeavingTarget {
  TargetId target;
  std::int64_t incarnation = 0;
  friend bool operator==(const LeavingTarget&, const LeavingTarget&) = default;
};

// How an attempt ended, as evidence of the target's health.
enum class AttemptOutcome {
  // A complete response with a status below 500.
  kCompleted,
  // A complete response with a status of 500 or above.
  kServerError,
  // The target responded that it did not execute the request.
  kRejected,
  // The address now belongs to another target.
  kMisdirected,
  // No connection could be established, so nothing was sent.
  kConnectFailed,
  // The connection broke, or the response was invalid.
  kBroken,
  // No response or no further event arrived within the stall timeout.
  kStalled,
  // The caller disconnected or the request's deadline passed; says nothing
  // about the target.
  kCancelled,
};

// Why a target was ejected.
enum class EjectionCause {
  kConnectFailed,
  // A peer could not connect to the target.
  kPeerConnectFailed,
  // Several connections broke at once.
  kCrash,
  kStalls,
  // Too many of this router's attempts failed.
  kLocalFailureRate,
  // Too many of all routers' attempts failed.
  kFleetFailureRate,
};

std::string_view ToString(EjectionCause cause);

// The start of an ejection, for the log.
struct Ejection {
  std::string target_id;
  EjectionCause cause = EjectionCause::kConnectFailed;
  Duration duration{0};
  // Attempts that ended and that failed per second, at this router and at its
  // peers.
  double local_ended = 0;
  double local_failed = 0;
  double peer_ended = 0;
  double peer_failed = 0;
  friend bool operator==(const Ejection&, const Ejection&) = default;
};

// A run of a target that has ended or can't be reached.
struct EndedIncarnation {
  std::string target_id;
  std::int64_t incarnation = 0;
  friend bool operator==(const EndedIncarnation&,
                         const EndedIncarnation&) = default;
};

// Time constant of the rates of ended and failed attempts.
inline constexpr Duration kOutcomeRateTimeConstant = std::chrono::seconds(1);
// A version that appears beside another one of its service gets no new streams
// for this time. A router that has not seen the version yet has no current
// target list by then, so it can't take the other version for the only one. It
// exceeds the age up to which a list counts as current
// (`VersionHistory::IsFresh`) and the delay of an entry in the list.
constexpr Duration kNewVersionHoldTime = std::chrono::milliseconds(4500);

// State of one target. The scheduler reads it and updates the fields on the
// work that it has placed.
struct TargetState {
  TargetId id;
  TargetEntry entry;
  // Id of the entry's software version.
  VersionId version;
  // Region of the entry's zone; empty if the zone is unknown.
  std::string region;
  bool is_in_local_region = false;
  // False after the entry was removed from the target list.
  bool is_listed = true;
  // The target has said in an answer that it leaves. Its list entry may not
  // show it for a while. Holds for this incarnation.
  bool is_leaving = false;
  // Until then the target wants no requests from this router.
  TimePoint paused_until;
  // When a delayed removal takes effect; see `TargetTable::ApplyRemoval`.
  TimePoint removal_effective_at = TimePoint::max();
  // End of the cold start according to the target list.
  TimePoint cold_until;
  // Set if the target may have restarted, which the target list does not show
  // yet. The target counts as cold until an entry arrives that has a new
  // incarnation or was written after this time, or until it can be reached and
  // the list shows no restart.
  TimePoint may_be_cold_since;
  bool may_be_cold = false;
  // As above, but only set by what this router saw itself: often a peer can't
  // connect though the target runs.
  TimePoint may_have_restarted_since;
  bool may_have_restarted = false;

  // Only `in_flight`, `kv_cache_tokens` and `output_tokens_left` are kept up to
  // date here;
  // `TargetTable::LocalLoad` computes the other fields from the members below.
  TargetLoad local_load;
  // Joint load of all peers.
  TargetLoad peer_load;
  // Uncached prompt tokens of this router's requests that have no first event
  // yet; reported to peers as part of the local load.
  PendingWork pending_prefill_tokens;
  // Meters of the rates in the local load, by the names of its fields.
  RateMeter ended_attempts{kOutcomeRateTimeConstant};
  RateMeter failed_attempts{kOutcomeRateTimeConstant};
  // Slowness and lasting speed, as seen by all routers.
  EngineSpeed speed;
  // Exponentially weighted fraction of this router's attempts that failed.
  double failure_rate = 0;
  // Number of attempts that `failure_rate` is based on.
  int outcome_count = 0;
  int consecutive_stalls = 0;
  TimePoint ejected_until;
  // Length of the last ejection; zero once a probe has completed.
  Duration ejection_time{0};
  // Set by an ejection and cleared by the first attempt that completes after
  // `ejected_until`, so it is also true while the target is ejected. Once the
  // ejection time is over, the target gets one probe request at a time.
  bool is_half_open = false;
  int probes_in_flight = 0;
  // When the last connection broke, and how many broke in quick succession up
  // to then; distinguishes a crash from a single reset.
  TimePoint last_break_at;
  int clustered_breaks = 0;
  std::uint64_t crashes = 0;

  // Token bucket that limits the sends to a cold target, in requests.
  double cold_send_credit = 1.0;
  TimePoint cold_credit_updated_at;

  // Prompt chains that the target is assumed to have cached, by chain hash,
  // with the time of their last use.
  std::unordered_map<std::uint64_t, TimePoint> cached_chains;

  // Requests per second that the target's last answer to any router named, as
  // far as known, and the time of that answer.
  std::optional<double> named_rate_limit;
  TimePoint rate_limit_named_at;
  // Whether the target ever named a limit.
  bool had_rate_limit = false;
  RateLimit rate_limit;

  // Mean time to the response head of plain (non-model) requests, in seconds.
  double mean_response_seconds = 0.02;
};

// Numbers of targets in rotation.
struct VersionCounts {
  int same = 0;
  // Of other versions, and of those whose version is not certain.
  int other = 0;
  friend bool operator==(const VersionCounts&, const VersionCounts&) = default;
};

// All targets known to this router. Not thread-safe.
class TargetTable {
 public:
  // Sets the region of each zone and the region of this router.
  void SetRegions(std::map<std::string, std::string> region_of_zone,
                  std::string local_region);
  // Adds or updates a target. Returns true if the target is new, was removed
  // before, has restarted, or has another address, zone, service or draining
  // state.
  bool ApplyEntry(TimePoint now, const TargetEntry& entry);
  // As `ApplyEntry`, for an entry of an older copy from which the store was
  // restored. Has no effect on an incarnation that was replaced or removed
  // since, nor on the known one unless the entry shows that it drains.
  bool ApplyRestoredEntry(TimePoint now, const TargetEntry& entry);
  // Removes a target from rotation after `grace`, or at once if `grace` is zero
  // or the target is draining. A new entry within `grace` cancels the removal.
  // Use `grace` for removals that an outage of the store may have caused.
  void ApplyRemoval(TimePoint now, const std::string& id, Duration grace);
  // Must be called if the list of all targets was current at `confirmed_at`.
  // Targets that were reached again long before that have not restarted.
  void ConfirmList(TimePoint confirmed_at);
  // Deletes removed targets whose grace period has ended and that have no
  // requests of this router in flight.
  void Expire(TimePoint now);

  // Records the outcome of an attempt and ejects the target if it is unhealthy.
  void RecordOutcome(TimePoint now, TargetState& target,
                     AttemptOutcome outcome);
  // Returns whether a target that this router can't connect to is unreachable
  // for the peers too. Between regions, the link may be at fault.
  bool SpeaksForPeers(const TargetState& target) const {
    return local_region_.empty() || target.region.empty() ||
           target.is_in_local_region;
  }
  // Ejects a target because a peer could not connect to it, and treats it as
  // possibly restarted. Does nothing if the target is unknown.
  void RecordPeerFailure(TimePoint now, const std::string& id);

  // Replaces the joint load of all peers, then evaluates the health of each
  // target from the observations of all routers.
  void SetPeerLoad(TimePoint now, const std::map<TargetId, TargetLoad>& load);
  // Records the rate limit that an answer of the target to this router names,
  // or that it names none. Returns true if that is new.
  static bool RecordRateLimit(TimePoint now, TargetState& target,
                              std::optional<double> per_second);
  // Applies what a peer knows, unless this router knows of a later answer.
  // Returns the target if its limit has changed, otherwise null.
  TargetState* MergeRateLimit(TimePoint now, const NamedRateLimit& named);
  // Returns the limits to be sent to peers, and those that ended recently.
  std::vector<NamedRateLimit> RateLimits(TimePoint now) const;
  // Records that an answer to a router says that the target leaves. Returns the
  // target if that is new, and it is still the same incarnation; otherwise
  // null.
  TargetState* RecordLeaving(const LeavingTarget& leaving);
  // Returns the targets that leave, for the reports to peers.
  std::vector<LeavingTarget> LeavingTargets() const;
  // Returns the ratio of the fast to the slow engines' lasting speed; see
  // `ServiceSpeeds::SpeedRatio`. 1 if unknown.
  double SpeedRatio(const std::string& service) const;
  // Returns this router's load on the targets. Targets without requests in
  // flight and without recent attempts are left out.
  std::map<TargetId, TargetLoad> LocalLoad(TimePoint now) const;
  // Returns the ejections that began since the last call.
  std::vector<Ejection> TakeEjections() {
    return std::exchange(new_ejections_, {});
  }
  // Returns the incarnations that were seen to end since the last call: by
  // failed connects, connections that broke together, or the target list.
  std::vector<EndedIncarnation> TakeEndedIncarnations() {
    return std::exchange(ended_incarnations_, {});
  }
  void SetEvacuatedZones(std::set<std::string> zones) {
    evacuated_zones_ = std::move(zones);
  }
  const std::set<std::string>& evacuated_zones() const {
    return evacuated_zones_;
  }

  // Returns null if the target is unknown. The pointer is valid until `Expire`
  // deletes the target.
  TargetState* Find(const std::string& id);
  // Returns all targets of a service, including removed ones that still have
  // requests in flight. Valid until a target is added, changed or deleted.
  const std::vector<TargetState*>& OfService(const std::string& service);
  // All targets by id, including removed ones that still have requests in
  // flight.
  std::map<std::string, TargetState>& targets() { return targets_; }
  const std::map<std::string, TargetState>& targets() const { return targets_; }

  // Returns whether the target may get new requests, regardless of its health:
  // it is listed, neither draining nor leaving, and its zone is not evacuated.
  bool IsInRotation(TimePoint now, const TargetState& target) const;
  // Returns whether the target has asked this router for a pause that lasts.
  static bool IsPaused(TimePoint now, const TargetState& target) {
    return now < target.paused_until;
  }
  bool IsCold(TimePoint now, const TargetState& target) const {
    return now < target.cold_until || target.may_be_cold;
  }
  // Returns the software version of the target; unknown if its entry states
  // none, or if this router saw signs of a restart that the entry would not
  // show yet.
  static VersionId VersionOf(const TargetState& target) {
    return target.may_have_restarted ? VersionId() : target.version;
  }
  // Returns whether the target's version appeared beside another one of the
  // service less than `kNewVersionHoldTime` ago. False for the versions with
  // which a service was first seen.
  bool HasNewVersion(TimePoint now, const TargetState& target) const;
  // Returns whether `version` may be wrong for what the given run of a target
  // wrote: its entry now shows another run, with a version that is not the
  // same.
  bool IsVersionInDoubt(const std::string& target_id, std::int64_t incarnation,
                        VersionId version);
  // Returns whether this router has seen signs since `since` that the target
  // was restarted, which its entry does not show yet.
  bool MayHaveRestartedSince(const std::string& target_id, TimePoint since);
  // Counts the targets of a service that are in rotation by whether they have
  // the version.
  VersionCounts CountVersions(TimePoint now, const std::string& service,
                              VersionId version);
  // Returns the name of a version of the service's targets; empty if no target
  // has it.
  std::string NameOfVersion(const std::string& service, VersionId version);

 private:
  // Updates each target's speed and ejects targets with too many failures,
  // based on the observations of all routers.
  void EvaluateTargets(TimePoint now);
  // Returns the fraction of failed attempts above which a target of the service
  // is ejected.
  double MaxFailureRate(const std::string& service) const;
  // Ejects the target unless it is ejected already. Each further ejection lasts
  // twice as long, up to a bound, until a probe succeeds.
  void Eject(TimePoint now, TargetState& target, EjectionCause cause);
  void UpdateRegion(TargetState& target) const;
  void RecordEnd(const TargetState& target);
  // Records that the target is listed with a version that it did not have
  // before.
  void RecordVersion(TimePoint now, const TargetState& target);
  void ForgetDepartures(TimePoint now);
  // An incarnation that was deleted from the table.
  struct Departure {
    std::int64_t incarnation = 0;
    TimePoint at;
  };
  std::map<std::string, Departure> departures_;
  // Until when each version of a service is new; a time in the past for those
  // with which the service was first seen.
  std::map<std::string, std::map<VersionId, TimePoint>> versions_new_until_;
  std::map<std::string, TargetState> targets_;
  std::vector<Ejection> new_ejections_;
  std::vector<EndedIncarnation> ended_incarnations_;
  // Index of the targets by service; cleared when it is out of date.
  std::map<std::string, std::vector<TargetState*>> by_service_;
  // Fraction of failed attempts at all targets of a service together.
  std::map<std::string, double> service_failure_rates_;
  // By service.
  std::map<std::string, double> speed_ratios_;
  std::map<std::string, std::string> region_of_zone_;
  std::string local_region_;
  std::set<std::string> evacuated_zones_;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_DECISIONS_TARGET_TABLE_H_
