#include "corianderpost/internal/caller_exchange.h"

#include <nlohmann/json.hpp>

namespace corianderpost::internal {
namespace {

using Json = nlohmann::json;

// Progress is charged this often; no finer than routers exchange counters.
constexpr Duration kReportInterval = std::chrono::milliseconds(100);
constexpr Duration kForwardConnectTimeout = std::chrono::seconds(1);
constexpr Duration kForwardReadTimeout = std::chrono::seconds(60);

Json ProblemOf(const Refuse& refusal) {
  const std::string reason(Name(refusal.reason));
  return {{"type", "urn:corianderpost:" + reason},
          {"title", reason},
          {"status", StatusOf(refusal.reason)},
          {"outcome", std::string(Name(refusal.outcome))}};
}

}  // namespace

int StatusOf(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kUnknownService:
      return 404;
    case RefusalReason::kQueueFull:
      return 429;
    case RefusalReason::kKeyRequired:
      return 428;
    case RefusalReason::kKeyInProgress:
    case RefusalReason::kKeyUnknown:
      return 409;
    case RefusalReason::kKeyMismatch:
    case RefusalReason::kQuarantined:
      return 422;
    case RefusalReason::kTargetFailed:
      return 502;
    case RefusalReason::kWaitTooLong:
    case RefusalReason::kNotServing:
    case RefusalReason::kDraining:
    case RefusalReason::kKeyHomeUnreachable:
      break;
  }
  return 503;
}

void WriteProblem(const Refuse& refusal, httplib::Response& res) {
  Json problem = ProblemOf(refusal);
  if (!refusal.issued_key.empty()) {
    problem["idempotency_key"] = refusal.issued_key;
    res.set_header("Idempotency-Key", refusal.issued_key);
  }
  if (refusal.retry_after.count() > 0) {
    const auto wait =
        std::chrono::ceil<std::chrono::seconds>(refusal.retry_after);
    res.set_header("Retry-After", std::to_string(wait.count()));
  }
  res.status = StatusOf(refusal.reason);
  res.set_content(problem.dump() + "\n", "application/problem+json");
}

CallerExchange::CallerExchange(ExchangeRequest request, ExchangeHost& host)
    : request_(std::move(request)),
      host_(host),
      span_("request", request_.trace),
      started_at_(SystemClock().Now()) {
  span_.Add("request", request_.arrived.id);
  span_.Add("customer", request_.customer);
  span_.Add("service", request_.service);
}

CallerExchange::~CallerExchange() = default;

void CallerExchange::Close() {
  inbox_.Close();
  while (const auto message = inbox_.Pop()) {
    if (const auto* it = std::get_if<AddressedDispatch>(&*message)) {
      host_.Post(AttemptEnded{it->dispatch.attempt,
                              AttemptOutcome::kRejectedByTarget});
    }
  }
}

void CallerExchange::Run(httplib::Response& res) {
  res.set_header("traceparent", request_.trace.ToHeader(span_.id()));
  host_.Post(request_.arrived);
  while (state_ == State::kWaiting) {
    TakeNext(res);
  }
  if (state_ == State::kEnded) {
    attempt_.reset();
    return;
  }
  BeginStream(res);
}

void CallerExchange::TakeNext(httplib::Response& res) {
  if (const auto message = inbox_.Pop()) {
    std::visit([&](const auto& it) { Take(it, res); }, *message);
  }
}

void CallerExchange::Take(const AddressedDispatch& it, httplib::Response&) {
  attempt_.reset();
  attempt_span_ = std::make_unique<Span>("attempt", span_.Below());
  attempt_span_->Add("attempt", it.dispatch.attempt);
  attempt_span_->Add("target",
                     it.address.host + ":" + std::to_string(it.address.port));
  if (!has_output_) {
    host_.Observe("corianderpost_queue_seconds",
                  SystemClock().Now() - started_at_);
  }
  UpstreamRequest upstream = request_.upstream;
  upstream.address = it.address;
  upstream.headers.emplace("traceparent",
                           request_.trace.ToHeader(attempt_span_->id()));
  if (it.dispatch.resume_from > 0) {
    upstream.headers.emplace("Resume-From",
                             std::to_string(it.dispatch.resume_from));
  }
  attempt_ = std::make_unique<UpstreamAttempt>(
      it.dispatch.attempt, std::move(upstream), shared_from_this());
}

void CallerExchange::Take(const AddressedForward& it, httplib::Response& res) {
  const Span hop("forward", span_.Below());
  std::unique_ptr<httplib::Client> client;
  httplib::Result answer(nullptr, httplib::Error::Connection);
  if (it.home) {
    client = MakeClient(*it.home, kForwardConnectTimeout, kForwardReadTimeout);
    httplib::Request req;
    req.method = request_.upstream.method;
    req.path = request_.forward_path;
    req.headers = request_.forward_headers;
    req.headers.emplace("traceparent", request_.trace.ToHeader(hop.id()));
    req.body = request_.upstream.body;
    answer = client->send(req);
  }
  state_ = State::kEnded;
  if (!answer) {
    // The home may have run the key before it became unreachable.
    WriteProblem({request_.arrived.id, RefusalReason::kKeyHomeUnreachable,
                  RefusalOutcome::kUnknown, std::chrono::seconds(2), ""},
                 res);
    return;
  }
  res.status = answer->status;
  for (const char* name : {"Retry-After", "Idempotency-Key"}) {
    if (answer->has_header(name)) {
      res.set_header(name, answer->get_header_value(name));
    }
  }
  res.set_content(answer->body, answer->get_header_value("Content-Type"));
}

void CallerExchange::Take(const Refuse& it, httplib::Response& res) {
  host_.Count("corianderpost_refusals_total",
              "reason=\"" + std::string(Name(it.reason)) + "\",outcome=\"" +
                  std::string(Name(it.outcome)) + "\"");
  span_.Add("refused", std::string(Name(it.reason)));
  was_refused_ = true;
  state_ = State::kEnded;
  if (is_streaming_) {
    refusal_text_ = "event: error\ndata: " + ProblemOf(it).dump() + "\n\n";
    return;
  }
  head_.reset();
  WriteProblem(it, res);
}

void CallerExchange::Take(const Complete&, httplib::Response& res) {
  host_.Count("corianderpost_completed_total",
              "service=\"" + request_.service + "\"");
  state_ = State::kEnded;
  if (!request_.arrived.idempotent) {
    host_.Store(request_.arrived.id, {*head_, body_});
  }
  if (!is_streaming_ && head_) {
    res.status = head_->status;
    res.set_content(body_, head_->content_type);
  }
}

void CallerExchange::Take(const std::shared_ptr<const StoredAnswer>& it,
                          httplib::Response& res) {
  state_ = State::kEnded;
  res.status = it->head.status;
  res.set_content(it->body, it->head.content_type);
}

void CallerExchange::Take(const AnswerHead& it, httplib::Response&) {
  // A resumed stream goes on under the first head; any other answer begins
  // anew.
  const bool is_resumed = has_output_ && head_ &&
                          head_->content_type.starts_with("text/event-stream");
  if (is_resumed) {
    return;
  }
  head_ = it;
  body_.clear();
}

void CallerExchange::Take(const AnswerPart& it, httplib::Response&) {
  if (!has_output_) {
    host_.Observe("corianderpost_first_output_seconds",
                  SystemClock().Now() - started_at_);
  }
  has_output_ = true;
  body_ += it.text;
  const bool can_stream = request_.is_stream && head_ && head_->status == 200;
  if (can_stream && state_ == State::kWaiting) {
    state_ = State::kAnswering;
  }
}

void CallerExchange::Take(const CancelAttempt&, httplib::Response&) {
  if (attempt_) {
    attempt_->Cancel();
  }
}

void CallerExchange::BeginStream(httplib::Response& res) {
  is_streaming_ = true;
  res.status = head_->status;
  res.set_chunked_content_provider(
      head_->content_type,
      [self = shared_from_this()](std::size_t, httplib::DataSink& sink) {
        return self->WriteStream(sink);
      },
      [self = shared_from_this()](bool is_whole) {
        if (!is_whole) {
          self->Abandon();
        }
        self->attempt_.reset();
        if (self->on_close_) {
          self->on_close_(*self);
        }
      });
}

bool CallerExchange::WriteStream(httplib::DataSink& sink) {
  httplib::Response unused;
  while (body_.empty() && state_ == State::kAnswering) {
    TakeNext(unused);
  }
  if (!body_.empty()) {
    const std::string text = std::exchange(body_, {});
    return sink.write(text.data(), text.size());
  }
  if (was_refused_) {
    // Without the closing chunk no client takes the answer for whole.
    sink.write(refusal_text_.data(), refusal_text_.size());
    return false;
  }
  sink.done();
  return true;
}

void CallerExchange::Abandon() {
  if (state_ == State::kEnded) {
    return;
  }
  host_.Post(RequestAbandoned{request_.arrived.id});
  if (attempt_) {
    attempt_->Cancel();
  }
  state_ = State::kEnded;
}

void CallerExchange::OnHead(AttemptId, AnswerHead head) {
  inbox_.Push(std::move(head));
}

void CallerExchange::OnPart(AttemptId attempt, AnswerPart part) {
  unreported_units_ += part.units;
  inbox_.Push(std::move(part));
  const TimePoint now = SystemClock().Now();
  if (now - reported_at_ >= kReportInterval) {
    reported_at_ = now;
    ReportProgress(attempt);
  }
}

void CallerExchange::ReportProgress(AttemptId attempt) {
  if (unreported_units_ > 0) {
    host_.Post(AttemptProgress{attempt, std::exchange(unreported_units_, 0)});
  }
}

void CallerExchange::OnEnd(AttemptId attempt, AttemptOutcome outcome) {
  ReportProgress(attempt);
  host_.Post(AttemptEnded{attempt, outcome});
}

}  // namespace corianderpost::internal
