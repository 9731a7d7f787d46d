// Which software versions each service had in use, and since when this router's
// knowledge of that has no gap.
//
// Proves, without a record of a stream, which version began it: if a service
// had only one version in use since before the stream can have begun, that one
// did.
#ifndef CORIANDERPOST_DECISIONS_VERSION_HISTORY_H_
#define CORIANDERPOST_DECISIONS_VERSION_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "corianderpost/clock.h"
#include "corianderpost/ids.h"
#include "model/target.h"

namespace corianderpost {

// A version that a service has or had in use. Facts of several routers merge.
struct VersionUse {
  ServiceId service;
  // Unknown for targets that state no version.
  VersionId version;
  // Time since a target of this version was last listed.
  Duration age{0};
  friend bool operator==(const VersionUse&, const VersionUse&) = default;
};

// That a service has had only one version in use for some time.
struct OnlyVersion {
  VersionId version;
  // Since when: another version was in use until then, or this router's
  // knowledge begins.
  TimePoint since;
  friend bool operator==(const OnlyVersion&, const OnlyVersion&) = default;
};

// Not thread-safe.
class VersionHistory {
 public:
  // Records that a target is listed, or may still serve streams. `wall_millis`
  // is the current Unix time in milliseconds.
  void RecordTarget(TimePoint now, std::uint64_t wall_millis,
                    const TargetEntry& entry);
  // Records that a service had a version in use.
  void RecordUse(TimePoint at, ServiceId service, VersionId version);
  // Applies what a peer knows.
  void MergeUse(TimePoint now, const VersionUse& use);
  // Records that the target list, of which all targets were recorded, was
  // current at `confirmed_at`.
  void ConfirmList(TimePoint confirmed_at);
  // Records that a peer's knowledge has had no gap for `coverage`. Call after
  // all that it knows was merged.
  void MergeCoverage(TimePoint now, Duration coverage);
  // Forgets what is too old to matter.
  void Expire(TimePoint now);

  // Returns the only version that `service` had in use since `since`, if that
  // can be proved.
  std::optional<OnlyVersion> FindOnlyVersion(TimePoint now, ServiceId service,
                                             TimePoint since) const;
  // Returns whether a stream that `target` began at `begun_at`, when it was
  // thought to run as `incarnation` with `version`, certainly has this version:
  // false if the target may have been restarted with another one before.
  bool IsCertain(TimePoint begun_at, TargetId target, std::int64_t incarnation,
                 VersionId version) const;

  // Returns whether the service had another version than `version` in use since
  // `since`, as far as is known.
  bool HasOther(ServiceId service, VersionId version, TimePoint since) const;
  // Returns for how long this router's knowledge has had no gap; zero if it is
  // not up to date.
  Duration Coverage(TimePoint now) const;
  // Returns all that is known, or nullopt if that is too much for a message.
  std::optional<std::vector<VersionUse>> AllUses(TimePoint now) const;
  // Returns the versions that a service has or just had in use.
  std::vector<VersionUse> UsesOf(TimePoint now, ServiceId service) const;
  // As `UsesOf`, for all services that have several such versions.
  std::vector<VersionUse> MixedUses(TimePoint now) const;
  // Whether the target list was confirmed recently.
  bool IsFresh(TimePoint now) const;

 private:
  // One run of a target.
  struct Run {
    std::int64_t incarnation = 0;
    VersionId version;
    // The run began after this time, by this router's clock.
    TimePoint began_after = TimePoint::min();
  };
  struct RunHistory {
    // In the order in which they were seen.
    std::vector<Run> runs;
    TimePoint last_seen_at;
  };

  // When each version was last in use.
  std::map<ServiceId, std::map<VersionId, TimePoint>> uses_;
  std::map<TargetId, RunHistory> runs_;
  // From then on, all uses are known. Absent before the target list was first
  // loaded.
  std::optional<TimePoint> covered_since_;
  TimePoint confirmed_at_;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_DECISIONS_VERSION_HISTORY_H_
