// One try of a request on a target, over HTTP.
#ifndef CORIANDERPOST_INTERNAL_UPSTREAM_ATTEMPT_H_
#define CORIANDERPOST_INTERNAL_UPSTREAM_ATTEMPT_H_

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "corianderpost/events.h"
#include "corianderpost/internal/http_util.h"
#include "corianderpost/internal/sse.h"

namespace corianderpost::internal {

// What the attempt sends.
struct UpstreamRequest {
  HostPort address;
  std::string method;
  std::string path;
  httplib::Headers headers;
  std::string body;
};

// Status line and type of a target's answer.
struct AnswerHead {
  int status = 0;
  std::string content_type;
};

struct AnswerPart {
  std::string text;
  std::uint32_t units = 0;
};

// Receives an attempt's output, on the attempt's thread.
class AttemptListener {
 public:
  virtual ~AttemptListener() = default;
  virtual void OnHead(AttemptId attempt, AnswerHead head) = 0;
  virtual void OnPart(AttemptId attempt, AnswerPart part) = 0;
  virtual void OnEnd(AttemptId attempt, AttemptOutcome outcome) = 0;
};

// Runs on a thread of its own; the destructor waits for it. `Cancel` is
// thread-safe.
class UpstreamAttempt {
 public:
  UpstreamAttempt(AttemptId id, UpstreamRequest request,
                  std::shared_ptr<AttemptListener> listener);
  ~UpstreamAttempt();
  UpstreamAttempt(const UpstreamAttempt&) = delete;
  UpstreamAttempt& operator=(const UpstreamAttempt&) = delete;

  void Cancel();

 private:
  void Run();
  bool TakeHead(const httplib::Response& res);
  bool TakeBody(const char* data, std::size_t size);
  AttemptOutcome OutcomeOf(bool is_answered, httplib::Error error) const;

  const AttemptId id_;
  const UpstreamRequest request_;
  const std::shared_ptr<AttemptListener> listener_;
  std::unique_ptr<httplib::Client> client_;
  SseSplitter splitter_;
  std::atomic<bool> is_cancelled_{false};
  bool is_stream_ = false;
  bool was_rejected_ = false;
  std::thread thread_;
};

}  // namespace corianderpost::internal

#endif  // CORIANDERPOST_INTERNAL_UPSTREAM_ATTEMPT_H_
