// Watches the load on this router's processor: when it is saturated, requests
// are limited, and the router leaves rotation if its zone allows it.
#ifndef CORIANDERPOST_ROUTER_LOAD_CONTROL_H_
#define CORIANDERPOST_ROUTER_LOAD_CONTROL_H_

#include <cstddef>
#include <optional>

#include "decisions/processor_admission.h"
#include "decisions/zone_rotation.h"
#include "peers/peer_table.h"
#include "router/listener.h"
#include "router/overload_detector.h"
#include "runtime/metrics.h"

namespace corianderpost {

// Used from the event loop only.
class LoadControl {
 public:
  // `admission`, `callers`, `peers` and `metrics` must outlive this object.
  LoadControl(ProcessorAdmission& admission, Listener& callers,
              const PeerTable& peers, internal::Metrics& metrics)
      : admission_(admission),
        callers_(callers),
        peers_(peers),
        metrics_(metrics),
        rotation_(peers.self().vm) {}

  // Records a tick at `now` that ran `lag` after it was due. Ticks are expected
  // every 25 ms. Returns whether the router has left rotation or returned, so
  // that peers should be told at once.
  bool RecordTick(TimePoint now, Duration lag, std::size_t open_requests);

  // Whether the load allows new connections.
  bool is_in_rotation() const { return !rotation_.is_out(); }
  // Place in the order in which routers left rotation, to be reported to the
  // zone; absent while this one is in rotation.
  const std::optional<LeaveNumber>& left_rotation() const {
    return rotation_.left_rotation();
  }
  // Whether first events are handled too late to measure targets' latency with
  // them.
  bool has_unreliable_timing() const;

 private:
  // Returns whether a router of another zone of this region is alive.
  bool HasOtherZoneInRegion(TimePoint now) const;
  void LogLimit(bool was_limiting, std::size_t open_requests) const;
  void LogOverload(bool was_busy, bool was_overloaded, Duration lag,
                   std::size_t open_requests);
  // Logs and counts a change of the rotation state.
  void ReportRotation(RotationChange change);

  ProcessorAdmission& admission_;
  Listener& callers_;
  const PeerTable& peers_;
  internal::Metrics& metrics_;
  OverloadDetector overload_detector_;
  ZoneRotation rotation_;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_ROUTER_LOAD_CONTROL_H_
