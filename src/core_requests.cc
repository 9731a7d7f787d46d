#include <algorithm>
#include <utility>

#include "corianderpost/internal/core_impl.h"
#include "corianderpost/internal/timing.h"

namespace corianderpost::internal {
namespace {

constexpr Duration kRetryAfterBusy = seconds(2);
constexpr Duration kRetryAfterInProgress = seconds(1);
constexpr int kMaxAttempts = 3;

}  // namespace

void CoreImpl::On(TimePoint now, const RequestArrived& event) {
  if (auto refusal = AdmissionRefusal(now, event)) {
    Note(now, event.id,
         "refused on arrival: " + std::string(Name(refusal->reason)));
    actions_.push_back(*std::move(refusal));
    return;
  }
  if (!event.idempotent && !AdmitKey(now, event)) {
    return;
  }
  retries_.Earn();
  Request& request = requests_.Add(now, event);
  request.has_key = !event.idempotent;
  Note(now, event.id,
       "queued for " + CustomerName(event.customer) + " behind " +
           std::to_string(requests_.WaitingOf(event.service, event.customer) -
                          1) +
           " of its own");
  demand_due_ = true;
}

std::optional<Refuse> CoreImpl::AdmissionRefusal(TimePoint now,
                                                 const RequestArrived& event) {
  const auto refuse = [&](RefusalReason reason, Duration retry_after) {
    return Refuse{event.id, reason, RefusalOutcome::kNotRun, retry_after, ""};
  };
  const bool is_resend = !event.idempotent && event.key.has_value();
  if (!IsServing(now)) {
    // The work of a resent key may have run, here or elsewhere.
    auto refusal = refuse(RefusalReason::kNotServing, kRetryAfterBusy);
    if (is_resend) {
      refusal.outcome = RefusalOutcome::kUnknown;
    }
    return refusal;
  }
  const Service* service = bundle()->FindService(event.service);
  if (service == nullptr) {
    return refuse(RefusalReason::kUnknownService, Duration(0));
  }
  if (is_resend) {
    // Only the key's home can tell what became of it.
    return std::nullopt;
  }
  if (is_draining_) {
    return refuse(RefusalReason::kDraining, kRetryAfterInProgress);
  }
  if (settings_.guards.quarantine &&
      suspects_.IsQuarantined(now, event.fingerprint)) {
    auto refusal = refuse(RefusalReason::kQuarantined, Duration(0));
    refusal.outcome = RefusalOutcome::kUnknown;
    return refusal;
  }
  if (requests_.WaitingOf(event.service, event.customer) >=
      static_cast<std::size_t>(service->max_waiting)) {
    return refuse(RefusalReason::kQueueFull, kRetryAfterBusy);
  }
  return std::nullopt;
}

bool CoreImpl::AdmitKey(TimePoint now, const RequestArrived& event) {
  if (!settings_.guards.key_has_home) {
    return true;
  }
  const auto key =
      event.key ? IssuedKey::Parse(*event.key) : std::optional<IssuedKey>();
  if (!key) {
    // Nothing has run under a key that this fleet never issued.
    const std::string issued = keys_.Issue(now, event.customer).ToString();
    actions_.push_back(Refuse{event.id, RefusalReason::kKeyRequired,
                              RefusalOutcome::kNotRun, Duration(0), issued});
    return false;
  }
  if (key->home != self_) {
    Note(now, event.id, "key belongs to router " + TargetName(key->home));
    actions_.push_back(ForwardToHome{event.id, key->home});
    return false;
  }
  if (key->incarnation != incarnation_) {
    Note(now, event.id, "key belongs to an earlier life of this router");
    actions_.push_back(Refuse{event.id, RefusalReason::kKeyUnknown,
                              RefusalOutcome::kUnknown, Duration(0), ""});
    return false;
  }
  const Claim claim =
      keys_.Take(now, *key, event.customer, event.fingerprint, event.id);
  if (claim.result == ClaimResult::kRun) {
    return true;
  }
  AnswerClaim(now, event, claim);
  return false;
}

void CoreImpl::AnswerClaim(TimePoint now, const RequestArrived& event,
                           const Claim& claim) {
  if (claim.result == ClaimResult::kAnswered) {
    Note(now, event.id,
         "answered from request " + std::to_string(claim.answered_by));
    actions_.push_back(Replay{event.id, claim.answered_by});
    return;
  }
  Refuse refusal{event.id, RefusalReason::kKeyUnknown, RefusalOutcome::kUnknown,
                 Duration(0), ""};
  if (claim.result == ClaimResult::kInProgress) {
    refusal.reason = RefusalReason::kKeyInProgress;
    refusal.retry_after = kRetryAfterInProgress;
  }
  if (claim.result == ClaimResult::kMismatch) {
    // This request is another one than the key's; it has not run.
    refusal.reason = RefusalReason::kKeyMismatch;
    refusal.outcome = RefusalOutcome::kNotRun;
  }
  Note(now, event.id, "refused: " + std::string(Name(refusal.reason)));
  actions_.push_back(refusal);
}

void CoreImpl::On(TimePoint now, const RequestAbandoned& event) {
  Request* request = requests_.Find(event.id);
  if (request == nullptr) {
    return;
  }
  Note(now, event.id, "caller left");
  if (request->attempt != 0) {
    request->is_abandoned = true;
    // Work that may run once goes on, so that a resend gets its answer.
    if (!request->has_key) {
      actions_.push_back(CancelAttempt{request->attempt});
    }
    return;
  }
  if (request->may_have_begun) {
    keys_.EndUnknown(event.id);
  } else {
    keys_.EndNotRun(event.id);
  }
  requests_.Erase(event.id);
  demand_due_ = true;
}

bool CoreImpl::NoteGrant(TimePoint now, VmId owner,
                         Incarnation owner_incarnation, const Grant& grant) {
  if (owner == self_ || !settings_.guards.grants_are_used_once) {
    return true;
  }
  // A copy that comes later than this is refused for its age.
  return grants_seen_
      .try_emplace({owner, owner_incarnation, grant.id}, now + 2 * kGrantTtl)
      .second;
}

bool CoreImpl::MayUseGrant(TimePoint now, const Grant& grant) {
  const TimePoint demand_sent_at{Duration(grant.demand_sent_at_us)};
  if (settings_.guards.grants_expire && now - demand_sent_at > kGrantTtl) {
    return false;
  }
  const Vm* target =
      membership_.list() ? membership_.list()->Find(grant.target) : nullptr;
  return IsServing(now) && target != nullptr && !target->leaving &&
         bundle()->IsZoneInService(target->zone);
}

bool CoreImpl::MayRunOn(TimePoint now, const Request& request,
                        TargetId target) {
  if (!settings_.guards.quarantine ||
      !suspects_.IsSuspect(now, request.arrived.fingerprint)) {
    return true;
  }
  // Suspects stay apart, so that the next crash tells them from one another.
  const auto aboard = requests_.AttemptsOn(target);
  return std::none_of(aboard.begin(), aboard.end(), [&](AttemptId id) {
    const Request* other = requests_.Find(requests_.FindAttempt(id)->request);
    return suspects_.IsSuspect(now, other->arrived.fingerprint);
  });
}

void CoreImpl::TakeGrant(TimePoint now, VmId owner,
                         Incarnation owner_incarnation, const Grant& grant) {
  if (!NoteGrant(now, owner, owner_incarnation, grant)) {
    return;
  }
  --demand_links_[{grant.service, owner}].unanswered;
  std::optional<AttemptId> begun;
  if (MayUseGrant(now, grant)) {
    const Attempt attempt{0, grant.target, owner, owner_incarnation, grant.id,
                          0, grant.service};
    begun = requests_.Begin(grant.service, grant.customer, attempt,
                            [&](const Request& request) {
                              return MayRunOn(now, request, grant.target);
                            });
  }
  if (!begun) {
    GiveBack(now, owner, owner_incarnation, {grant.id, ReleaseReason::kUnused});
    return;
  }
  const Request& request =
      *requests_.Find(requests_.FindAttempt(*begun)->request);
  Note(now, request.arrived.id,
       "sent to " + TargetName(grant.target) + " after waiting " +
           std::to_string((now - request.waiting_since).count() / 1000) +
           " ms; slot granted by " + TargetName(owner));
  counters_.Charge(request.account(), request.arrived.initial_units);
  actions_.push_back(Dispatch{request.arrived.id, *begun, grant.target,
                              request.delivered_units});
}

void CoreImpl::GiveBack(TimePoint now, VmId owner,
                        Incarnation owner_incarnation, const Release& release) {
  if (owner != self_) {
    Send(owner, release);
    return;
  }
  if (owner_incarnation == incarnation_) {
    allocator_.TakeRelease(now, self_, release);
    allocation_due_ = true;
  }
}

void CoreImpl::On(TimePoint, const AttemptProgress& event) {
  Attempt* attempt = requests_.FindAttempt(event.attempt);
  if (attempt == nullptr) {
    return;
  }
  attempt->units += event.units;
  Request* request = requests_.Find(attempt->request);
  request->delivered_units += event.units;
  request->may_have_begun = true;
  counters_.Charge(request->account(), event.units);
}

void CoreImpl::On(TimePoint now, const AttemptEnded& event) {
  const Attempt* found = requests_.FindAttempt(event.attempt);
  invariants_.Check(found != nullptr, "attempt-ends-once");
  if (found == nullptr) {
    return;
  }
  const bool has_target_failed =
      event.outcome == AttemptOutcome::kLostAfterSend ||
      event.outcome == AttemptOutcome::kNotSent;
  Request& request = *requests_.Find(found->request);
  const bool was_cancelled = request.is_abandoned && !request.has_key;
  if (event.outcome == AttemptOutcome::kLostAfterSend && !was_cancelled) {
    NoteTargetCrash(now, *found);
  }
  const Attempt attempt = requests_.End(event.attempt);
  GiveBack(now, attempt.owner, attempt.owner_incarnation,
           {attempt.grant, has_target_failed && !was_cancelled
                               ? ReleaseReason::kTargetFailed
                               : ReleaseReason::kFinished});
  if (event.outcome == AttemptOutcome::kCompleted) {
    allocator_.LearnCost(attempt.service,
                         attempt.units + request.arrived.initial_units);
    suspects_.Clear(request.arrived.fingerprint);
    FinishComplete(now, attempt.request);
    return;
  }
  EndFailedAttempt(now, attempt, event.outcome);
}

void CoreImpl::NoteTargetCrash(TimePoint now, const Attempt& attempt) {
  std::vector<std::uint64_t> aboard;
  for (const AttemptId id : requests_.AttemptsOn(attempt.target)) {
    const Request* request = requests_.Find(requests_.FindAttempt(id)->request);
    aboard.push_back(request->arrived.fingerprint);
  }
  // The other attempts on the target end too, each with an event of its own;
  // only the first to end finds the others aboard.
  const auto it = crash_noted_at_.find(attempt.target);
  const bool is_same_crash =
      it != crash_noted_at_.end() && now - it->second < kSuspectAfter;
  if (is_same_crash) {
    return;
  }
  crash_noted_at_[attempt.target] = now;
  suspects_.NoteCrash(now, aboard);
}

bool CoreImpl::MayRetry(TimePoint now, const Request& request,
                        AttemptOutcome outcome) {
  const Service* service = bundle()->FindService(request.arrived.service);
  const bool has_begun = outcome == AttemptOutcome::kLostAfterSend;
  const bool may_repeat = !has_begun || request.arrived.idempotent;
  const bool may_continue = request.delivered_units == 0 ||
                            (service != nullptr && service->resumable);
  const bool is_quarantined =
      settings_.guards.quarantine &&
      suspects_.IsQuarantined(now, request.arrived.fingerprint);
  if (!may_repeat || !may_continue || is_quarantined) {
    return false;
  }
  if (!settings_.guards.retry_budget) {
    return true;
  }
  return request.attempts < kMaxAttempts && retries_.TrySpend();
}

void CoreImpl::EndFailedAttempt(TimePoint now, const Attempt& attempt,
                                AttemptOutcome outcome) {
  Request& request = *requests_.Find(attempt.request);
  if (outcome == AttemptOutcome::kLostAfterSend) {
    request.may_have_begun = true;
  }
  Note(now, attempt.request,
       "attempt on " + TargetName(attempt.target) + " failed " +
           (outcome == AttemptOutcome::kLostAfterSend ? "after" : "before") +
           " the target may have begun");
  if (request.is_abandoned) {
    if (request.may_have_begun) {
      keys_.EndUnknown(attempt.request);
    } else {
      keys_.EndNotRun(attempt.request);
    }
    requests_.Erase(attempt.request);
    return;
  }
  if (MayRetry(now, request, outcome)) {
    requests_.Requeue(now, attempt.request);
    demand_due_ = true;
    return;
  }
  const bool is_quarantined =
      settings_.guards.quarantine &&
      suspects_.IsQuarantined(now, request.arrived.fingerprint);
  FinishRefused(now, attempt.request,
                is_quarantined ? RefusalReason::kQuarantined
                               : RefusalReason::kTargetFailed,
                request.may_have_begun ? Duration(0) : kRetryAfterInProgress);
}

void CoreImpl::FinishRefused(TimePoint now, RequestId id, RefusalReason reason,
                             Duration retry_after) {
  const Request& request = *requests_.Find(id);
  const bool is_unknown =
      request.may_have_begun && settings_.guards.lost_means_unknown;
  if (request.may_have_begun) {
    keys_.EndUnknown(id);
  } else {
    keys_.EndNotRun(id);
  }
  Note(now, id, "refused: " + std::string(Name(reason)));
  actions_.push_back(
      Refuse{id, reason,
             is_unknown ? RefusalOutcome::kUnknown : RefusalOutcome::kNotRun,
             retry_after, ""});
  requests_.Erase(id);
}

void CoreImpl::FinishComplete(TimePoint now, RequestId id) {
  const Request& request = *requests_.Find(id);
  Note(now, id,
       "complete after " +
           std::to_string((now - request.arrived_at).count() / 1000) + " ms");
  keys_.EndAnswered(id);
  // The runtime keeps a keyed answer although its first caller has left.
  if (!request.is_abandoned || request.has_key) {
    actions_.push_back(Complete{id});
  }
  requests_.Erase(id);
}

void CoreImpl::RefuseOverdue(TimePoint now) {
  if (requests_.WaitingTotal() == 0 || !bundle()) {
    return;
  }
  const auto overdue = requests_.WaitingWhere([&](const Request& request) {
    const Service* service = bundle()->FindService(request.arrived.service);
    return service == nullptr ||
           now - request.waiting_since > service->max_wait;
  });
  for (const RequestId id : overdue) {
    FinishRefused(now, id, RefusalReason::kWaitTooLong, kRetryAfterBusy);
  }
  if (was_serving_ || now - not_serving_since_ <= kCutOffPatience) {
    return;
  }
  for (const RequestId id :
       requests_.WaitingWhere([](const Request&) { return true; })) {
    FinishRefused(now, id, RefusalReason::kNotServing, kRetryAfterBusy);
  }
}

}  // namespace corianderpost::internal
