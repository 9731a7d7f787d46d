// What an engine can tell of the requests that it runs and of the prompt parts
// that it holds.
#ifndef CORIANDERPOST_TESTS_FLEET_ENGINE_MEMORY_H_
#define CORIANDERPOST_TESTS_FLEET_ENGINE_MEMORY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "model/request.h"

namespace corianderpost::soak {

// Not thread-safe.
class EngineMemory {
 public:
  // Records that the prompt of a request was read.
  void Read(const RequestMeta& request);
  // Records that an event of the request was made.
  void Generate(const RequestMeta& request);
  // Records that the request has ended; its parts stay.
  void EndRun(const RequestMeta& request) { events_.erase(request.request_id); }
  // Forgets everything, as at a restart.
  void Clear();
  // Responses to the routers' questions.
  std::string FormatRuns(std::int64_t incarnation) const;
  std::string FormatHeldParts() const;

 private:
  // By request id, of those that run.
  std::map<std::string, int> events_;
  // Tokens by part, the least recently used one first.
  std::vector<PromptPart> parts_;
};

}  // namespace corianderpost::soak

#endif  // CORIANDERPOST_TESTS_FLEET_ENGINE_MEMORY_H_
