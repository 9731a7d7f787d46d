// The metrics and the log's view of engine speeds and connections to targets.
#ifndef CORIANDERPOST_ROUTER_ENGINE_REPORT_H_
#define CORIANDERPOST_ROUTER_ENGINE_REPORT_H_

#include <map>
#include <string>

#include "dataplane/upstream.h"
#include "decisions/scheduler.h"
#include "runtime/metrics.h"

namespace corianderpost {

// Not thread-safe: call on the thread that owns the scheduler.
class EngineReport {
 public:
  // Logs each service whose engines' speeds have begun or ceased to be used
  // since the last call. The cost is that of a pass over the targets.
  void LogChanges(Scheduler& scheduler);

 private:
  // By service.
  std::map<std::string, bool> uses_speeds_;
};

// Sets the gauges of each engine's speed and of the connections to targets, and
// removes those of engines that are gone.
void SetEngineMetrics(Scheduler& scheduler, const UpstreamPool& pool,
                      internal::Metrics& metrics);

}  // namespace corianderpost

#endif  // CORIANDERPOST_ROUTER_ENGINE_REPORT_H_
