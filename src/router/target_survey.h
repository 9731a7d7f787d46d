// Asks targets what they know of the streams of routers that have stopped.
//
// After the loss of all routers, only the targets know at which of them a
// stream began.
#ifndef CORIANDERPOST_ROUTER_TARGET_SURVEY_H_
#define CORIANDERPOST_ROUTER_TARGET_SURVEY_H_

#include <map>
#include <optional>
#include <string>

#include "corianderpost/clock.h"
#include "dataplane/fetch.h"
#include "decisions/target_table.h"
#include "model/configuration.h"
#include "peers/fleet_stream_directory.h"
#include "router/deployment.h"
#include "runtime/metrics.h"

namespace corianderpost {

// Used from the event loop only.
class TargetSurvey {
 public:
  // The arguments must outlive the survey.
  TargetSurvey(Fetcher& fetcher, const Deployment& deployment,
               FleetStreamDirectory& directory, internal::Metrics& metrics)
      : fetcher_(fetcher),
        deployment_(deployment),
        directory_(directory),
        metrics_(metrics) {}

  // Asks the targets if it is time. Call regularly, from when the target list
  // was loaded and `configuration` is in force; `targets` are those of the
  // list.
  void Tick(TimePoint now, const Configuration& configuration,
            const TargetTable& targets);

 private:
  void Ask(const TargetEntry& entry);
  // Logs and counts what became of a question.
  void ReportResult(const TargetEntry& entry, const FetchResult& result,
                    const std::string& verdict);

  Fetcher& fetcher_;
  const Deployment& deployment_;
  FleetStreamDirectory& directory_;
  internal::Metrics& metrics_;
  std::optional<TimePoint> first_tick_at_;
  bool has_asked_ = false;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_ROUTER_TARGET_SURVEY_H_
