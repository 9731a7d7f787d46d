// Which routers exist, which of them are heard, and which one owns a target.
#ifndef CORIANDERPOST_INTERNAL_MEMBERSHIP_H_
#define CORIANDERPOST_INTERNAL_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "corianderpost/bundle.h"
#include "corianderpost/clock.h"
#include "corianderpost/peer_message.h"

namespace corianderpost::internal {

// What one router knows of the others. Belongs to one core; not thread-safe.
class Membership {
 public:
  Membership(VmId self, std::string own_zone);

  // Takes the list unless an equal or newer one is held. Returns whether it
  // was taken.
  bool TakeList(TimePoint now, std::shared_ptr<const VmList> list);
  // Takes the zones' regions from the bundle.
  void TakeRegions(const Bundle& bundle);
  // Notes the life that a message came from, of any kind.
  enum class Life { kKnown, kFirst, kRestarted, kEnded };
  Life NoteLife(VmId from, Incarnation incarnation);
  // Notes a heartbeat of the router's known life.
  void TakeHeartbeat(TimePoint now, VmId from, const Heartbeat& heartbeat);

  const VmList* list() const { return list_.get(); }
  std::shared_ptr<const VmList> shared_list() const { return list_; }

  // Routers that this one exchanges heartbeats with, without itself. All of
  // them in a small fleet, the nearest on a ring in a large one.
  const std::vector<VmId>& neighbours() const { return neighbours_; }
  // True if the fleet is too large for every pair to exchange heartbeats.
  bool UsesRing() const;

  bool IsHeard(TimePoint now, VmId router, Duration window) const;
  // True if a majority of this router and its neighbours answered it lately.
  bool HearsMajority(TimePoint now) const;
  // The time to echo in the next heartbeat to the router.
  std::int64_t EchoFor(VmId router) const;
  // Returns 0 if no heartbeat was taken from the router.
  Incarnation IncarnationOf(VmId router) const;
  // The bundle revision that the router last announced; 0 if none.
  std::uint64_t RevisionOf(VmId router) const;
  // The highest bundle revision that any router announced.
  std::uint64_t highest_revision() const { return highest_revision_; }
  // A router that announced the highest revision and is still heard.
  std::optional<VmId> HolderOfHighestRevision(TimePoint now) const;
  // A router that announced a newer VM list than this one's.
  std::optional<VmId> HolderOfNewerList(TimePoint now) const;
  // Time since anybody read the configuration, as far as peers told.
  Duration ConfigurationAge(TimePoint now) const;

  // Returns the router that should hand out the target's slots, or nothing if
  // no router can. `self_may_own` tells whether this router takes part.
  std::optional<VmId> OwnerOf(TimePoint now, const Vm& target,
                              bool self_may_own) const;

  // Returns whether `voters` is a majority of the target's electorate under
  // each list that was in force within the overlap.
  bool IsMajority(TimePoint now, TargetId target,
                  const std::set<VmId>& voters) const;
  // Routers that may vote on the target under the current list.
  std::vector<VmId> Electorate(TargetId target) const;

  // Returns the router that sums up an account in a large fleet. Every router
  // with the same list gives the same answer.
  VmId HomeOf(AccountId account) const;
  // A router of the list, by `pick`.
  VmId AnyRouter(std::uint64_t pick) const;

  std::string RegionOfRouter(VmId router) const;
  std::string RegionOfZone(const std::string& zone) const;
  const std::string& own_region() const { return own_region_; }
  // True if this router speaks for its region towards others.
  bool IsRegionDelegate(TimePoint now) const;
  // The delegates of other regions, as far as this router can tell.
  std::vector<VmId> RemoteDelegates(TimePoint now) const;

  // Returns whether this router ranks among the first `count` for `item`.
  bool RanksAmong(TimePoint now, std::uint32_t item, int count) const;

 private:
  struct Peer {
    Incarnation incarnation = 0;
    TimePoint heard_at;
    // When the heartbeat that the peer last answered was sent, on own clock.
    TimePoint answered_at;
    Heartbeat last;
    // Earliest time that the configuration may have been read, on own clock.
    TimePoint read_at;
  };
  struct PastList {
    std::shared_ptr<const VmList> list;
    TimePoint replaced_at;
  };

  static std::vector<VmId> ElectorateUnder(const VmList& list, TargetId target);
  void RebuildNeighbours();
  // Position of the target's preferred owner among the listed routers.
  std::size_t FirstOwner(TargetId target) const;
  bool CanOwn(TimePoint now, const Vm& router, bool self_may_own) const;

  const VmId self_;
  const std::string own_zone_;
  std::string own_region_;
  std::shared_ptr<const VmList> list_;
  std::vector<PastList> past_lists_;
  std::vector<VmId> neighbours_;
  std::map<VmId, Peer> peers_;
  std::map<std::string, std::string, std::less<>> region_of_zone_;
  std::uint64_t highest_revision_ = 0;
  // Memory of `FirstOwner` under the current list.
  mutable std::map<TargetId, std::size_t> first_owners_;
  mutable std::map<AccountId, VmId> homes_;
};

}  // namespace corianderpost::internal

#endif  // CORIANDERPOST_INTERNAL_MEMBERSHIP_H_
