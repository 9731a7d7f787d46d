#include "dataplane/exchange.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "absl/strings/str_format.h"
#include "decisions/forwarded_deadline.h"
#include "decisions/stream_records.h"

namespace corianderpost {
namespace {

namespace http = boost::beast::http;
using internal::LogField;
using internal::LogLevel;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Caller timeout of requests that send none.
constexpr Duration kDefaultCallerTimeout = seconds(30);
// The router replies this long before the caller's deadline, so that the reply
// arrives in time.
constexpr Duration kDeadlineMargin = milliseconds(20);
// Before the first event or response head, an attempt has stalled if it makes
// no progress for this multiple of its predicted latency, and at least for the
// minimum of the route's kind. Only requests that are safe to retry are checked
// for stalls.
constexpr int kStallTimeoutFactor = 4;
constexpr Duration kMinStreamStallTimeout = milliseconds(600);
constexpr Duration kMinNonStreamStallTimeout = milliseconds(400);
// After that, and in every attempt that resumes a stream, an attempt has
// stalled if it makes no progress for this multiple of the route's gap goal,
// and at least for the minimum.
constexpr int kGapTimeoutFactor = 3;
constexpr Duration kMinGapTimeout = milliseconds(1200);
// While no other target has room for the request of a stalled attempt, one is
// looked for again after this time.
constexpr Duration kStallRetryInterval = milliseconds(250);
// No retry is started with less time than this left.
constexpr Duration kMinAttemptTime = milliseconds(60);
// Callers retry at other routers, which have headroom unless the load is high
// everywhere.
constexpr Duration kSaturatedRetryAfter = milliseconds(100);
// A stream that can't be resumed has to begin again, which needs no wait.
constexpr Duration kNotResumableRetryAfter = milliseconds(100);
// A resumed stream of a route without a timeout began at most this long ago,
// unless callers are known to wait longer.
constexpr Duration kDefaultMaxStreamAge = seconds(30);
// Reading from the target pauses while more output than this is buffered for a
// slow caller. Also the maximum size of one event.
constexpr std::size_t kMaxBufferedBytes = std::size_t{256} * 1024;
// The same while the memory is short.
constexpr std::size_t kMaxBufferedBytesIfShort = std::size_t{16} * 1024;
// Maximum body size of a response that is buffered until complete. With a
// memory budget, such a response takes at most a quarter of it.
constexpr std::size_t kMaxBufferedResponseBytes = std::size_t{32} * 1024 * 1024;
// Maximum body size of a response that can't be forwarded. Its connection is
// closed above it.
constexpr std::size_t kMaxDiscardedBytes = std::size_t{64} * 1024;
// Maximum size of `max_caller_timeout_by_route`, which is cleared above it:
// otherwise it would keep the names of all routes that were ever configured.
constexpr std::size_t kMaxCallerTimeoutRoutes = 10'000;

std::int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<milliseconds>(duration).count();
}

// Returns whether callers take the status to mean that the request was not
// executed. Such a response from a target is never forwarded. Unless the target
// confirms it (421 needs no confirmation), the request may have been executed.
bool ImpliesNotExecuted(unsigned status) {
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

// Picks a service by weight. `hash` is a hash of the request id, so that the
// same id always selects the same service.
const std::string& PickService(const Route& route, std::uint64_t hash) {
  double total_weight = 0;
  for (const TrafficShare& it : route.split) {
    total_weight += std::max(0.0, it.weight);
  }
  // 2^53 scales the upper 53 bits of the hash to [0, 1).
  double remaining_weight =
      total_weight * static_cast<double>(hash >> 11) / 9007199254740992.0;
  for (const TrafficShare& it : route.split) {
    remaining_weight -= std::max(0.0, it.weight);
    if (remaining_weight < 0 && it.weight > 0) {
      return it.service;
    }
  }
  return route.split.back().service;
}

// Returns the hexadecimal ids of the prompt's shared parts, which are all but
// the last, as callers send them.
std::vector<std::string> SharedPartIds(const std::vector<PromptPart>& prompt) {
  std::vector<std::string> ids;
  for (std::size_t i = 0; i + 1 < prompt.size(); ++i) {
    ids.push_back(absl::StrFormat("%08x", prompt[i].id));
  }
  return ids;
}

// Verdict on a stream for which a target was found.
constexpr std::string_view kPlacedVerdict = "placed";

// Returns the part of the route's requests that goes to `service`, or null if
// none goes there.
const TrafficShare* FindShare(const Route& route, ServiceId service) {
  for (const TrafficShare& it : route.split) {
    if (it.weight > 0 && ServiceId::FromName(it.service) == service) {
      return &it;
    }
  }
  return nullptr;
}

bool HasSeveralServices(const Route& route) {
  return std::count_if(route.split.begin(), route.split.end(),
                       [](const TrafficShare& it) { return it.weight > 0; }) >
         1;
}

// Returns the name of a version for the log, or its id if no target has it;
// empty if it is unknown.
std::string NameOf(TargetTable& targets, const std::string& service,
                   VersionId version) {
  if (!version.is_known()) {
    return "";
  }
  const std::string name = targets.NameOfVersion(service, version);
  return name.empty() ? absl::StrFormat("%016x", version.value()) : name;
}

CustomerId CustomerIdOf(const ScheduledRequest& request) {
  return request.customer == nullptr ? CustomerId() : request.customer->id;
}

std::string TargetIdOf(const Assignment& assignment) {
  return assignment.target_id;
}

}  // namespace

Exchange::Exchange(DataPlane& plane, std::shared_ptr<CallerConnection> caller,
                   ReceivedRequest request)
    : plane_(plane),
      caller_(std::move(caller)),
      request_(std::move(request.message)),
      first_byte_at_(request.first_byte_at),
      configuration_(plane.configuration),
      request_memory_(std::move(request.memory)),
      response_memory_(plane.memory) {}

Exchange::~Exchange() {
  DropResponse();
  if (upstream_) {
    upstream_->Cancel();
  }
}

void Exchange::Log(LogLevel level, const char* message,
                   std::vector<LogField> fields) {
  fields.insert(fields.begin(), {"request", meta_.request_id});
  internal::Log(level, message, fields);
}

Duration Exchange::RemainingTime(TimePoint now) const {
  Duration remaining = caller_timeout_ - (now - first_byte_at_);
  if (route_timeout_ > Duration(0)) {
    remaining = std::min(remaining, route_timeout_ - (now - first_byte_at_));
  }
  return remaining;
}

bool Exchange::DecideClose() {
  announces_close_ = caller_->wants_close() ||
                     (plane_.drain.has_value() && !caller_->HasFurtherInput());
  return announces_close_;
}

void Exchange::Start() {
  if (configuration_) {
    scheduled_.customer = configuration_->FindCustomerByKey(
        plane_.dialect.DecodeApiKey(request_));
  }
  if (!plane_.processor_admission.TryAdmit(plane_.clock.Now(),
                                           CustomerIdOf(scheduled_))) {
    // Rejects the request with as little work as possible. It has no line in
    // the log, and its demand is recorded by the router that gets its retry.
    is_log_suppressed_ = true;
    SendLocalReply(503, "this router is saturated", kSaturatedRetryAfter);
    return;
  }
  meta_ = plane_.dialect.DecodeRequest(request_);
  caller_timeout_ = meta_.caller_timeout.value_or(kDefaultCallerTimeout);
  if (!configuration_) {
    SendLocalReply(503, "no configuration yet", seconds(1));
    return;
  }
  const Route* route =
      configuration_->FindRoute(meta_.host, PathOf(ToView(request_.target())));
  if (route == nullptr) {
    SendLocalReply(404, "no route", Duration(0));
    return;
  }
  scheduled_.route = route;
  route_timeout_ = route->timeout;
  if (configuration_->requires_api_key() && scheduled_.customer == nullptr &&
      !route->is_public) {
    SendLocalReply(401, "unknown API key", Duration(0));
    return;
  }
  if (caller_timeout_ <= Duration(0)) {
    SendLocalReply(503, "the deadline has passed", Duration(0));
    return;
  }
  is_resumption_ = IsResumableStream() && !meta_.last_event_id.empty();
  // A resumed stream belongs to the service that its first request went to.
  scheduled_.service =
      ServiceFor(is_resumption_ && !meta_.resumed_request_id.empty()
                     ? meta_.resumed_request_id
                     : meta_.request_id);
  scheduled_.prompt = meta_.prompt;
  scheduled_.prompt_tokens = meta_.prompt_tokens;
  scheduled_.max_output_tokens = meta_.max_output_tokens;
  scheduled_.output_hint = meta_.output_hint;
  scheduled_.body_bytes = request_.body().size();
  scheduled_.traits =
      TraitsOf(FingerprintOf(request_, scheduled_.customer == nullptr
                                           ? ""
                                           : scheduled_.customer->name),
               scheduled_.prompt);
  body_ = std::make_shared<const std::string>(std::move(request_.body()));
  last_event_id_ = meta_.last_event_id;
  if (plane_.max_caller_timeout_by_route.size() > kMaxCallerTimeoutRoutes) {
    plane_.max_caller_timeout_by_route.clear();
  }
  Duration& max_caller_timeout =
      plane_.max_caller_timeout_by_route[route->name];
  max_caller_timeout = std::max(max_caller_timeout, caller_timeout_);
  scheduled_.elapsed_before_arrival = max_caller_timeout - caller_timeout_;
  plane_.scheduler.RecordRequest(plane_.clock.Now(), scheduled_);
  if (RejectIfStopping()) {
    return;
  }
  if (is_resumption_) {
    FindOrigin();
  } else {
    Dispatch();
  }
}

bool Exchange::RejectIfStopping() {
  const TimePoint now = plane_.clock.Now();
  if (!plane_.drain || plane_.drain->Accepts(now, RemainingTime(now))) {
    return false;
  }
  plane_.metrics.IncrementCounter("corianderpost_refusals_total",
                                  "reason=\"stopping\"");
  SendLocalReply(503,
                 "this router is stopping and the request may not end before",
                 milliseconds(1));
  return true;
}

bool Exchange::IsResumableStream() const {
  return scheduled_.route->kind == RequestKind::kStreaming &&
         scheduled_.route->is_resumable;
}

const std::string& Exchange::ServiceFor(const std::string& request_id) const {
  return PickService(*scheduled_.route,
                     XXH64(request_id.data(), request_id.size(), 1));
}

void Exchange::FindOrigin() {
  const std::string& id = meta_.resumed_request_id;
  if (plane_.stream_directory == nullptr ||
      (id.empty() && HasSeveralServices(*scheduled_.route))) {
    HandleOrigin({});
    return;
  }
  StreamQuery query =
      StreamQuery::Of(CustomerIdOf(scheduled_), id, meta_.prompt,
                      ParseEventNumber(meta_.last_event_id).value_or(1));
  query.service = ServiceId::FromName(scheduled_.service);
  // Timeouts that single callers state must not change the limit for others
  // beyond the time for which streams are remembered.
  query.max_age = std::max(
      caller_timeout_,
      std::min(
          kStreamRetention,
          std::max(
              route_timeout_ > Duration(0) ? route_timeout_
                                           : kDefaultMaxStreamAge,
              plane_.max_caller_timeout_by_route[scheduled_.route->name])));
  awaits_origin_ = true;
  plane_.stream_directory->FindOrigin(
      query, [self = weak_from_this()](const StreamOrigin& origin) {
        const std::shared_ptr<Exchange> exchange = self.lock();
        if (exchange && !exchange->is_done_ &&
            std::exchange(exchange->awaits_origin_, false)) {
          exchange->HandleOrigin(origin);
        }
      });
}

void Exchange::HandleOrigin(const StreamOrigin& origin) {
  origin_ = origin;
  if (RejectIfStopping()) {
    return;
  }
  if (origin.evidence == OriginEvidence::kNone ||
      origin.evidence == OriginEvidence::kConflict ||
      !origin.version.is_known()) {
    SendLocalReply(503, "origin_unknown", kNotResumableRetryAfter);
    return;
  }
  const TrafficShare* share = FindShare(*scheduled_.route, origin.service);
  if (share == nullptr) {
    SendLocalReply(503, "service_gone", kNotResumableRetryAfter);
    return;
  }
  scheduled_.service = share->service;
  scheduled_.required_version = origin.version;
  scheduled_.was_admitted = ShowsBegunRequest(origin.evidence);
  Dispatch();
}

void Exchange::ReportResumption(std::string_view verdict) {
  if (!is_resumption_ || std::exchange(is_resumption_reported_, true)) {
    return;
  }
  const std::string_view evidence =
      origin_ ? ToString(origin_->evidence) : "pending";
  plane_.metrics.IncrementCounter(
      "corianderpost_stream_resumptions_total",
      absl::StrFormat("evidence=\"%s\",verdict=\"%s\"", evidence, verdict));
  const bool is_resumed = verdict == kPlacedVerdict;
  const LogLevel level = is_resumed ? LogLevel::kInfo : LogLevel::kWarning;
  if (!internal::ShouldLog(level)) {
    return;
  }
  const VersionId version = origin_ ? origin_->version : VersionId();
  TargetTable& targets = plane_.scheduler.targets();
  const VersionCounts counts =
      targets.CountVersions(plane_.clock.Now(), scheduled_.service, version);
  Log(level, is_resumed ? "stream resumed" : "stream not resumed",
      {{"resumes", meta_.resumed_request_id},
       {"last_event_id", meta_.last_event_id},
       {"verdict", verdict},
       {"evidence", evidence},
       {"known_for_ms", origin_ ? ToMilliseconds(origin_->age) : 0},
       {"service", scheduled_.service},
       {"version", NameOf(targets, scheduled_.service, version)},
       {"targets_of_version", counts.same},
       {"other_targets", counts.other}});
}

void Exchange::ReportStreamRetry(std::string_view verdict) {
  plane_.metrics.IncrementCounter("corianderpost_stream_retries_total",
                                  absl::StrFormat("verdict=\"%s\"", verdict));
  if (verdict == kPlacedVerdict) {
    return;
  }
  const VersionId version = scheduled_.required_version.value_or(VersionId());
  TargetTable& targets = plane_.scheduler.targets();
  const VersionCounts counts =
      targets.CountVersions(plane_.clock.Now(), scheduled_.service, version);
  Log(LogLevel::kWarning, "stream not continued",
      {{"verdict", verdict},
       {"events", events_forwarded_},
       {"service", scheduled_.service},
       {"version", NameOf(targets, scheduled_.service, version)},
       {"targets_of_version", counts.same},
       {"other_targets", counts.other}});
}

void Exchange::RecordStreamBegun() {
  if (!scheduled_.required_version) {
    TargetTable& targets = plane_.scheduler.targets();
    const bool is_in_doubt = targets.IsVersionInDoubt(assignment_->target_id,
                                                      assignment_->incarnation,
                                                      assignment_->version) ||
                             targets.MayHaveRestartedSince(
                                 assignment_->target_id, assignment_->sent_at);
    scheduled_.required_version =
        is_in_doubt ? VersionId() : assignment_->version;
  }
  if (plane_.stream_directory == nullptr) {
    return;
  }
  BegunStream stream;
  stream.customer = CustomerIdOf(scheduled_);
  stream.key = StreamKey::Of(stream.customer, meta_.request_id);
  stream.service = ServiceId::FromName(scheduled_.service);
  stream.target = TargetId::FromName(assignment_->target_id);
  stream.incarnation = assignment_->incarnation;
  stream.version = *scheduled_.required_version;
  plane_.stream_directory->RecordBegun(stream);
  // The stream may break again. Its caller then names the same request as now,
  // or this one.
  if (is_resumption_ && !meta_.resumed_request_id.empty() &&
      meta_.resumed_request_id != meta_.request_id) {
    stream.key = StreamKey::Of(stream.customer, meta_.resumed_request_id);
    plane_.stream_directory->RecordBegun(stream);
  }
}

bool Exchange::MayContinue() const {
  if (!has_stream_begun_ || !IsResumableStream()) {
    return true;
  }
  const VersionId version = scheduled_.required_version.value_or(VersionId());
  return version.is_known() &&
         std::none_of(stream_writers_.begin(), stream_writers_.end(),
                      [&](const StreamWriter& it) {
                        return plane_.scheduler.targets().IsVersionInDoubt(
                            it.target_id, it.incarnation, version);
                      });
}

Decision Exchange::Place(TimePoint now) {
  scheduled_.remaining = RemainingTime(now);
  scheduled_.waited_for_event =
      now - (has_stream_begun_ ? last_event_at_ : first_byte_at_);
  return plane_.scheduler.Place(now, scheduled_);
}

void Exchange::Dispatch() {
  const Decision decision = Place(plane_.clock.Now());
  const auto* rejection = std::get_if<Rejection>(&decision);
  const std::string_view verdict =
      rejection == nullptr ? kPlacedVerdict : ToString(rejection->reason);
  if (has_stream_begun_) {
    ReportStreamRetry(verdict);
  }
  ReportResumption(verdict);
  if (rejection != nullptr) {
    Reject(*rejection);
    return;
  }
  SendTo(std::get<Assignment>(decision));
}

void Exchange::Reject(const Rejection& rejection) {
  plane_.metrics.IncrementCounter(
      "corianderpost_refusals_total",
      "reason=\"" + std::string(ToString(rejection.reason)) + "\"");
  predicted_latency_ = rejection.predicted;
  share_level_ = rejection.share_level;
  excluded_ = rejection.excluded;
  blamed_ = rejection.blamed;
  if (has_stream_begun_) {
    caller_->Abort();
    Finish("cut");
    return;
  }
  if (may_have_executed_) {
    SendLocalReply(502, "the target failed", Duration(0));
    return;
  }
  // 429 tells the caller that its own customer asks for more than its share;
  // 503 that the fleet lacks capacity.
  SendLocalReply(rejection.reason == RejectionReason::kOverShare ? 429 : 503,
                 ToString(rejection.reason), rejection.retry_after);
}

void Exchange::SendTo(const Assignment& assignment) {
  const TimePoint now = plane_.clock.Now();
  assignment_ = assignment;
  predicted_latency_ = assignment.predicted;
  prefill_tokens_ = assignment.prefill_tokens;
  waiting_tokens_ = assignment.waiting_tokens;
  slot_wait_seconds_ = assignment.slot_wait_seconds;
  predicted_completion_ = assignment.predicted_completion;
  target_output_left_ = assignment.other_streams.output_tokens_left;
  was_home_ = assignment.is_home;
  scheduled_.tried_targets.push_back(TargetIdOf(assignment));
  ++attempts_;
  has_send_started_ = false;
  has_loop_lagged_ = false;
  last_progress_at_ = now;
  response_kind_ = ResponseKind::kNone;
  DropResponse();
  discarded_bytes_ = 0;
  splitter_ = EventSplitter();
  is_resuming_ = has_stream_begun_;
  attempt_events_ = 0;
  stalled_at_.reset();
  ForwardedContext context;
  context.remaining =
      ForwardedTime(plane_.scheduler, assignment, RemainingTime(now));
  context.target_id = assignment.target_id;
  if (scheduled_.customer != nullptr) {
    context.customer = scheduled_.customer->name;
  }
  if (last_event_id_ != meta_.last_event_id) {
    context.last_event_id = last_event_id_;
  }
  upstream_ = plane_.pool.Acquire(assignment.address,
                                  scheduled_.route->IsSafeToRetry());
  upstream_->Send(
      FormatForwardedHead(request_, body_->size(), plane_.dialect, context),
      body_, request_.method() == http::verb::head, meta_.request_id,
      plane_.dialect, this);
}

void Exchange::OnSendStarted() {
  has_send_started_ = true;
  last_progress_at_ = plane_.clock.Now();
}

void Exchange::EndAttempt(AttemptOutcome outcome) {
  if (upstream_) {
    upstream_->Cancel();
    upstream_.reset();
  }
  if (assignment_) {
    const TimePoint now = plane_.clock.Now();
    plane_.scheduler.Finish(now, *assignment_, outcome);
    output_ = assignment_->output;
    attempt_time_ = now - assignment_->sent_at;
    plane_.metrics.IncrementCounter(
        "corianderpost_predicted_output_tokens_total", "",
        static_cast<std::uint64_t>(output_.expected_tokens));
    plane_.metrics.IncrementCounter(
        "corianderpost_output_tokens_total", "",
        static_cast<std::uint64_t>(output_.generated_tokens));
    if (outcome == AttemptOutcome::kConnectFailed && plane_.on_unreachable) {
      plane_.on_unreachable(assignment_->target_id);
    }
    assignment_.reset();
  }
}

void Exchange::OnHead(const HttpResponseHeader& head) {
  last_progress_at_ = plane_.clock.Now();
  const ResponseMeta meta = plane_.dialect.DecodeResponse(head);
  const unsigned status = head.result_int();
  response_head_ = head;
  // 421: the address now belongs to another target, which did not execute the
  // request.
  if (status != 421) {
    RecordRateLimit(meta);
    RecordLeaving(meta);
  }
  if (status == 503) {
    RecordPause(meta);
  }
  if (meta.is_not_executed || status == 421) {
    response_kind_ = ResponseKind::kNotExecuted;
    return;
  }
  const bool is_success = status >= 200 && status < 300;
  if ((is_success && (!meta.is_signed || meta.has_content_coding)) ||
      (has_stream_begun_ && !is_success) || ImpliesNotExecuted(status)) {
    response_kind_ = ResponseKind::kUnusable;
    return;
  }
  const auto content_type = head.find(http::field::content_type);
  const bool is_events =
      content_type != head.end() &&
      ToLower(ToView(content_type->value())).starts_with("text/event-stream");
  if (is_success && is_events &&
      scheduled_.route->kind == RequestKind::kStreaming) {
    response_kind_ = ResponseKind::kStream;
    return;
  }
  response_kind_ =
      has_stream_begun_ ? ResponseKind::kUnusable : ResponseKind::kBuffered;
  plane_.scheduler.RecordFirstEvent(last_progress_at_, *assignment_,
                                    scheduled_);
}

void Exchange::RecordRateLimit(const ResponseMeta& meta) {
  if (meta.has_malformed_rate_limit) {
    plane_.metrics.IncrementCounter("corianderpost_malformed_rate_limits_total",
                                    "");
  }
  TargetState* target = plane_.scheduler.targets().Find(assignment_->target_id);
  if (target == nullptr || !TargetTable::RecordRateLimit(
                               last_progress_at_, *target, meta.rate_limit)) {
    return;
  }
  Log(LogLevel::kInfo,
      meta.rate_limit ? "target named a rate limit"
                      : "target no longer names a rate limit",
      {{"target", assignment_->target_id},
       {"per_second", meta.rate_limit.value_or(0.0)}});
}

void Exchange::CountMalformedHint(const char* hint) {
  plane_.metrics.IncrementCounter("corianderpost_malformed_target_hints_total",
                                  "hint=\"" + std::string(hint) + "\"");
}

void Exchange::RecordPause(const ResponseMeta& meta) {
  if (meta.has_malformed_retry_after) {
    CountMalformedHint("retry_after");
  }
  TargetState* target = plane_.scheduler.targets().Find(assignment_->target_id);
  if (!meta.retry_after || target == nullptr ||
      target->entry.incarnation != assignment_->incarnation) {
    return;
  }
  const TimePoint until = last_progress_at_ + *meta.retry_after;
  if (!TargetTable::IsPaused(last_progress_at_, *target)) {
    Log(LogLevel::kInfo, "target asked for a pause",
        {{"target", assignment_->target_id},
         {"for_ms", ToMilliseconds(*meta.retry_after)}});
  }
  target->paused_until = std::max(target->paused_until, until);
}

void Exchange::RecordLeaving(const ResponseMeta& meta) {
  if (meta.has_malformed_leaving) {
    CountMalformedHint("leaving");
  }
  if (!meta.is_leaving || plane_.scheduler.targets().RecordLeaving(
                              {TargetId::FromName(assignment_->target_id),
                               assignment_->incarnation}) == nullptr) {
    return;
  }
  Log(LogLevel::kInfo, "target said that it leaves",
      {{"target", assignment_->target_id},
       {"incarnation", assignment_->incarnation}});
  if (plane_.on_target_leaving) {
    plane_.on_target_leaving();
  }
}

void Exchange::OnBody(std::string_view data) {
  last_progress_at_ = plane_.clock.Now();
  if (response_kind_ == ResponseKind::kBuffered) {
    BufferResponse(data);
    return;
  }
  if (response_kind_ != ResponseKind::kStream) {
    discarded_bytes_ += data.size();
    if (discarded_bytes_ > kMaxDiscardedBytes) {
      EndUnusableAttempt();
    }
    return;
  }
  for (const StreamEvent& it : splitter_.Feed(data)) {
    ForwardEvent(it);
    if (is_done_ || response_kind_ != ResponseKind::kStream) {
      return;
    }
  }
  if (splitter_.partial_size() > kMaxBufferedBytes) {
    EndAttempt(AttemptOutcome::kBroken);
    RetryOrFail(true, "an event without an end");
    return;
  }
  const bool is_short = plane_.memory != nullptr && plane_.memory->IsShort();
  if (upstream_ && caller_->buffered() > (is_short ? kMaxBufferedBytesIfShort
                                                   : kMaxBufferedBytes)) {
    upstream_->SetPaused(true);
  }
}

void Exchange::BufferResponse(std::string_view data) {
  const std::size_t size = response_body_.size() + data.size();
  const std::size_t max_size =
      plane_.memory == nullptr
          ? kMaxBufferedResponseBytes
          : std::min(kMaxBufferedResponseBytes, plane_.memory->limit() / 4);
  if (size > max_size) {
    GiveUpResponse("the target's answer is too large");
    return;
  }
  if (!response_memory_.TrySet(size)) {
    GiveUpResponse("no memory for the target's answer");
    return;
  }
  if (plane_.memory != nullptr && size > MemoryBudget::kLargeMessageBytes &&
      response_body_.size() <= MemoryBudget::kLargeMessageBytes) {
    plane_.memory->Add(
        this, {[this] { return response_memory_.bytes(); },
               [this] { GiveUpResponse("memory taken by larger answers"); }});
  }
  response_body_.append(data);
}

void Exchange::GiveUpResponse(const char* cause) {
  plane_.metrics.IncrementCounter("corianderpost_given_up_responses_total", "");
  Log(LogLevel::kWarning, "response given up",
      {{"target", assignment_ ? assignment_->target_id : ""},
       {"cause", cause},
       {"bytes", response_body_.size()}});
  DropResponse();
  EndAttempt(AttemptOutcome::kBroken);
  RetryOrFail(true, cause);
}

void Exchange::DropResponse() {
  if (plane_.memory != nullptr) {
    plane_.memory->Remove(this);
  }
  std::string().swap(response_body_);
  response_memory_.Set(0);
}

void Exchange::EndUnusableAttempt() {
  if (response_kind_ == ResponseKind::kNotExecuted) {
    EndAttempt(response_head_ && response_head_->result_int() == 421
                   ? AttemptOutcome::kMisdirected
                   : AttemptOutcome::kRejected);
    RetryOrFail(false, "the target did not run the request");
    return;
  }
  EndAttempt(AttemptOutcome::kServerError);
  RetryOrFail(true, "the target's answer can't be used");
}

void Exchange::ForwardEvent(const StreamEvent& event) {
  const auto number = ParseEventNumber(event.id);
  const auto last = ParseEventNumber(last_event_id_);
  // An event without a number may be the error message of a target that can't
  // continue the stream.
  const bool is_misplaced =
      last &&
      (number ? *number != *last + 1 : is_resuming_ && !IsComment(event));
  if (is_misplaced) {
    Log(LogLevel::kWarning, "stream has a gap or repeats an event",
        {{"target", assignment_->target_id},
         {"expected", *last + 1},
         {"got", event.id}});
    EndAttempt(AttemptOutcome::kBroken);
    RetryOrFail(true, "wrong event");
    return;
  }
  // A connection outlives no restart of the target: if the target's entry shows
  // one, the new run writes these events.
  if ((is_resuming_ || is_resumption_) && scheduled_.required_version &&
      plane_.scheduler.targets().IsVersionInDoubt(
          assignment_->target_id, assignment_->incarnation,
          *scheduled_.required_version)) {
    Log(LogLevel::kWarning, "target of a resumed stream has another version",
        {{"target", assignment_->target_id},
         {"incarnation", assignment_->incarnation}});
    EndAttempt(AttemptOutcome::kCancelled);
    RetryOrFail(true, "wrong version");
    return;
  }
  plane_.scheduler.RecordFirstEvent(last_progress_at_, *assignment_,
                                    scheduled_);
  if (!IsComment(event)) {
    plane_.scheduler.RecordEvent(*assignment_);
  }
  std::string out;
  if (IsResumableStream()) {
    if (!has_stream_begun_) {
      RecordStreamBegun();
    }
    if (attempt_events_ == 0) {
      stream_writers_.push_back(
          {assignment_->target_id, assignment_->incarnation});
    }
  }
  last_event_at_ = last_progress_at_;
  if (!has_stream_begun_) {
    has_stream_begun_ = true;
    scheduled_.was_admitted = true;
    first_event_latency_ = last_progress_at_ - first_byte_at_;
    caller_->ConfigureForStreaming();
    status_ = static_cast<int>(response_head_->result_int());
    out = FormatResponseHead(*response_head_, Framing::kChunked, 0,
                             DecideClose());
    plane_.metrics.Observe("corianderpost_first_event_seconds",
                           first_event_latency_);
  }
  out.append(FormatChunk(event.text));
  if (!event.id.empty()) {
    last_event_id_ = event.id;
  }
  ++events_forwarded_;
  ++attempt_events_;
  caller_->Write(std::move(out));
}

void Exchange::OnDone(bool is_framed) {
  upstream_.reset();
  last_progress_at_ = plane_.clock.Now();
  const unsigned status = response_head_ ? response_head_->result_int() : 0;
  switch (response_kind_) {
    case ResponseKind::kNotExecuted:
    case ResponseKind::kNone:
    case ResponseKind::kUnusable:
      EndUnusableAttempt();
      return;
    case ResponseKind::kStream:
      // The end of a connection says nothing about a stream of which nothing
      // came.
      if (splitter_.HasPartialEvent() || !has_stream_begun_ ||
          (is_resuming_ && !is_framed && attempt_events_ == 0)) {
        EndAttempt(AttemptOutcome::kBroken);
        RetryOrFail(true, "the stream ended within an event");
        return;
      }
      if (!is_framed) {
        Log(LogLevel::kDebug,
            "stream ended by connection close without last chunk", {});
      }
      EndAttempt(AttemptOutcome::kCompleted);
      caller_->Write(std::string(kLastChunk));
      FinishResponse();
      Finish("served");
      return;
    case ResponseKind::kBuffered:
      break;
  }
  // An idempotent request is retried after a 5xx response. Without another
  // target, attempt or time for it, the response is forwarded.
  const bool is_error = status >= 500;
  EndAttempt(is_error ? AttemptOutcome::kServerError
                      : AttemptOutcome::kCompleted);
  if (is_error && scheduled_.route->kind == RequestKind::kIdempotent &&
      attempts_ < scheduled_.route->max_attempts) {
    const TimePoint now = plane_.clock.Now();
    if (RemainingTime(now) > kMinAttemptTime) {
      const Decision decision = Place(now);
      if (const auto* next = std::get_if<Assignment>(&decision)) {
        may_have_executed_ = true;
        SendTo(*next);
        return;
      }
    }
  }
  status_ = static_cast<int>(status);
  const bool is_head = request_.method() == http::verb::head;
  caller_->Write(FormatResponseHead(*response_head_,
                                    is_head || status == 204 || status == 304
                                        ? Framing::kNone
                                        : Framing::kLength,
                                    response_body_.size(), DecideClose()));
  if (!response_body_.empty()) {
    caller_->Write(std::exchange(response_body_, {}));
  }
  DropResponse();
  FinishResponse();
  Finish(is_error ? "failed_by_target" : "served");
}

void Exchange::OnFailed(UpstreamFailure failure) {
  upstream_.reset();
  AttemptOutcome outcome = AttemptOutcome::kBroken;
  const char* cause = "the connection broke";
  bool may_have_executed = true;
  switch (failure) {
    case UpstreamFailure::kNotSent:
      outcome = AttemptOutcome::kConnectFailed;
      cause = "no connection to the target";
      may_have_executed = false;
      break;
    case UpstreamFailure::kStaleConnection:
      outcome = AttemptOutcome::kCancelled;
      cause = "a kept connection broke";
      break;
    case UpstreamFailure::kBroken:
      break;
  }
  std::uint64_t crash_id = 0;
  if (assignment_ && failure != UpstreamFailure::kNotSent) {
    crash_id = plane_.scheduler.RecordBreak(plane_.clock.Now(), *assignment_,
                                            scheduled_);
    if (crash_id != 0 && plane_.on_crash) {
      plane_.on_crash();
    }
  }
  Log(LogLevel::kWarning, "attempt failed",
      {{"target", assignment_ ? assignment_->target_id : ""},
       {"cause", cause},
       {"after_ms",
        assignment_ ? ToMilliseconds(plane_.clock.Now() - assignment_->sent_at)
                    : 0},
       {"events", events_forwarded_},
       {"crash", crash_id},
       {"shared_parts", SharedPartIds(scheduled_.prompt)}});
  EndAttempt(outcome);
  RetryOrFail(may_have_executed, cause);
}

void Exchange::RetryOrFail(bool may_have_executed, const char* cause) {
  may_have_executed_ = may_have_executed_ || may_have_executed;
  const std::string silent_target = std::exchange(silent_target_, "");
  if (!may_have_executed && !silent_target.empty()) {
    // The silent target did not fail, so the request may return to it. An
    // attempt that was not executed does not count against the maximum.
    std::erase(scheduled_.tried_targets, silent_target);
    if (has_send_started_) {
      --attempts_;
    }
  }
  const TimePoint now = plane_.clock.Now();
  const bool may_retry =
      !may_have_executed_ || scheduled_.route->IsSafeToRetry();
  const bool has_attempts =
      attempts_ < scheduled_.route->max_attempts || !has_send_started_;
  const bool may_continue = MayContinue();
  if (!may_continue) {
    ReportStreamRetry("version_in_doubt");
  }
  if (may_retry && may_continue && has_attempts &&
      RemainingTime(now) > kMinAttemptTime) {
    if (!has_send_started_) {
      // Nothing was sent, so this doesn't count as an attempt. The target stays
      // in `tried_targets` and is not selected again.
      --attempts_;
    }
    Dispatch();
    return;
  }
  if (has_stream_begun_) {
    caller_->Abort();
    Finish("cut");
    return;
  }
  if (may_have_executed_) {
    SendLocalReply(502, cause, Duration(0));
  } else {
    SendLocalReply(503, cause, milliseconds(100));
  }
}

void Exchange::SendLocalReply(int status, std::string_view reason,
                              Duration retry_after) {
  status_ = status;
  retry_after_ = retry_after;
  if (status == 429 || status == 503) {
    plane_.rejections.Add(reason, scheduled_.customer == nullptr
                                      ? std::string_view()
                                      : scheduled_.customer->name);
  }
  LocalReply reply;
  reply.status = status;
  reply.reason = std::string(reason);
  reply.retry_after = retry_after;
  caller_->Write(FormatLocalReply(reply, DecideClose(),
                                  request_.method() == http::verb::head));
  FinishResponse();
  Finish(reason);
}

void Exchange::FinishResponse() { caller_->FinishResponse(announces_close_); }

void Exchange::Finish(std::string_view outcome) {
  if (is_done_) {
    return;
  }
  is_done_ = true;
  ReportResumption(outcome);
  const Duration elapsed = plane_.clock.Now() - first_byte_at_;
  plane_.metrics.IncrementCounter("corianderpost_requests_total",
                                  "status=\"" + std::to_string(status_) + "\"");
  plane_.metrics.Observe("corianderpost_request_seconds", elapsed);
  const LogLevel level =
      status_ >= 200 && status_ < 300 ? LogLevel::kInfo : LogLevel::kWarning;
  if (is_log_suppressed_ || !internal::ShouldLog(level)) {
    return;
  }
  std::vector<LogField> fields = {
      {"outcome", outcome},
      {"status", status_},
      {"route", scheduled_.route == nullptr ? "" : scheduled_.route->name},
      {"customer",
       scheduled_.customer == nullptr ? "" : scheduled_.customer->name},
      {"targets", scheduled_.tried_targets},
      {"events", events_forwarded_},
      {"took_ms", ToMilliseconds(elapsed)},
      {"deadline_ms", ToMilliseconds(caller_timeout_)},
      {"predicted_ms", ToMilliseconds(predicted_latency_)},
      {"first_event_ms", ToMilliseconds(first_event_latency_)},
      {"read_tokens", static_cast<std::int64_t>(prefill_tokens_)},
      {"waiting_tokens", static_cast<std::int64_t>(waiting_tokens_)},
      {"slot_wait_ms", static_cast<std::int64_t>(1000 * slot_wait_seconds_)},
      {"at_home", was_home_},
      {"retry_after_ms", ToMilliseconds(retry_after_)},
      {"share_level", static_cast<std::int64_t>(share_level_)},
      {"excluded",
       {{"latency", excluded_.latency},
        {"queue", excluded_.queue},
        {"recompute", excluded_.recompute},
        {"link", excluded_.link},
        {"remote", excluded_.remote},
        {"cold", excluded_.cold},
        {"rate_limit", excluded_.rate_limit}}},
      {"units",
       static_cast<std::int64_t>(plane_.scheduler.CostOf(scheduled_).units())},
      {"output_hint", meta_.output_hint.value_or(0)},
      {"predicted_output", static_cast<std::int64_t>(output_.expected_tokens)},
      {"output", static_cast<std::int64_t>(output_.generated_tokens)},
      {"predicted_end_ms", ToMilliseconds(predicted_completion_)},
      {"end_ms", ToMilliseconds(attempt_time_)},
      {"target_output_left", static_cast<std::int64_t>(target_output_left_)},
      {"list_age_ms",
       ToMilliseconds(plane_.clock.Now() - plane_.target_list_read_at)},
      {"configuration", configuration_ ? configuration_->version() : 0}};
  if (!meta_.last_event_id.empty()) {
    fields.push_back({"last_event_id", meta_.last_event_id});
    fields.push_back({"resumes", meta_.resumed_request_id});
  }
  if (blamed_) {
    fields.push_back({"blamed", ToString(blamed_->trait)});
    fields.push_back({"crashes", blamed_->crash_ids});
  }
  Log(level, "request ended", std::move(fields));
}

void Exchange::CancelIfBlamed(TimePoint now) {
  if (is_done_ || !assignment_ || assignment_->has_first_event ||
      assignment_->is_crash_probe) {
    return;
  }
  const BlamedTrait* blamed = plane_.scheduler.FindCrashCause(now, scheduled_);
  if (blamed == nullptr) {
    return;
  }
  Log(LogLevel::kWarning,
      "attempt cancelled: such requests crash targets when they are answered",
      {{"target", assignment_->target_id}, {"sent", has_send_started_}});
  Rejection rejection;
  rejection.reason = RejectionReason::kCrashesTargets;
  rejection.blamed = *blamed;
  may_have_executed_ = may_have_executed_ || has_send_started_;
  EndAttempt(AttemptOutcome::kCancelled);
  Reject(rejection);
}

void Exchange::HandleCallerDisconnected() {
  if (is_done_) {
    return;
  }
  EndAttempt(AttemptOutcome::kCancelled);
  Finish("caller_left");
}

void Exchange::HandleOutputFlushed() {
  if (upstream_) {
    upstream_->SetPaused(false);
  }
}

void Exchange::AbortForShutdown() {
  if (is_done_) {
    return;
  }
  const bool may_have_executed = may_have_executed_ || has_send_started_;
  EndAttempt(AttemptOutcome::kCancelled);
  if (has_stream_begun_) {
    caller_->Abort(CloseReason::kDraining);
    Finish("cut_for_shutdown");
    return;
  }
  if (may_have_executed) {
    SendLocalReply(502, "this router is stopping", Duration(0));
  } else {
    SendLocalReply(503, "this router is stopping", milliseconds(1));
  }
}

Duration Exchange::StallTimeout() const {
  const Route& route = *scheduled_.route;
  if (has_stream_begun_ || (assignment_ && assignment_->has_first_event)) {
    return std::max(kMinGapTimeout, kGapTimeoutFactor * route.gap_goal);
  }
  const bool is_non_stream = route.kind != RequestKind::kStreaming;
  return std::max(
      is_non_stream ? kMinNonStreamStallTimeout : kMinStreamStallTimeout,
      kStallTimeoutFactor *
          (assignment_ ? assignment_->predicted : Duration(0)));
}

void Exchange::ExcuseLag(TimePoint now, Duration lag) {
  last_progress_at_ = std::min(now, last_progress_at_ + lag);
  has_loop_lagged_ = true;
}

void Exchange::Tick(TimePoint now) {
  if (is_done_) {
    return;
  }
  const Duration elapsed = now - first_byte_at_;
  const bool is_timed_out =
      route_timeout_ > Duration(0) && elapsed >= route_timeout_;
  if (is_timed_out || elapsed >= caller_timeout_ - kDeadlineMargin) {
    const bool may_have_reached_target =
        has_send_started_ || may_have_executed_;
    Log(LogLevel::kWarning, "request ran out of time",
        {{"target", assignment_ ? assignment_->target_id : ""},
         {"timeout", is_timed_out},
         {"events", events_forwarded_}});
    EndAttempt(events_forwarded_ == 0 && attempts_ > 0 && !has_loop_lagged_ &&
                       !stalled_at_
                   ? AttemptOutcome::kStalled
                   : AttemptOutcome::kCancelled);
    if (has_stream_begun_) {
      caller_->Abort(CloseReason::kDeadline);
      Finish("cut_at_deadline");
    } else {
      SendLocalReply(may_have_reached_target ? 504 : 503,
                     "the request ran out of time", Duration(0));
    }
    return;
  }
  if (!assignment_ || now - last_progress_at_ < StallTimeout()) {
    return;
  }
  const Route& route = *scheduled_.route;
  if (!route.IsSafeToRetry() || attempts_ >= route.max_attempts) {
    return;
  }
  HandleStall(now);
}

bool Exchange::MayStillComplete() const {
  return has_send_started_ && response_kind_ != ResponseKind::kNotExecuted &&
         response_kind_ != ResponseKind::kUnusable;
}

void Exchange::HandleStall(TimePoint now) {
  if (!stalled_at_ || *stalled_at_ < last_progress_at_) {
    Log(LogLevel::kWarning, "attempt stalled",
        {{"target", assignment_->target_id},
         {"predicted_ms", ToMilliseconds(assignment_->predicted)},
         {"events", events_forwarded_}});
    stalled_at_ = now;
    next_stall_retry_at_ = now;
    plane_.scheduler.RecordStall(now, *assignment_);
  }
  if (!MayStillComplete()) {
    EndAttempt(AttemptOutcome::kCancelled);
    RetryOrFail(true, "the target stalled");
    return;
  }
  if (now < next_stall_retry_at_) {
    return;
  }
  next_stall_retry_at_ = now + kStallRetryInterval;
  if (RemainingTime(now) <= kMinAttemptTime || !MayContinue()) {
    return;
  }
  // The target may only be slow, so the attempt goes on until another target
  // takes the request.
  const Decision decision = Place(now);
  if (const auto* next = std::get_if<Assignment>(&decision)) {
    if (has_stream_begun_) {
      ReportStreamRetry(kPlacedVerdict);
    }
    silent_target_ = assignment_->target_id;
    EndAttempt(AttemptOutcome::kCancelled);
    may_have_executed_ = true;
    SendTo(*next);
  }
}

}  // namespace corianderpost
