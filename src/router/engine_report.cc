#include "router/engine_report.h"

#include <set>

#include "runtime/json_log.h"

namespace corianderpost {

void EngineReport::LogChanges(Scheduler& scheduler) {
  std::set<std::string> services;
  for (const auto& [id, target] : scheduler.targets().targets()) {
    services.insert(target.entry.service);
  }
  for (const std::string& it : services) {
    const bool uses_speeds =
        scheduler.adaptive_placement().UsesEngineSpeeds(it);
    bool& used_speeds = uses_speeds_[it];
    if (uses_speeds == used_speeds) {
      continue;
    }
    used_speeds = uses_speeds;
    internal::Log(
        internal::LogLevel::kInfo,
        uses_speeds ? "engine speeds are used"
                    : "engine speeds are no longer used",
        {{"service", it}, {"speed_ratio", scheduler.targets().SpeedRatio(it)}});
  }
}

void SetEngineMetrics(Scheduler& scheduler, const UpstreamPool& pool,
                      internal::Metrics& metrics) {
  const std::string speed = "corianderpost_engine_speed";
  const std::string observations = "corianderpost_engine_speed_observations";
  metrics.RemoveGauges(speed);
  metrics.RemoveGauges(observations);
  for (const auto& [id, target] : scheduler.targets().targets()) {
    if (target.speed.observations() > 0) {
      const std::string labels = "engine=\"" + id + "\"";
      metrics.SetGauge(speed, target.speed.speed(), labels);
      metrics.SetGauge(observations, target.speed.observations(), labels);
    }
  }
  metrics.SetGauge("corianderpost_target_connections_opened",
                   static_cast<double>(pool.connect_count()));
  metrics.SetGauge("corianderpost_target_connections_reused",
                   static_cast<double>(pool.reuse_count()));
}

}  // namespace corianderpost
