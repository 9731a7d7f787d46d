#include "fleet/engine_memory.h"

#include <algorithm>

#include "platform/standin_wire.h"

namespace corianderpost::soak {
namespace {

constexpr std::size_t kMaxParts = 400;
constexpr std::int64_t kTokensPerEvent = 6;

}  // namespace

void EngineMemory::Read(const RequestMeta& request) {
  for (const PromptPart& it : request.prompt) {
    const auto known =
        std::find_if(parts_.begin(), parts_.end(),
                     [&](const PromptPart& part) { return part.id == it.id; });
    PromptPart part = it;
    if (known != parts_.end()) {
      part.tokens = std::max(part.tokens, known->tokens);
      parts_.erase(known);
    }
    parts_.push_back(part);
  }
  if (parts_.size() > kMaxParts) {
    parts_.erase(parts_.begin());
  }
}

void EngineMemory::Generate(const RequestMeta& request) {
  ++events_[request.request_id];
  if (request.prompt.empty()) {
    return;
  }
  const auto part = std::find_if(
      parts_.begin(), parts_.end(),
      [&](const PromptPart& it) { return it.id == request.prompt.back().id; });
  if (part != parts_.end()) {
    part->tokens += kTokensPerEvent;
  }
}

void EngineMemory::Clear() {
  events_.clear();
  parts_.clear();
}

std::string EngineMemory::FormatRuns(std::int64_t incarnation) const {
  std::vector<platform::StandinRun> runs;
  for (const auto& [id, events] : events_) {
    runs.push_back({id, events});
  }
  return platform::FormatStandinRuns(incarnation, runs);
}

std::string EngineMemory::FormatHeldParts() const {
  return platform::FormatStandinHeldParts(parts_);
}

}  // namespace corianderpost::soak
