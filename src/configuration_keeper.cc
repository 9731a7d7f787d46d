#include "corianderpost/internal/configuration_keeper.h"

#include <algorithm>
#include <bit>

#include "corianderpost/internal/timing.h"

namespace corianderpost::internal {
namespace {

// Item by which routers rank themselves for watching.
constexpr std::uint32_t kWatcherItem = 0x77617463;
constexpr Duration kPullInterval = milliseconds(300);
constexpr Duration kLongAgo = std::chrono::hours(24);

// Watchers grow with the logarithm of the fleet.
int WatcherCount(const Membership& membership) {
  const std::size_t n =
      membership.list() == nullptr ? 1 : membership.list()->routers().size();
  return 1 + static_cast<int>(std::bit_width(n)) / 2;
}

}  // namespace

bool ConfigurationKeeper::Take(TimePoint now, const BundleSeen& seen) {
  if (seen.from_service) {
    is_reading_ = false;
    read_at_ = now;
  }
  const std::uint64_t offered = seen.bundle->revision();
  if (offered == revision()) {
    return false;
  }
  if (only_forward_ && offered < revision()) {
    ++older_refused_;
    return false;
  }
  bundle_ = seen.bundle;
  return true;
}

void ConfigurationKeeper::NoteReadFailed(TimePoint now) {
  is_reading_ = false;
  tried_at_ = now;
}

Duration ConfigurationKeeper::Age(TimePoint now,
                                  const Membership& membership) const {
  const Duration own = read_at_ ? now - *read_at_ : kLongAgo;
  return std::min(own, membership.ConfigurationAge(now));
}

bool ConfigurationKeeper::IsNewest(const Membership& membership) const {
  return bundle_ && membership.highest_revision() <= revision();
}

bool ConfigurationKeeper::IsCurrent(TimePoint now,
                                    const Membership& membership) {
  if (!bundle_) {
    return false;
  }
  if (IsNewest(membership)) {
    behind_since_.reset();
    return true;
  }
  if (!behind_since_) {
    behind_since_ = now;
  }
  return now - *behind_since_ <= kAdoptGrace;
}

std::optional<ReadConfiguration> ConfigurationKeeper::NextRead(
    TimePoint now, const Membership& membership) {
  if (is_reading_ || (tried_at_ && now - *tried_at_ < kConfigurationRetry)) {
    return std::nullopt;
  }
  const bool watches =
      membership.RanksAmong(now, kWatcherItem, WatcherCount(membership));
  if (!watches && bundle_ && Age(now, membership) <= kConfigurationStale) {
    return std::nullopt;
  }
  is_reading_ = true;
  tried_at_ = now;
  return ReadConfiguration{revision(), watches && bundle_ != nullptr};
}

std::optional<PullBundle> ConfigurationKeeper::NextPull(
    TimePoint now, const Membership& membership) {
  const bool is_due = !pulled_at_ || now - *pulled_at_ >= kPullInterval;
  if (membership.highest_revision() <= revision() || !is_due) {
    return std::nullopt;
  }
  const auto holder = membership.HolderOfHighestRevision(now);
  if (!holder) {
    return std::nullopt;
  }
  pulled_at_ = now;
  return PullBundle{*holder};
}

}  // namespace corianderpost::internal
