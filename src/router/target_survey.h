// Asks targets what they know of the streams of routers that have stopped.
//
// After the loss of all routers, or of those that kept the record of a stream,
// only the targets know which software version began it: by the runs that go
// on, and by the prompt parts that they still hold of those that have ended.
#ifndef CORIANDERPOST_ROUTER_TARGET_SURVEY_H_
#define CORIANDERPOST_ROUTER_TARGET_SURVEY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
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
  // The arguments must outlive the survey. The survey must not be deleted while
  // `fetcher` may still run its callbacks.
  TargetSurvey(Fetcher& fetcher, const Deployment& deployment,
               FleetStreamDirectory& directory, internal::Metrics& metrics)
      : fetcher_(fetcher),
        deployment_(deployment),
        directory_(directory),
        metrics_(metrics) {}

  // Asks the targets if it is time. Call regularly, from when the target list
  // was loaded and `configuration` is in force: targets are asked only in the
  // first seconds after the first call. `targets` are those of the list.
  void Tick(TimePoint now, const Configuration& configuration,
            const TargetTable& targets);

 private:
  // What this router has asked one target.
  struct Question {
    std::int64_t incarnation = 0;
    int attempts = 0;
    bool is_open = false;
    bool is_answered = false;
  };

  // Returns the services of routes whose streams callers may resume.
  static std::set<std::string> ResumableServices(
      const Configuration& configuration);
  // Whether a target is to be asked, if this router is its asker.
  bool IsDue(const TargetEntry& entry);
  // Asks for the runs of a target, and then for the parts that it holds.
  void AskForRuns(const TargetEntry& entry);
  void AskForHeldParts(const TargetEntry& entry);
  // Records, logs and counts what became of a question.
  void EndQuestion(const TargetEntry& entry, const FetchResult& result,
                   const std::string& verdict);

  Fetcher& fetcher_;
  const Deployment& deployment_;
  FleetStreamDirectory& directory_;
  internal::Metrics& metrics_;
  std::optional<TimePoint> first_tick_at_;
  TimePoint next_round_at_;
  bool has_begun_ = false;
  // Where the round goes on.
  std::string next_target_;
  std::size_t open_count_ = 0;
  // By target id.
  std::map<std::string, Question> questions_;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_ROUTER_TARGET_SURVEY_H_
