#include "corianderpost/internal/upstream_attempt.h"

namespace corianderpost::internal {
namespace {

constexpr Duration kConnectTimeout = std::chrono::seconds(1);
// Longest silence of a target before its connection counts as lost.
constexpr Duration kReadTimeout = std::chrono::seconds(30);
// A target that answers with this status did not begin the request.
constexpr int kTooManyRequests = 429;

}  // namespace

UpstreamAttempt::UpstreamAttempt(AttemptId id, UpstreamRequest request,
                                 std::shared_ptr<AttemptListener> listener)
    : id_(id), request_(std::move(request)), listener_(std::move(listener)) {
  client_ = MakeClient(request_.address, kConnectTimeout, kReadTimeout);
  client_->set_keep_alive(false);
  thread_ = std::thread([this] { Run(); });
}

UpstreamAttempt::~UpstreamAttempt() { thread_.join(); }

void UpstreamAttempt::Cancel() {
  is_cancelled_ = true;
  client_->stop();
}

bool UpstreamAttempt::TakeHead(const httplib::Response& res) {
  if (res.status == kTooManyRequests) {
    was_rejected_ = true;
    return false;
  }
  const std::string type = res.get_header_value("Content-Type");
  is_stream_ = type.starts_with("text/event-stream");
  listener_->OnHead(id_, {res.status, type});
  return true;
}

bool UpstreamAttempt::TakeBody(const char* data, std::size_t size) {
  if (is_cancelled_) {
    return false;
  }
  if (!is_stream_) {
    listener_->OnPart(id_, {std::string(data, size), 0});
    return true;
  }
  SseBatch batch = splitter_.Take(std::string_view(data, size));
  if (!batch.text.empty()) {
    listener_->OnPart(id_, {std::move(batch.text), batch.events});
  }
  return true;
}

AttemptOutcome UpstreamAttempt::OutcomeOf(bool is_answered,
                                          httplib::Error error) const {
  if (was_rejected_) {
    return AttemptOutcome::kRejectedByTarget;
  }
  if (is_answered && !is_cancelled_ && (!is_stream_ || splitter_.is_done())) {
    return AttemptOutcome::kCompleted;
  }
  const bool was_sent = error != httplib::Error::Connection &&
                        error != httplib::Error::ConnectionTimeout;
  return was_sent ? AttemptOutcome::kLostAfterSend : AttemptOutcome::kNotSent;
}

void UpstreamAttempt::Run() {
  httplib::Request req;
  req.method = request_.method;
  req.path = request_.path;
  req.headers = request_.headers;
  req.body = request_.body;
  req.response_handler = [this](const httplib::Response& res) {
    return TakeHead(res);
  };
  req.content_receiver = [this](const char* data, std::size_t size,
                                std::uint64_t,
                                std::uint64_t) { return TakeBody(data, size); };
  httplib::Response res;
  httplib::Error error = httplib::Error::Success;
  const bool is_answered = client_->send(req, res, error);
  listener_->OnEnd(id_, OutcomeOf(is_answered, error));
}

}  // namespace corianderpost::internal
