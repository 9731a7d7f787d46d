#include "router/target_survey.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "runtime/json_log.h"

namespace corianderpost {
namespace {

using internal::Log;
using internal::LogLevel;
using std::chrono::milliseconds;

// Time for peers to tell a router that has started what they know.
constexpr Duration kPeerDiscoveryTime = milliseconds(75);
constexpr Duration kTimeout = milliseconds(500);
constexpr std::size_t kMaxAskedTargets = 64;
// Bounds the length of a log line.
constexpr std::size_t kMaxLoggedRequests = 32;

}  // namespace

void TargetSurvey::Tick(TimePoint now, const Configuration& configuration,
                        const TargetTable& targets) {
  if (has_asked_) {
    return;
  }
  if (!first_tick_at_) {
    first_tick_at_ = now;
  }
  if (now - *first_tick_at_ < kPeerDiscoveryTime) {
    return;
  }
  has_asked_ = true;
  if (!directory_.LacksHistory(now)) {
    return;
  }
  std::set<std::string> services;
  for (const auto& route : configuration.routes()) {
    if (route->kind == RequestKind::kStreaming && route->is_resumable) {
      for (const TrafficShare& it : route->split) {
        services.insert(it.service);
      }
    }
  }
  std::size_t count = 0;
  for (const auto& [id, target] : targets.targets()) {
    if (services.contains(target.entry.service) &&
        directory_.IsAsker(now, id) && count < kMaxAskedTargets) {
      ++count;
      Ask(target.entry);
    }
  }
  Log(LogLevel::kInfo, "asking targets which streams they run",
      {{"targets", count}});
}

void TargetSurvey::Ask(const TargetEntry& entry) {
  fetcher_.Get(
      entry.address, deployment_.target_runs_path(),
      {kTimeout, kTimeout, kTimeout}, [this, entry](const FetchResult& result) {
        if (result.status != 200) {
          ReportResult(entry, result, "no_answer");
          return;
        }
        const auto runs = deployment_.DecodeTargetRuns(result.body);
        if (!runs.ok()) {
          ReportResult(entry, result, "malformed");
          return;
        }
        if (runs->incarnation != entry.incarnation) {
          // Another run of the target may have another version than its entry.
          ReportResult(entry, result, "restarted");
          return;
        }
        directory_.RecordRuns(entry, runs->begun_streams);
        metrics_.IncrementCounter("corianderpost_target_surveys_total",
                                  "verdict=\"answered\"");
        nlohmann::json requests = nlohmann::json::array();
        for (std::size_t i = 0;
             i < std::min(runs->begun_streams.size(), kMaxLoggedRequests);
             ++i) {
          requests.push_back(runs->begun_streams[i]);
        }
        Log(LogLevel::kInfo, "target reports the streams that it runs",
            {{"target", entry.id},
             {"version", entry.version},
             {"streams", runs->begun_streams.size()},
             {"requests", std::move(requests)}});
      });
}

void TargetSurvey::ReportResult(const TargetEntry& entry,
                                const FetchResult& result,
                                const std::string& verdict) {
  metrics_.IncrementCounter("corianderpost_target_surveys_total",
                            "verdict=\"" + verdict + "\"");
  Log(LogLevel::kWarning, "target did not report the streams that it runs",
      {{"target", entry.id},
       {"version", entry.version},
       {"verdict", verdict},
       {"status", result.status},
       {"after_ms", (result.ended_at - result.called_at) / milliseconds(1)}});
}

}  // namespace corianderpost
