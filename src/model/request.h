// Metadata of requests and responses, independent of header names.
#ifndef CORIANDERPOST_MODEL_REQUEST_H_
#define CORIANDERPOST_MODEL_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "corianderpost/clock.h"

namespace corianderpost {

// A part of a prompt. An engine has a part cached only if it has all preceding
// parts of the prompt cached too.
struct PromptPart {
  std::uint64_t id = 0;
  std::int64_t tokens = 0;
  friend bool operator==(const PromptPart&, const PromptPart&) = default;
};

// Metadata from a request's headers.
struct RequestMeta {
  std::string request_id;
  std::string host;
  // API key without the authorization scheme; empty if none was sent.
  std::string api_key;
  // Time that the caller waits for the response, counted from sending the
  // request; absent if the caller states none.
  std::optional<Duration> caller_timeout;
  // Id of the last event that the caller received, if it resumes a stream;
  // otherwise empty.
  std::string last_event_id;
  // If the caller resumes a stream, the id of its request that received the
  // first event; empty if it states none or an invalid one.
  std::string resumed_request_id;
  std::string model;
  std::int64_t prompt_tokens = 0;
  std::int64_t max_output_tokens = 0;
  // The caller's estimate of the output, in tokens; absent if it states none or
  // an invalid one.
  std::optional<std::int64_t> output_hint;
  // Parts in order. The last one is specific to the request or its session; the
  // others may be shared with other requests.
  std::vector<PromptPart> prompt;
  friend bool operator==(const RequestMeta&, const RequestMeta&) = default;
};

// Metadata from a response's headers.
struct ResponseMeta {
  // Id of the request that the response belongs to; empty if absent.
  std::string request_id;
  // The target did not execute the request.
  bool is_not_executed = false;
  // The response carries the target's signature.
  bool is_signed = false;
  // The body has a content coding (other than identity). Targets never apply
  // one.
  bool has_content_coding = false;
  // Idle time after which the target closes the connection; absent if not
  // stated.
  std::optional<Duration> keep_alive;
  // Requests per second that the target takes from all routers together; absent
  // if it names no limit.
  std::optional<double> rate_limit;
  // The response names a limit that is not a plausible number.
  bool has_malformed_rate_limit = false;
  // For how long the target wants no further requests from this router; absent
  // if it names no time.
  std::optional<Duration> retry_after;
  // The response names a time that is malformed, implausible or repeated.
  bool has_malformed_retry_after = false;
  // The target says that it leaves.
  bool is_leaving = false;
  // The response has a malformed or repeated header about leaving.
  bool has_malformed_leaving = false;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_MODEL_REQUEST_H_
