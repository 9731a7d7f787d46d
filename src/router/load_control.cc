#include "router/load_control.h"

#include <algorithm>
#include <string>

#include "runtime/json_log.h"

namespace corianderpost {
namespace {

using internal::Log;
using internal::LogLevel;
using std::chrono::milliseconds;

// Mean timer lag from which `has_unreliable_timing` is true.
constexpr double kUnreliableTimingLagMs = 10;

struct ChangeText {
  // Label of the metric.
  const char* label;
  const char* message;
};

ChangeText TextOf(RotationChange change) {
  switch (change) {
    case RotationChange::kLeft:
      return {"left", "router leaves rotation"};
    case RotationChange::kReturned:
      return {"returned", "router returns to rotation"};
    case RotationChange::kYielded:
      return {"yielded",
              "router returns to rotation; enough routers of its zone are out"};
    case RotationChange::kStayed:
      return {"stayed",
              "router stays in rotation; enough routers of its zone are out"};
    case RotationChange::kNone:
      break;
  }
  return {"none", "rotation unchanged"};
}

}  // namespace

bool LoadControl::has_unreliable_timing() const {
  return overload_detector_.mean_lag_ms() >= kUnreliableTimingLagMs;
}

bool LoadControl::RecordTick(TimePoint now, Duration lag,
                             std::size_t open_requests) {
  const bool was_busy = overload_detector_.is_busy();
  const bool was_overloaded = overload_detector_.is_overloaded();
  const bool was_limiting = admission_.is_limiting();
  overload_detector_.RecordTick(now, lag);
  admission_.RecordTick(now, std::max(lag, callers_.AcceptDelay(now)));
  LogLimit(was_limiting, open_requests);
  LogOverload(was_busy, was_overloaded, lag, open_requests);
  // Reports that arrived since the tick was due have not been read yet, so
  // peers count as silent only if they were so by then.
  const bool wants_to_leave =
      overload_detector_.is_overloaded() || admission_.is_limiting();
  const RotationChange change =
      rotation_.Update(now, wants_to_leave, peers_.ZonePeers(now - lag),
                       wants_to_leave && HasOtherZoneInRegion(now));
  ReportRotation(change);
  return change != RotationChange::kNone && change != RotationChange::kStayed;
}

bool LoadControl::HasOtherZoneInRegion(TimePoint now) const {
  const std::vector<RouterInfo> peers = peers_.LivePeers(now);
  return std::any_of(peers.begin(), peers.end(), [this](const RouterInfo& it) {
    return it.region == peers_.self().region && it.zone != peers_.self().zone;
  });
}

void LoadControl::LogLimit(bool was_limiting, std::size_t open_requests) const {
  if (was_limiting == admission_.is_limiting()) {
    return;
  }
  Log(LogLevel::kInfo,
      was_limiting ? "processor has headroom; no longer limiting requests"
                   : "processor is saturated; limiting requests",
      {{"late_ms", overload_detector_.mean_lag_ms()},
       {"limit_per_second", admission_.limit_per_second()},
       {"open_requests", open_requests},
       {"callers", callers_.size()}});
}

void LoadControl::LogOverload(bool was_busy, bool was_overloaded, Duration lag,
                              std::size_t open_requests) {
  if (!was_busy && overload_detector_.is_busy()) {
    Log(LogLevel::kInfo, "router is busy",
        {{"late_ms", overload_detector_.mean_lag_ms()},
         {"open_requests", open_requests}});
  }
  if (!was_overloaded && overload_detector_.is_overloaded()) {
    Log(LogLevel::kWarning, "router is overloaded",
        {{"late_ms", std::chrono::duration_cast<milliseconds>(lag).count()},
         {"open_requests", open_requests},
         {"callers", callers_.size()},
         {"max_accepts_per_turn", callers_.TakeMaxAcceptsPerTurn()}});
  }
  if (was_overloaded && !overload_detector_.is_overloaded()) {
    Log(LogLevel::kInfo, "router is no longer overloaded");
  }
}

void LoadControl::ReportRotation(RotationChange change) {
  metrics_.SetGauge("corianderpost_out_of_rotation",
                    rotation_.is_out() ? 1 : 0);
  metrics_.SetGauge("corianderpost_zone_routers", rotation_.zone_size());
  metrics_.SetGauge("corianderpost_zone_routers_out", rotation_.zone_out());
  if (change == RotationChange::kNone) {
    return;
  }
  const ChangeText text = TextOf(change);
  metrics_.IncrementCounter("corianderpost_rotation_changes_total",
                            "change=\"" + std::string(text.label) + "\"");
  Log(LogLevel::kInfo, text.message,
      {{"saturated", admission_.is_limiting()},
       {"overloaded", overload_detector_.is_overloaded()},
       {"zone_routers", rotation_.zone_size()},
       {"zone_routers_out", rotation_.zone_out()},
       {"max_out", ZoneRotation::MaxRoutersOut(rotation_.zone_size())}});
}

}  // namespace corianderpost
