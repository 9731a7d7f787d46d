// One caller's request, from its arrival to the end of its answer.
//
// Runs on the HTTP server's thread of that caller. It owns the attempts on
// targets, and gets the core's decisions and the attempts' output as messages.
#ifndef CORIANDERPOST_INTERNAL_CALLER_EXCHANGE_H_
#define CORIANDERPOST_INTERNAL_CALLER_EXCHANGE_H_

#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "corianderpost/internal/json_log.h"
#include "corianderpost/internal/mailbox.h"
#include "corianderpost/internal/upstream_attempt.h"

namespace corianderpost::internal {

// A whole answer that is kept for callers who send a keyed request again.
struct StoredAnswer {
  AnswerHead head;
  std::string body;
};

// What an exchange is told. `Dispatch` comes with the target's address.
struct AddressedDispatch {
  Dispatch dispatch;
  HostPort address;
};
struct AddressedForward {
  // Nothing if the list does not know the home.
  std::optional<HostPort> home;
};
using ExchangeMessage =
    std::variant<AddressedDispatch, AddressedForward, Refuse, Complete,
                 std::shared_ptr<const StoredAnswer>, AnswerHead, AnswerPart,
                 CancelAttempt>;

// What an exchange needs of the router.
class ExchangeHost {
 public:
  virtual ~ExchangeHost() = default;
  virtual void Post(Event event) = 0;
  // Keeps the answer of a keyed request.
  virtual void Store(RequestId request, StoredAnswer answer) = 0;
  virtual void Count(const std::string& name, const std::string& labels) = 0;
  virtual void Observe(const std::string& name, Duration value) = 0;
};

struct ExchangeRequest {
  RequestArrived arrived;
  std::string customer;
  std::string service;
  bool is_stream = false;
  UpstreamRequest upstream;
  TraceContext trace;
  // Headers for the key's home, if the request goes there.
  httplib::Headers forward_headers;
  std::string forward_path;
};

// Thread-safe as a listener and through `inbox`; the rest belongs to the
// caller's thread.
class CallerExchange : public AttemptListener,
                       public std::enable_shared_from_this<CallerExchange> {
 public:
  CallerExchange(ExchangeRequest request, ExchangeHost& host);
  ~CallerExchange() override;

  Mailbox<ExchangeMessage>& inbox() { return inbox_; }

  // Announces the request and waits until the answer can begin; fills `res`.
  void Run(httplib::Response& res);

  // True if the answer goes on after `Run`.
  bool IsStreaming() const { return is_streaming_; }
  // Sets what is called when a streamed answer has ended. Called on the
  // caller's thread, before the stream's first piece.
  void OnClose(std::function<void(CallerExchange&)> on_close) {
    on_close_ = std::move(on_close);
  }

  // Takes no more messages, and answers dispatches that came too late.
  void Close();

  void OnHead(AttemptId attempt, AnswerHead head) override;
  void OnPart(AttemptId attempt, AnswerPart part) override;
  void OnEnd(AttemptId attempt, AttemptOutcome outcome) override;

 private:
  enum class State { kWaiting, kAnswering, kEnded };

  void Take(const AddressedDispatch& it, httplib::Response& res);
  void Take(const AddressedForward& it, httplib::Response& res);
  void Take(const Refuse& it, httplib::Response& res);
  void Take(const Complete& it, httplib::Response& res);
  void Take(const std::shared_ptr<const StoredAnswer>& it,
            httplib::Response& res);
  void Take(const AnswerHead& it, httplib::Response& res);
  void Take(const AnswerPart& it, httplib::Response& res);
  void Take(const CancelAttempt& it, httplib::Response& res);
  void TakeNext(httplib::Response& res);
  void BeginStream(httplib::Response& res);
  // Writes what came since; returns false to cut the caller's connection.
  bool WriteStream(httplib::DataSink& sink);
  void Abandon();
  void ReportProgress(AttemptId attempt);

  const ExchangeRequest request_;
  ExchangeHost& host_;
  Span span_;
  const TimePoint started_at_;
  Mailbox<ExchangeMessage> inbox_;
  // Of the running attempt; belong to its thread.
  std::uint32_t unreported_units_ = 0;
  TimePoint reported_at_;
  std::unique_ptr<UpstreamAttempt> attempt_;
  std::unique_ptr<Span> attempt_span_;
  State state_ = State::kWaiting;
  std::optional<AnswerHead> head_;
  std::string body_;
  bool is_streaming_ = false;
  bool was_refused_ = false;
  bool has_output_ = false;
  std::string refusal_text_;
  std::function<void(CallerExchange&)> on_close_;
};

// Fills a response with a problem document (RFC 7807) for the refusal.
void WriteProblem(const Refuse& refusal, httplib::Response& res);
// The HTTP status of a refusal.
int StatusOf(RefusalReason reason);

}  // namespace corianderpost::internal

#endif  // CORIANDERPOST_INTERNAL_CALLER_EXCHANGE_H_
