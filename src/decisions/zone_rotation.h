// Decides whether a saturated router may leave rotation, so that the load
// balancer sends it no new connections.
//
// If all routers of a zone leave, their callers move to other zones. If the
// region has no other zone, they cross the link between the regions, where they
// do more harm. Of the n routers of such a zone, at most (n - 1) / 2, rounded
// down, may therefore be out at a time.
// There is no coordinator: each router reports whether it is out, and one that
// learns of enough others that left before it returns.
//
// The order of leaving is that of a logical clock (Lamport's): a router that
// leaves takes the largest number that it has heard of plus one, and equal
// numbers are ordered by address. All routers compare the same numbers, so two
// that leave at once agree which of them returns, whatever their clocks show
// and however late their reports are.
#ifndef CORIANDERPOST_DECISIONS_ZONE_ROTATION_H_
#define CORIANDERPOST_DECISIONS_ZONE_ROTATION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "corianderpost/clock.h"

namespace corianderpost {

// Place of a router in the order in which routers left rotation.
using LeaveNumber = std::uint64_t;
// Number of a router that is out of rotation for another reason than saturation
// (no configuration, stopping). It precedes all others.
inline constexpr LeaveNumber kOutForOtherReason = 0;
// Largest number in use. At the limit, only the address decides.
inline constexpr LeaveNumber kMaxLeaveNumber = 0xffff'ffff;

// What is known of another router of the zone.
struct ZonePeer {
  // IPv4 address; identifies the router.
  std::string vm;
  // Time since the router reported the state.
  Duration age{0};
  // Absent while the router is in rotation, and if it doesn't report the state.
  std::optional<LeaveNumber> left_rotation;
  friend bool operator==(const ZonePeer&, const ZonePeer&) = default;
};

// What an update changed.
enum class RotationChange {
  kNone,
  // The router leaves rotation.
  kLeft,
  // It returns since it no longer needs to be out.
  kReturned,
  // It returns although it is saturated, since enough others are out.
  kYielded,
  // It has become saturated and stays, since enough others are out.
  kStayed,
};

// Not thread-safe.
class ZoneRotation {
 public:
  // `vm` is this router's IPv4 address.
  explicit ZoneRotation(std::string vm) : vm_(std::move(vm)) {}

  // Returns how many of `routers` routers of a zone may be out of rotation for
  // saturation at a time.
  static int MaxRoutersOut(int routers);

  // Updates the state. `wants_to_leave` tells whether this router is saturated;
  // `peers` are the other known routers of its zone, silent ones included. Must
  // be called regularly, at intervals much shorter than those of the load
  // balancer's readiness checks.
  // If `may_empty_zone`, other zones of the region can take the callers, and
  // the number of routers that are out is not limited.
  RotationChange Update(TimePoint now, bool wants_to_leave,
                        const std::vector<ZonePeer>& peers,
                        bool may_empty_zone = false);

  // Whether the load balancer should send this router no new connections.
  bool is_out() const { return is_out_; }
  // What this router reports to its peers: its number while it is out, and
  // until the load balancer has noticed its return; absent otherwise.
  const std::optional<LeaveNumber>& left_rotation() const {
    return left_rotation_;
  }
  // Routers of the zone including this one, and those of them that are out of
  // rotation or silent, at the last update.
  int zone_size() const { return zone_size_; }
  int zone_out() const { return zone_out_; }

 private:
  const std::string vm_;
  std::optional<LeaveNumber> left_rotation_;
  bool is_out_ = false;
  // The router is saturated and stays in rotation.
  bool is_staying_ = false;
  // Until when the place of a router that has returned is held.
  TimePoint held_until_;
  // Earliest time to leave after it had to return.
  TimePoint may_leave_at_;
  int zone_size_ = 1;
  int zone_out_ = 0;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_DECISIONS_ZONE_ROTATION_H_
