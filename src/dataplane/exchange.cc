#include "dataplane/exchange.h"

#include <xxhash.h>

#include <algorithm>

namespace corianderpost {
namespace {

namespace http = boost::beast::http;
using internal::LogField;
using internal::LogLevel;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Time that a caller without a deadline waits.
constexpr Duration kDefaultDeadline = seconds(30);
// The router answers this much before the caller's deadline, so that the
// answer can arrive.
constexpr Duration kDeadlineMargin = milliseconds(20);
// An attempt is given up after this multiple of its predicted time, within
// bounds, if the request may run again.
constexpr int kStallFactor = 4;
constexpr Duration kMinStall = milliseconds(600);
constexpr Duration kMinPlainStall = milliseconds(400);
// A stream with a longer pause than this multiple of its goal has stalled.
constexpr int kGapFactor = 3;
constexpr Duration kMinGapStall = milliseconds(1200);
// Less time than this is not worth another attempt.
constexpr Duration kMinAttempt = milliseconds(60);
// Time for the balancer to send a caller to another router.
constexpr Duration kOverloadRetryAfter = milliseconds(300);
// Output that may wait for a slow caller before the target is paused.
constexpr std::size_t kMaxBuffered = std::size_t{256} * 1024;
// Largest answer that is held until it is whole.
constexpr std::size_t kMaxWholeAnswer = std::size_t{32} * 1024 * 1024;
// Routes whose deadlines are remembered.
constexpr std::size_t kMaxUsualDeadlines = 10'000;

std::int64_t Millis(Duration duration) {
  return std::chrono::duration_cast<milliseconds>(duration).count();
}

// Statuses that promise that the request has not run.
bool PromisesNotRun(unsigned status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

RequestFingerprint FingerprintOf(const HttpRequest& request,
                                 const std::string& customer) {
  const std::uint64_t body =
      XXH64(request.body().data(), request.body().size(), 0);
  const std::uint64_t path =
      XXH64(request.target().data(), request.target().size(), body);
  return XXH64(customer.data(), customer.size(), path);
}

// Picks a service by weight. The same request id picks the same service.
const std::string& PickService(const Route& route, std::uint64_t random) {
  double sum = 0;
  for (const TrafficShare& it : route.split) {
    sum += std::max(0.0, it.weight);
  }
  double left = sum * static_cast<double>(random >> 11) / 9007199254740992.0;
  for (const TrafficShare& it : route.split) {
    left -= std::max(0.0, it.weight);
    if (left < 0 && it.weight > 0) {
      return it.service;
    }
  }
  return route.split.back().service;
}

std::string KeyOf(const Assignment& assignment) { return assignment.target_id; }

}  // namespace

Exchange::Exchange(DataPlane& plane, std::shared_ptr<CallerConnection> caller,
                   ReceivedRequest request)
    : plane_(plane),
      caller_(std::move(caller)),
      request_(std::move(request.message)),
      began_at_(request.began_at),
      configuration_(plane.configuration) {}

Exchange::~Exchange() {
  if (upstream_) {
    upstream_->Abandon();
  }
}

void Exchange::Log(LogLevel level, const char* message,
                   std::vector<LogField> fields) {
  fields.insert(fields.begin(), {"request", meta_.request_id});
  internal::Log(level, message, fields);
}

Duration Exchange::Remaining(TimePoint now) const {
  Duration remaining = deadline_ - (now - began_at_);
  if (timeout_ > Duration(0)) {
    remaining = std::min(remaining, timeout_ - (now - began_at_));
  }
  return remaining;
}

bool Exchange::CloseAfterAnswer() const {
  return plane_.is_draining || plane_.is_busy || plane_.is_overloaded ||
         caller_->wants_close();
}

void Exchange::Start() {
  if (plane_.is_overloaded) {
    // As little work as possible, and no line: overload itself is logged.
    is_quiet_ = true;
    AnswerOwn(503, "this router is overloaded", kOverloadRetryAfter);
    return;
  }
  meta_ = plane_.dialect.DecodeRequest(request_);
  deadline_ = meta_.deadline.value_or(kDefaultDeadline);
  if (!configuration_) {
    AnswerOwn(503, "no configuration yet", seconds(1));
    return;
  }
  const Route* route =
      configuration_->FindRoute(meta_.host, PathOf(ToView(request_.target())));
  if (route == nullptr) {
    AnswerOwn(404, "no route", Duration(0));
    return;
  }
  scheduled_.route = route;
  timeout_ = route->timeout;
  if (configuration_->has_customers()) {
    scheduled_.customer = configuration_->FindCustomerByKey(meta_.api_key);
    if (scheduled_.customer == nullptr && !route->is_public) {
      AnswerOwn(401, "unknown API key", Duration(0));
      return;
    }
  }
  if (deadline_ <= Duration(0)) {
    AnswerOwn(503, "the deadline has passed", Duration(0));
    return;
  }
  const std::string& id = meta_.request_id;
  scheduled_.service = PickService(*route, XXH64(id.data(), id.size(), 1));
  scheduled_.prompt = meta_.prompt;
  scheduled_.prompt_tokens = meta_.prompt_tokens;
  scheduled_.max_output_tokens = meta_.max_output_tokens;
  scheduled_.body_bytes = request_.body().size();
  scheduled_.fingerprint = FingerprintOf(
      request_,
      scheduled_.customer == nullptr ? "" : scheduled_.customer->name);
  body_ = std::make_shared<const std::string>(std::move(request_.body()));
  last_event_id_ = meta_.last_event_id;
  if (plane_.usual_deadline.size() > kMaxUsualDeadlines) {
    plane_.usual_deadline.clear();
  }
  Duration& usual = plane_.usual_deadline[route->name];
  usual = std::max(usual, deadline_);
  scheduled_.waited = usual - deadline_;
  plane_.scheduler.NoteRequest(plane_.clock.Now(), scheduled_);
  if (plane_.is_closed ||
      (plane_.is_closing && route->kind == RequestKind::kStreaming)) {
    AnswerOwn(503, "this router is stopping", milliseconds(1));
    return;
  }
  Dispatch();
}

void Exchange::Dispatch() {
  const TimePoint now = plane_.clock.Now();
  scheduled_.remaining = Remaining(now);
  const Decision decision = plane_.scheduler.Place(now, scheduled_);
  if (const auto* refusal = std::get_if<Refusal>(&decision)) {
    Refuse(*refusal);
    return;
  }
  SendTo(std::get<Assignment>(decision));
}

void Exchange::Refuse(const Refusal& refusal) {
  plane_.metrics.IncrementCounter(
      "corianderpost_refusals_total",
      "reason=\"" + std::string(ToString(refusal.reason)) + "\"");
  predicted_ = refusal.predicted;
  share_level_ = refusal.share_level;
  if (has_begun_) {
    caller_->Cut();
    Finish("cut");
    return;
  }
  if (may_have_run_) {
    AnswerOwn(502, "the target failed", Duration(0));
    return;
  }
  AnswerOwn(503, ToString(refusal.reason), refusal.retry_after);
}

void Exchange::SendTo(const Assignment& assignment) {
  const TimePoint now = plane_.clock.Now();
  assignment_ = assignment;
  predicted_ = assignment.predicted;
  read_tokens_ = assignment.uncached_tokens;
  waiting_tokens_ = assignment.waiting_tokens;
  was_home_ = assignment.is_home;
  scheduled_.tried.push_back(KeyOf(assignment));
  ++attempts_;
  was_sent_ = false;
  progressed_at_ = now;
  answer_kind_ = AnswerKind::kNone;
  answer_body_.clear();
  splitter_ = EventSplitter();
  ForwardedContext context;
  context.remaining = Remaining(now);
  context.target_id = assignment.target_id;
  if (scheduled_.customer != nullptr) {
    context.customer = scheduled_.customer->name;
  }
  if (last_event_id_ != meta_.last_event_id) {
    context.last_event_id = last_event_id_;
  }
  upstream_ =
      plane_.pool.Acquire(assignment.address, scheduled_.route->MayRepeat());
  upstream_->Send(
      FormatForwardedHead(request_, body_->size(), plane_.dialect, context),
      body_, request_.method() == http::verb::head, meta_.request_id,
      plane_.dialect, this);
}

void Exchange::OnSent() {
  was_sent_ = true;
  progressed_at_ = plane_.clock.Now();
}

void Exchange::EndAttempt(AttemptOutcome outcome) {
  if (upstream_) {
    upstream_->Abandon();
    upstream_.reset();
  }
  if (assignment_) {
    plane_.scheduler.Finish(plane_.clock.Now(), *assignment_, outcome);
    if (outcome == AttemptOutcome::kConnectFailed && plane_.on_unreachable) {
      plane_.on_unreachable(assignment_->target_id);
    }
    assignment_.reset();
  }
}

void Exchange::OnHead(const HttpResponseHeader& head) {
  progressed_at_ = plane_.clock.Now();
  const AnswerMeta meta = plane_.dialect.DecodeAnswer(head);
  const unsigned status = head.result_int();
  answer_head_ = head;
  if (meta.is_not_run || status == 421) {
    answer_kind_ = AnswerKind::kRejected;
    return;
  }
  const bool is_success = status >= 200 && status < 300;
  if ((is_success && (!meta.is_signed || meta.is_encoded)) ||
      (has_begun_ && !is_success) || PromisesNotRun(status)) {
    answer_kind_ = AnswerKind::kUnusable;
    return;
  }
  const auto type = head.find(http::field::content_type);
  const bool is_events =
      type != head.end() &&
      ToLower(ToView(type->value())).starts_with("text/event-stream");
  if (is_success && is_events &&
      scheduled_.route->kind == RequestKind::kStreaming) {
    answer_kind_ = AnswerKind::kStream;
    return;
  }
  answer_kind_ = has_begun_ ? AnswerKind::kUnusable : AnswerKind::kWhole;
  plane_.scheduler.NoteFirstEvent(progressed_at_, *assignment_);
}

void Exchange::OnBody(std::string_view piece) {
  progressed_at_ = plane_.clock.Now();
  if (answer_kind_ == AnswerKind::kWhole) {
    answer_body_.append(piece);
    if (answer_body_.size() > kMaxWholeAnswer) {
      EndAttempt(AttemptOutcome::kBroken);
      may_have_run_ = true;
      AnswerOwn(502, "the target's answer is too large", Duration(0));
    }
    return;
  }
  if (answer_kind_ != AnswerKind::kStream) {
    return;
  }
  for (const StreamEvent& it : splitter_.Take(piece)) {
    HandleEvent(it);
    if (is_done_ || answer_kind_ != AnswerKind::kStream) {
      return;
    }
  }
  if (splitter_.rest_size() > kMaxBuffered) {
    EndAttempt(AttemptOutcome::kBroken);
    RetryOrFail(true, "an event without an end");
    return;
  }
  if (upstream_ && caller_->buffered() > kMaxBuffered) {
    upstream_->SetPaused(true);
  }
}

void Exchange::HandleEvent(const StreamEvent& event) {
  const auto number = EventNumber(event.id);
  const auto last = EventNumber(last_event_id_);
  if (number && last) {
    if (*number != *last + 1) {
      Log(LogLevel::kWarning, "stream has a gap or repeats an event",
          {{"target", assignment_->target_id},
           {"expected", *last + 1},
           {"got", *number}});
      EndAttempt(AttemptOutcome::kBroken);
      RetryOrFail(true, "wrong event");
      return;
    }
  }
  plane_.scheduler.NoteFirstEvent(progressed_at_, *assignment_);
  std::string out;
  if (!has_begun_) {
    has_begun_ = true;
    first_event_ = progressed_at_ - began_at_;
    caller_->BeginStream();
    status_ = static_cast<int>(answer_head_->result_int());
    out = FormatAnswerHead(*answer_head_, Framing::kChunked, 0,
                           CloseAfterAnswer());
    plane_.metrics.Observe("corianderpost_first_event_seconds", first_event_);
  }
  out.append(FormatChunk(event.text));
  if (!event.id.empty()) {
    last_event_id_ = event.id;
  }
  ++events_;
  caller_->Write(std::move(out));
}

void Exchange::OnDone(bool is_framed) {
  upstream_.reset();
  progressed_at_ = plane_.clock.Now();
  const unsigned status = answer_head_ ? answer_head_->result_int() : 0;
  switch (answer_kind_) {
    case AnswerKind::kRejected:
      EndAttempt(status == 421 ? AttemptOutcome::kMisdirected
                               : AttemptOutcome::kRejected);
      RetryOrFail(false, "the target did not run the request");
      return;
    case AnswerKind::kNone:
    case AnswerKind::kUnusable:
      EndAttempt(AttemptOutcome::kServerError);
      RetryOrFail(true, "the target's answer can't be used");
      return;
    case AnswerKind::kStream:
      if (splitter_.HasRest() || !has_begun_) {
        EndAttempt(AttemptOutcome::kBroken);
        RetryOrFail(true, "the stream ended within an event");
        return;
      }
      if (!is_framed) {
        Log(LogLevel::kDebug, "stream ended with its connection", {});
      }
      EndAttempt(AttemptOutcome::kCompleted);
      plane_.scheduler.suspects().Clear(progressed_at_, scheduled_.fingerprint);
      caller_->Write(std::string(kLastChunk));
      FinishCaller();
      Finish("served");
      return;
    case AnswerKind::kWhole:
      break;
  }
  const bool is_error = status >= 500;
  EndAttempt(is_error ? AttemptOutcome::kServerError
                      : AttemptOutcome::kCompleted);
  if (is_error && scheduled_.route->kind == RequestKind::kIdempotent &&
      attempts_ < scheduled_.route->max_attempts) {
    const TimePoint now = plane_.clock.Now();
    scheduled_.remaining = Remaining(now);
    if (scheduled_.remaining > kMinAttempt) {
      const Decision decision = plane_.scheduler.Place(now, scheduled_);
      if (const auto* next = std::get_if<Assignment>(&decision)) {
        may_have_run_ = true;
        SendTo(*next);
        return;
      }
    }
  }
  plane_.scheduler.suspects().Clear(progressed_at_, scheduled_.fingerprint);
  status_ = static_cast<int>(status);
  const bool is_head = request_.method() == http::verb::head;
  caller_->Write(FormatAnswerHead(*answer_head_,
                                  is_head || status == 204 || status == 304
                                      ? Framing::kNone
                                      : Framing::kLength,
                                  answer_body_.size(), CloseAfterAnswer()));
  if (!answer_body_.empty()) {
    caller_->Write(std::move(answer_body_));
  }
  FinishCaller();
  Finish(is_error ? "failed_by_target" : "served");
}

void Exchange::BlameForCrash() {
  if (!assignment_) {
    return;
  }
  const std::string& id = assignment_->target_id;
  const std::uint64_t crash =
      XXH64(id.data(), id.size(),
            static_cast<std::uint64_t>(assignment_->incarnation));
  const CrashReport report{scheduled_.fingerprint, crash};
  if (plane_.scheduler.suspects().Blame(plane_.clock.Now(), report) &&
      plane_.on_crash) {
    plane_.on_crash(report);
  }
}

void Exchange::OnFailed(UpstreamFailure failure) {
  upstream_.reset();
  AttemptOutcome outcome = AttemptOutcome::kBroken;
  const char* cause = "the connection broke";
  bool may_have_run = true;
  switch (failure) {
    case UpstreamFailure::kNotSent:
      outcome = AttemptOutcome::kConnectFailed;
      cause = "no connection to the target";
      may_have_run = false;
      break;
    case UpstreamFailure::kStaleConnection:
      outcome = AttemptOutcome::kCancelled;
      cause = "a kept connection broke";
      break;
    case UpstreamFailure::kBroken:
      BlameForCrash();
      break;
  }
  Log(LogLevel::kWarning, "attempt failed",
      {{"target", assignment_ ? assignment_->target_id : ""},
       {"cause", cause},
       {"after_ms",
        assignment_ ? Millis(plane_.clock.Now() - assignment_->sent_at) : 0},
       {"events", events_}});
  EndAttempt(outcome);
  RetryOrFail(may_have_run, cause);
}

void Exchange::RetryOrFail(bool may_have_run, const char* cause) {
  may_have_run_ = may_have_run_ || may_have_run;
  const TimePoint now = plane_.clock.Now();
  const bool may_run_again = !may_have_run_ || scheduled_.route->MayRepeat();
  const bool has_attempts =
      attempts_ < scheduled_.route->max_attempts || !was_sent_;
  if (may_run_again && has_attempts && Remaining(now) > kMinAttempt) {
    if (!was_sent_) {
      // A target that got nothing is no attempt, but is not tried again.
      --attempts_;
    }
    Dispatch();
    return;
  }
  if (has_begun_) {
    caller_->Cut();
    Finish("cut");
    return;
  }
  if (may_have_run_) {
    AnswerOwn(502, cause, Duration(0));
  } else {
    AnswerOwn(503, cause, milliseconds(100));
  }
}

void Exchange::AnswerOwn(int status, std::string_view reason,
                         Duration retry_after) {
  status_ = status;
  retry_after_ = retry_after;
  OwnAnswer answer;
  answer.status = status;
  answer.reason = std::string(reason);
  answer.retry_after = retry_after;
  caller_->Write(FormatOwnAnswer(answer, CloseAfterAnswer(),
                                 request_.method() == http::verb::head));
  FinishCaller();
  Finish(reason);
}

void Exchange::FinishCaller() { caller_->FinishAnswer(CloseAfterAnswer()); }

void Exchange::Finish(std::string_view outcome) {
  if (is_done_) {
    return;
  }
  is_done_ = true;
  const Duration took = plane_.clock.Now() - began_at_;
  plane_.metrics.IncrementCounter("corianderpost_requests_total",
                                  "status=\"" + std::to_string(status_) + "\"");
  plane_.metrics.Observe("corianderpost_request_seconds", took);
  const LogLevel level =
      status_ >= 200 && status_ < 300 ? LogLevel::kInfo : LogLevel::kWarning;
  if (is_quiet_ || !internal::ShouldLog(level)) {
    return;
  }
  Log(level, "request ended",
      {{"outcome", outcome},
       {"status", status_},
       {"route", scheduled_.route == nullptr ? "" : scheduled_.route->name},
       {"customer",
        scheduled_.customer == nullptr ? "" : scheduled_.customer->name},
       {"targets", scheduled_.tried},
       {"events", events_},
       {"took_ms", Millis(took)},
       {"deadline_ms", Millis(deadline_)},
       {"predicted_ms", Millis(predicted_)},
       {"first_event_ms", Millis(first_event_)},
       {"read_tokens", static_cast<std::int64_t>(read_tokens_)},
       {"waiting_tokens", static_cast<std::int64_t>(waiting_tokens_)},
       {"at_home", was_home_},
       {"retry_after_ms", Millis(retry_after_)},
       {"share_level", static_cast<std::int64_t>(share_level_)},
       {"units", static_cast<std::int64_t>(Scheduler::UnitsOf(scheduled_))},
       {"list_age_ms", Millis(plane_.clock.Now() - plane_.list_read_at)},
       {"configuration", configuration_ ? configuration_->version() : 0}});
}

void Exchange::HandleCallerGone() {
  if (is_done_) {
    return;
  }
  EndAttempt(AttemptOutcome::kCancelled);
  Finish("caller_left");
}

void Exchange::HandleCallerDrained() {
  if (upstream_) {
    upstream_->SetPaused(false);
  }
}

void Exchange::CutForShutdown() {
  if (is_done_) {
    return;
  }
  EndAttempt(AttemptOutcome::kCancelled);
  if (has_begun_ || was_sent_) {
    caller_->Cut();
    Finish("cut_for_shutdown");
    return;
  }
  AnswerOwn(503, "this router is stopping", milliseconds(1));
}

Duration Exchange::StallLimit() const {
  const Route& route = *scheduled_.route;
  if (has_begun_ || (assignment_ && assignment_->has_first_event)) {
    return std::max(kMinGapStall, kGapFactor * route.gap_goal);
  }
  const bool is_plain = route.kind != RequestKind::kStreaming;
  return std::max(
      is_plain ? kMinPlainStall : kMinStall,
      kStallFactor * (assignment_ ? assignment_->predicted : Duration(0)));
}

void Exchange::Tick(TimePoint now) {
  if (is_done_) {
    return;
  }
  const Duration waited = now - began_at_;
  const bool is_timed_out = timeout_ > Duration(0) && waited >= timeout_;
  if (is_timed_out || waited >= deadline_ - kDeadlineMargin) {
    const bool had_sent = was_sent_ || may_have_run_;
    Log(LogLevel::kWarning, "request ran out of time",
        {{"target", assignment_ ? assignment_->target_id : ""},
         {"timeout", is_timed_out},
         {"events", events_}});
    EndAttempt(events_ == 0 && attempts_ > 0 ? AttemptOutcome::kStalled
                                             : AttemptOutcome::kCancelled);
    if (has_begun_) {
      caller_->Cut();
      Finish("cut_at_deadline");
    } else {
      AnswerOwn(had_sent ? 504 : 503, "the request ran out of time",
                Duration(0));
    }
    return;
  }
  if (!assignment_ || now - progressed_at_ < StallLimit()) {
    return;
  }
  const Route& route = *scheduled_.route;
  if (!route.MayRepeat() || attempts_ >= route.max_attempts) {
    return;
  }
  Log(LogLevel::kWarning, "attempt stalled",
      {{"target", assignment_->target_id},
       {"predicted_ms", Millis(assignment_->predicted)},
       {"events", events_}});
  EndAttempt(AttemptOutcome::kStalled);
  RetryOrFail(true, "the target stalled");
}

}  // namespace corianderpost
