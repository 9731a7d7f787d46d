#include "corianderpost/internal/membership.h"

#include <algorithm>
#include <utility>

#include "corianderpost/internal/timing.h"

namespace corianderpost::internal {
namespace {

// Fleets up to this size exchange heartbeats between all pairs.
constexpr std::size_t kFullMeshRouters = 9;
// Neighbours on each side of the ring in larger fleets.
constexpr std::size_t kRingReach = 4;
// Voters on each side of a target's first owner on the ring.
constexpr std::size_t kElectorateReach = 3;
// Owners that a target can have in a large fleet, so that voters hear them.
constexpr std::size_t kRingCandidates = 3;
constexpr Duration kNeverRead = std::chrono::hours(24);

std::size_t FirstOwnerIndex(const std::vector<VmId>& routers, TargetId target) {
  std::size_t best = 0;
  for (std::size_t i = 1; i < routers.size(); ++i) {
    if (RendezvousWeight(routers[i].value(), target.value()) >
        RendezvousWeight(routers[best].value(), target.value())) {
      best = i;
    }
  }
  return best;
}

}  // namespace

Membership::Membership(VmId self, std::string own_zone)
    : self_(self), own_zone_(std::move(own_zone)) {}

bool Membership::TakeList(TimePoint now, std::shared_ptr<const VmList> list) {
  if (list_ && list->revision() <= list_->revision()) {
    return false;
  }
  std::erase_if(past_lists_, [now](const PastList& past) {
    return now - past.replaced_at > kListOverlap;
  });
  if (list_ && list_->routers() != list->routers()) {
    past_lists_.push_back({list_, now});
  }
  list_ = std::move(list);
  RebuildNeighbours();
  return true;
}

std::size_t Membership::FirstOwner(TargetId target) const {
  const auto [it, is_new] = first_owners_.try_emplace(target, 0);
  if (is_new) {
    it->second = FirstOwnerIndex(list_->routers(), target);
  }
  return it->second;
}

void Membership::RebuildNeighbours() {
  neighbours_.clear();
  first_owners_.clear();
  homes_.clear();
  const auto& routers = list_->routers();
  const auto self = std::find(routers.begin(), routers.end(), self_);
  if (routers.size() <= kFullMeshRouters || self == routers.end()) {
    std::copy_if(routers.begin(), routers.end(),
                 std::back_inserter(neighbours_),
                 [this](VmId it) { return it != self_; });
    return;
  }
  const std::size_t n = routers.size();
  const std::size_t at = static_cast<std::size_t>(self - routers.begin());
  for (std::size_t step = 1; step <= kRingReach; ++step) {
    neighbours_.push_back(routers[(at + step) % n]);
    neighbours_.push_back(routers[(at + n - step) % n]);
  }
}

bool Membership::UsesRing() const {
  return list_ && list_->routers().size() > kFullMeshRouters;
}

void Membership::TakeRegions(const Bundle& bundle) {
  region_of_zone_.clear();
  for (const auto& zone : bundle.zones()) {
    region_of_zone_[zone.name] = zone.region;
  }
  own_region_ = RegionOfZone(own_zone_);
}

Membership::Life Membership::NoteLife(VmId from, Incarnation incarnation) {
  Peer& peer = peers_[from];
  if (incarnation == peer.incarnation) {
    return Life::kKnown;
  }
  // Incarnations grow, so this is a late message of an earlier life.
  if (incarnation < peer.incarnation) {
    return Life::kEnded;
  }
  const bool is_first = peer.incarnation == 0;
  peer = Peer();
  peer.incarnation = incarnation;
  return is_first ? Life::kFirst : Life::kRestarted;
}

void Membership::TakeHeartbeat(TimePoint now, VmId from,
                               const Heartbeat& heartbeat) {
  Peer& peer = peers_[from];
  peer.heard_at = now;
  if (heartbeat.echo_us > 0) {
    peer.answered_at =
        std::max(peer.answered_at, TimePoint(Duration(heartbeat.echo_us)));
  }
  if (heartbeat.sent_at_us < peer.last.sent_at_us) {
    return;
  }
  peer.last = heartbeat;
  peer.read_at =
      now - std::chrono::milliseconds(heartbeat.configuration_age_ms);
  highest_revision_ = std::max(highest_revision_, heartbeat.bundle_revision);
}

bool Membership::IsHeard(TimePoint now, VmId router, Duration window) const {
  const auto it = peers_.find(router);
  return it != peers_.end() && it->second.heard_at != TimePoint() &&
         now - it->second.heard_at <= window;
}

bool Membership::HearsMajority(TimePoint now) const {
  if (!list_) {
    return false;
  }
  std::size_t heard = 1;
  for (const VmId it : neighbours_) {
    const auto peer = peers_.find(it);
    const bool has_answered = peer != peers_.end() &&
                              peer->second.answered_at != TimePoint() &&
                              now - peer->second.answered_at <= kHeardWindow;
    heard += has_answered ? 1 : 0;
  }
  return 2 * heard > neighbours_.size() + 1;
}

Incarnation Membership::IncarnationOf(VmId router) const {
  const auto it = peers_.find(router);
  return it == peers_.end() ? 0 : it->second.incarnation;
}

std::int64_t Membership::EchoFor(VmId router) const {
  const auto it = peers_.find(router);
  return it == peers_.end() ? 0 : it->second.last.sent_at_us;
}

std::optional<VmId> Membership::HolderOfNewerList(TimePoint now) const {
  for (const auto& [vm, peer] : peers_) {
    if (list_ && peer.last.list_revision > list_->revision() &&
        now - peer.heard_at <= kHeardWindow) {
      return vm;
    }
  }
  return std::nullopt;
}

std::uint64_t Membership::RevisionOf(VmId router) const {
  const auto it = peers_.find(router);
  return it == peers_.end() ? 0 : it->second.last.bundle_revision;
}

std::optional<VmId> Membership::HolderOfHighestRevision(TimePoint now) const {
  for (const auto& [vm, peer] : peers_) {
    if (peer.last.bundle_revision == highest_revision_ &&
        now - peer.heard_at <= kHeardWindow) {
      return vm;
    }
  }
  return std::nullopt;
}

Duration Membership::ConfigurationAge(TimePoint now) const {
  Duration age = kNeverRead;
  for (const auto& [vm, peer] : peers_) {
    if (peer.heard_at != TimePoint()) {
      age = std::min(age, now - peer.read_at);
    }
  }
  return age;
}

bool Membership::CanOwn(TimePoint now, const Vm& router,
                        bool self_may_own) const {
  if (router.id == self_) {
    return self_may_own;
  }
  const auto it = peers_.find(router.id);
  if (IsHeard(now, router.id, kSuspectAfter)) {
    return it->second.last.serving && !it->second.last.draining;
  }
  // In a large fleet only neighbours are heard; others are taken to live.
  return UsesRing() && std::find(neighbours_.begin(), neighbours_.end(),
                                 router.id) == neighbours_.end();
}

std::optional<VmId> Membership::OwnerOf(TimePoint now, const Vm& target,
                                        bool self_may_own) const {
  if (!list_ || list_->routers().empty()) {
    return std::nullopt;
  }
  if (UsesRing()) {
    const auto& routers = list_->routers();
    const std::size_t first = FirstOwner(target.id);
    for (std::size_t i = 0; i < kRingCandidates; ++i) {
      const VmId it = routers[(first + i) % routers.size()];
      if (CanOwn(now, *list_->Find(it), self_may_own)) {
        return it;
      }
    }
    return std::nullopt;
  }
  const std::string region = RegionOfZone(target.zone);
  std::optional<VmId> best;
  std::pair<bool, std::uint64_t> best_rank;
  for (const VmId it : list_->routers()) {
    const Vm& router = *list_->Find(it);
    if (!CanOwn(now, router, self_may_own)) {
      continue;
    }
    const std::pair rank(RegionOfZone(router.zone) == region,
                         RendezvousWeight(it.value(), target.id.value()));
    if (!best || rank > best_rank) {
      best = it;
      best_rank = rank;
    }
  }
  return best;
}

std::vector<VmId> Membership::ElectorateUnder(const VmList& list,
                                              TargetId target) {
  const auto& routers = list.routers();
  if (routers.size() <= kFullMeshRouters) {
    return routers;
  }
  const std::size_t n = routers.size();
  const std::size_t first = FirstOwnerIndex(routers, target);
  std::vector<VmId> voters;
  for (std::size_t i = 0; i < 2 * kElectorateReach + 1; ++i) {
    voters.push_back(routers[(first + n - kElectorateReach + i) % n]);
  }
  return voters;
}

std::vector<VmId> Membership::Electorate(TargetId target) const {
  return list_ ? ElectorateUnder(*list_, target) : std::vector<VmId>();
}

bool Membership::IsMajority(TimePoint now, TargetId target,
                            const std::set<VmId>& voters) const {
  const auto has_majority = [&](const VmList& list) {
    const auto electorate = ElectorateUnder(list, target);
    const auto in_favour =
        std::count_if(electorate.begin(), electorate.end(),
                      [&](VmId it) { return voters.contains(it); });
    return 2 * static_cast<std::size_t>(in_favour) > electorate.size();
  };
  if (!list_ || !has_majority(*list_)) {
    return false;
  }
  return std::all_of(past_lists_.begin(), past_lists_.end(),
                     [&](const PastList& past) {
                       return now - past.replaced_at > kListOverlap ||
                              has_majority(*past.list);
                     });
}

VmId Membership::HomeOf(AccountId account) const {
  const auto [it, is_new] = homes_.try_emplace(account, self_);
  if (is_new) {
    const auto& routers = list_->routers();
    // Mixed, so that an account and a target of equal number part.
    const TargetId item(~account.value());
    it->second =
        routers.empty() ? self_ : routers[FirstOwnerIndex(routers, item)];
  }
  return it->second;
}

VmId Membership::AnyRouter(std::uint64_t pick) const {
  const auto& routers = list_->routers();
  return routers.empty() ? self_ : routers[pick % routers.size()];
}

std::string Membership::RegionOfRouter(VmId router) const {
  if (router == self_) {
    return own_region_;
  }
  const Vm* vm = list_ ? list_->Find(router) : nullptr;
  return vm == nullptr ? std::string() : RegionOfZone(vm->zone);
}

std::string Membership::RegionOfZone(const std::string& zone) const {
  const auto it = region_of_zone_.find(zone);
  return it == region_of_zone_.end() ? std::string() : it->second;
}

bool Membership::IsRegionDelegate(TimePoint now) const {
  if (!list_) {
    return false;
  }
  for (const VmId it : list_->routers()) {
    if (it == self_) {
      return true;
    }
    if (RegionOfRouter(it) == own_region_ && IsHeard(now, it, kSuspectAfter)) {
      return false;
    }
  }
  return true;
}

std::vector<VmId> Membership::RemoteDelegates(TimePoint now) const {
  std::vector<VmId> delegates;
  std::set<std::string> seen = {own_region_};
  for (const VmId it : list_->routers()) {
    if (IsHeard(now, it, kHeardWindow) &&
        seen.insert(RegionOfRouter(it)).second) {
      delegates.push_back(it);
    }
  }
  return delegates;
}

bool Membership::RanksAmong(TimePoint now, std::uint32_t item,
                            int count) const {
  const std::uint64_t own = RendezvousWeight(self_.value(), item);
  for (const VmId it : list_ ? list_->routers() : std::vector<VmId>()) {
    const bool counts =
        it != self_ && (UsesRing() || IsHeard(now, it, kSuspectAfter));
    if (counts && RendezvousWeight(it.value(), item) > own && --count == 0) {
      return false;
    }
  }
  return true;
}

}  // namespace corianderpost::internal
