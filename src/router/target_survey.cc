#include "router/target_survey.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <nlohmann/json.hpp>
#include <utility>

#include "runtime/json_log.h"

namespace corianderpost {
namespace {

using internal::Log;
using internal::LogLevel;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Time for peers to tell a router that has started what they know.
constexpr Duration kPeerDiscoveryTime = milliseconds(75);
// Targets that are listed late, or don't answer, are asked for this long.
constexpr Duration kSurveyTime = seconds(5);
constexpr Duration kRoundInterval = milliseconds(250);
constexpr Duration kTimeout = milliseconds(500);
constexpr int kMaxAttempts = 4;
constexpr std::size_t kMaxOpenQuestions = 64;
// Bounds the processor time of one call: each target is ranked against all
// routers.
constexpr std::size_t kMaxTargetsPerTick = 64;
// Time for the first questions of all routers to be answered, two calls each.
constexpr Duration kAnswerTime = milliseconds(800);
// Bounds the length of a log line.
constexpr std::size_t kMaxLoggedRequests = 32;
constexpr char kAnswered[] = "answered";

}  // namespace

std::set<std::string> TargetSurvey::ResumableServices(
    const Configuration& configuration) {
  std::set<std::string> services;
  for (const auto& route : configuration.routes()) {
    if (route->kind == RequestKind::kStreaming && route->is_resumable) {
      for (const TrafficShare& it : route->split) {
        services.insert(it.service);
      }
    }
  }
  return services;
}

void TargetSurvey::Tick(TimePoint now, const Configuration& configuration,
                        const TargetTable& targets) {
  if (!first_tick_at_) {
    first_tick_at_ = now;
    next_round_at_ = now + kPeerDiscoveryTime;
  }
  if (now < next_round_at_ || now - *first_tick_at_ > kSurveyTime ||
      !directory_.NeedsTargets(now)) {
    return;
  }
  if (!has_begun_) {
    has_begun_ = true;
    directory_.SetHeldPartsReadyAt(now + kAnswerTime);
  }
  const std::set<std::string> services = ResumableServices(configuration);
  std::size_t count = 0;
  auto it = targets.targets().lower_bound(next_target_);
  for (std::size_t i = 0; i < kMaxTargetsPerTick; ++i, ++it) {
    if (it == targets.targets().end()) {
      next_target_.clear();
      next_round_at_ = now + kRoundInterval;
      break;
    }
    next_target_ = it->first + '\0';
    const TargetEntry& entry = it->second.entry;
    if (services.contains(entry.service) && IsDue(entry) &&
        directory_.IsAsker(now, entry.id)) {
      Question& question = questions_[entry.id];
      ++question.attempts;
      question.is_open = true;
      ++open_count_;
      ++count;
      AskForRuns(entry);
    }
  }
  if (count > 0) {
    Log(LogLevel::kInfo, "asking targets which streams they run",
        {{"targets", count}});
  }
}

bool TargetSurvey::IsDue(const TargetEntry& entry) {
  const auto it = questions_.find(entry.id);
  if (it == questions_.end() || it->second.incarnation != entry.incarnation) {
    questions_[entry.id] = {.incarnation = entry.incarnation};
    return open_count_ < kMaxOpenQuestions;
  }
  const Question& question = it->second;
  return !question.is_open && !question.is_answered &&
         question.attempts < kMaxAttempts && open_count_ < kMaxOpenQuestions;
}

void TargetSurvey::AskForRuns(const TargetEntry& entry) {
  fetcher_.Get(
      entry.address, deployment_.target_runs_path(),
      {kTimeout, kTimeout, kTimeout}, [this, entry](const FetchResult& result) {
        if (result.status != 200) {
          EndQuestion(entry, result, "no_answer");
          return;
        }
        const auto runs = deployment_.DecodeTargetRuns(result.body);
        if (!runs.ok()) {
          EndQuestion(entry, result, "malformed");
          return;
        }
        if (runs->incarnation != entry.incarnation) {
          // Another run of the target may have another version than its entry.
          EndQuestion(entry, result, "restarted");
          return;
        }
        directory_.RecordRuns(entry, runs->begun_streams);
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
        AskForHeldParts(entry);
      });
}

void TargetSurvey::AskForHeldParts(const TargetEntry& entry) {
  fetcher_.Get(
      entry.address, deployment_.held_parts_path(),
      {kTimeout, kTimeout, kTimeout}, [this, entry](const FetchResult& result) {
        if (result.status != 200) {
          EndQuestion(entry, result, "no_held_parts");
          return;
        }
        const auto parts = deployment_.DecodeHeldParts(result.body);
        if (!parts.ok()) {
          EndQuestion(entry, result, "malformed_held_parts");
          return;
        }
        directory_.RecordHeldParts(entry, *parts);
        Log(LogLevel::kInfo, "target reports the prompt parts that it holds",
            {{"target", entry.id},
             {"version", entry.version},
             {"parts", parts->size()},
             {"bytes", result.body.size()}});
        EndQuestion(entry, result, kAnswered);
      });
}

void TargetSurvey::EndQuestion(const TargetEntry& entry,
                               const FetchResult& result,
                               const std::string& verdict) {
  metrics_.IncrementCounter("corianderpost_target_surveys_total",
                            "verdict=\"" + verdict + "\"");
  --open_count_;
  Question& question = questions_[entry.id];
  if (question.incarnation == entry.incarnation) {
    question.is_open = false;
    question.is_answered = verdict == kAnswered;
  }
  if (verdict != kAnswered) {
    Log(LogLevel::kWarning, "target did not report the streams that it runs",
        {{"target", entry.id},
         {"version", entry.version},
         {"verdict", verdict},
         {"status", result.status},
         {"after_ms", (result.ended_at - result.called_at) / milliseconds(1)}});
  }
}

}  // namespace corianderpost
