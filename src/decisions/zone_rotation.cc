#include "decisions/zone_rotation.h"

#include <algorithm>
#include <tuple>

namespace corianderpost {
namespace {

using std::chrono::milliseconds;

// A router whose state is older counts as out. The load balancer takes a router
// out after two failed readiness checks, one second apart. A router that leaves
// while reports on others are lost must notice that before the second check.
constexpr Duration kMaxStateAge = milliseconds(800);
// The load balancer notices a return at its next readiness check, one second
// later at most. Until then the router's place is not given to another one.
constexpr Duration kReturnTime = milliseconds(1200);
// A router that had to return stays for at least one readiness check; otherwise
// two failed ones in a row could belong to two attempts to leave.
constexpr Duration kYieldTime = milliseconds(1200);

}  // namespace

int ZoneRotation::MaxRoutersOut(int routers) {
  return std::max(0, routers - 1) / 2;
}

RotationChange ZoneRotation::Update(TimePoint now, bool wants_to_leave,
                                    const std::vector<ZonePeer>& peers,
                                    bool may_empty_zone) {
  const auto is_silent = [](const ZonePeer& it) {
    return it.age > kMaxStateAge;
  };
  zone_size_ = 1 + static_cast<int>(peers.size());
  int others_out = 0;
  int preceding = 0;
  LeaveNumber max_number = kOutForOtherReason;
  for (const ZonePeer& it : peers) {
    const bool is_out = is_silent(it) || it.left_rotation.has_value();
    const bool precedes =
        is_silent(it) ||
        (it.left_rotation &&
         (!left_rotation_ ||
          std::tie(*it.left_rotation, it.vm) < std::tie(*left_rotation_, vm_)));
    others_out += is_out ? 1 : 0;
    preceding += precedes ? 1 : 0;
    max_number = std::max(max_number, it.left_rotation.value_or(0));
  }
  const bool has_place =
      may_empty_zone || preceding < MaxRoutersOut(zone_size_);
  RotationChange change = RotationChange::kNone;
  if (!wants_to_leave) {
    is_staying_ = false;
    if (is_out_) {
      is_out_ = false;
      held_until_ = now + kReturnTime;
      change = RotationChange::kReturned;
    } else if (left_rotation_ && now >= held_until_) {
      left_rotation_.reset();
    }
  } else if (is_out_ && !has_place) {
    is_out_ = false;
    is_staying_ = true;
    left_rotation_.reset();
    may_leave_at_ = now + kYieldTime;
    change = RotationChange::kYielded;
  } else if (!is_out_ && has_place && now >= may_leave_at_) {
    is_out_ = true;
    is_staying_ = false;
    if (!left_rotation_) {
      left_rotation_ = std::min(max_number + 1, kMaxLeaveNumber);
    }
    change = RotationChange::kLeft;
  } else if (!is_out_ && !is_staying_) {
    is_staying_ = true;
    change = RotationChange::kStayed;
  }
  zone_out_ = others_out + (left_rotation_ ? 1 : 0);
  return change;
}

}  // namespace corianderpost
