// A caller's request as the router understands it, free of wire names.
#ifndef CORIANDERPOST_MODEL_REQUEST_H_
#define CORIANDERPOST_MODEL_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "corianderpost/clock.h"

namespace corianderpost {

// A part of a prompt; engines keep parts whose predecessors they keep too.
struct PromptPart {
  std::uint64_t id = 0;
  std::int64_t tokens = 0;
  friend bool operator==(const PromptPart&, const PromptPart&) = default;
};

// What a request's headers say beyond method, path and body.
struct RequestMeta {
  std::string request_id;
  std::string host;
  // Key without its scheme; empty if none was sent.
  std::string api_key;
  // How long the caller waits, from its send.
  std::optional<Duration> caller_timeout;
  // Id of the last event that the caller has, if it resumes a stream.
  std::string last_event_id;
  std::string model;
  std::int64_t prompt_tokens = 0;
  std::int64_t max_output_tokens = 0;
  // The last part belongs to the request itself or its session.
  std::vector<PromptPart> prompt;
  friend bool operator==(const RequestMeta&, const RequestMeta&) = default;
};

// What an answer's headers say beyond its status.
struct ResponseMeta {
  // Id of the request that the answer is for; empty if not told.
  std::string request_id;
  // The target says that it did not run the request.
  bool is_not_executed = false;
  // The answer carries the target's signature.
  bool is_signed = false;
  // The body has a content coding, which no target applies.
  bool has_content_coding = false;
  // Idle time after which the target closes the connection.
  std::optional<Duration> keep_alive;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_MODEL_REQUEST_H_
