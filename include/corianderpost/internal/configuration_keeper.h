// Which configuration is in force here, and when to read for a newer one.
//
// Revisions only grow. Few routers watch the configuration service; the rest
// learn of new revisions from peers' heartbeats and fetch them from the peer.
#ifndef CORIANDERPOST_INTERNAL_CONFIGURATION_KEEPER_H_
#define CORIANDERPOST_INTERNAL_CONFIGURATION_KEEPER_H_

#include <cstdint>
#include <memory>
#include <optional>

#include "corianderpost/bundle.h"
#include "corianderpost/events.h"
#include "corianderpost/internal/membership.h"

namespace corianderpost::internal {

// Belongs to one core; not thread-safe.
class ConfigurationKeeper {
 public:
  // `only_forward` is false only in tests that show what the rule prevents.
  explicit ConfigurationKeeper(bool only_forward)
      : only_forward_(only_forward) {}

  // Returns true if the bundle is now in force and was not before.
  bool Take(TimePoint now, const BundleSeen& seen);
  void NoteReadFailed(TimePoint now);

  const std::shared_ptr<const Bundle>& bundle() const { return bundle_; }
  std::uint64_t revision() const { return bundle_ ? bundle_->revision() : 0; }
  // Time since this router or a peer read the configuration service.
  Duration Age(TimePoint now, const Membership& membership) const;
  // True if no peer announced a newer revision than the one in force here.
  bool IsNewest(const Membership& membership) const;
  // False while peers have held a newer revision for longer than the grace.
  bool IsCurrent(TimePoint now, const Membership& membership);

  // Returns the read that is due, if any.
  std::optional<ReadConfiguration> NextRead(TimePoint now,
                                            const Membership& membership);
  // Returns the pull from a peer that is due, if any.
  std::optional<PullBundle> NextPull(TimePoint now,
                                     const Membership& membership);

  std::uint64_t older_refused() const { return older_refused_; }

 private:
  const bool only_forward_;
  std::shared_ptr<const Bundle> bundle_;
  std::optional<TimePoint> read_at_;
  std::optional<TimePoint> tried_at_;
  std::optional<TimePoint> pulled_at_;
  std::optional<TimePoint> behind_since_;
  bool is_reading_ = false;
  std::uint64_t older_refused_ = 0;
};

}  // namespace corianderpost::internal

#endif  // CORIANDERPOST_INTERNAL_CONFIGURATION_KEEPER_H_
