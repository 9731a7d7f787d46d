#include "corianderpost/internal/core_impl.h"

#include <algorithm>

#include "absl/status/status.h"
#include "corianderpost/internal/timing.h"

namespace corianderpost {

namespace {

// Low bits of an incarnation that are random.
constexpr int kRandomBits = 22;
constexpr std::uint64_t kRandomMask = (std::uint64_t{1} << kRandomBits) - 1;

}  // namespace

Incarnation NextIncarnation(std::uint64_t wall_micros, std::uint64_t random) {
  return ((wall_micros / 1000 + 1) << kRandomBits) | (random & kRandomMask);
}

Incarnation IncarnationAfter(Incarnation seen, Incarnation own) {
  return (((seen >> kRandomBits) + 1) << kRandomBits) | (own & kRandomMask);
}

absl::StatusOr<std::unique_ptr<RouterCore>> RouterCore::Create(
    RouterCoreSettings settings, TimePoint now) {
  if (settings.self == VmId() || settings.zone.empty()) {
    return absl::InvalidArgumentError("a router needs a VM and a zone");
  }
  return std::unique_ptr<RouterCore>(
      std::make_unique<internal::CoreImpl>(std::move(settings), now));
}

std::string_view Name(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kUnknownService:
      return "unknown-service";
    case RefusalReason::kQueueFull:
      return "queue-full";
    case RefusalReason::kWaitTooLong:
      return "wait-too-long";
    case RefusalReason::kNotServing:
      return "not-serving";
    case RefusalReason::kDraining:
      return "draining";
    case RefusalReason::kKeyRequired:
      return "key-required";
    case RefusalReason::kKeyUnknown:
      return "key-unknown";
    case RefusalReason::kKeyInProgress:
      return "key-in-progress";
    case RefusalReason::kKeyMismatch:
      return "key-mismatch";
    case RefusalReason::kKeyHomeUnreachable:
      return "key-home-unreachable";
    case RefusalReason::kQuarantined:
      return "quarantined";
    case RefusalReason::kTargetFailed:
      return "target-failed";
  }
  return "unknown";
}

std::string_view Name(RefusalOutcome outcome) {
  return outcome == RefusalOutcome::kNotRun ? "not-run" : "unknown";
}

namespace internal {
namespace {

constexpr std::size_t kMaxDecisions = 4096;
constexpr Duration kHousekeepingInterval = seconds(1);
constexpr Duration kListPullInterval = seconds(1);
// Looking at every target costs time in a large fleet.
constexpr Duration kLargeFleetOwnershipInterval = seconds(1);

AllocatorOptions OptionsFrom(const Guards& guards) {
  AllocatorOptions options;
  options.orders_by_service = guards.fair_order;
  options.lifts_idle_accounts = guards.idle_earns_no_credit;
  options.requires_lease_when_cold = guards.cold_needs_lease;
  return options;
}

}  // namespace

CoreImpl::CoreImpl(RouterCoreSettings settings, TimePoint now)
    : settings_(std::move(settings)),
      self_(settings_.self),
      incarnation_(settings_.incarnation),
      invariants_(settings_.on_violation),
      membership_(self_, settings_.zone),
      configuration_(settings_.guards.revisions_only_grow),
      counters_(self_, incarnation_),
      allocator_(self_, OptionsFrom(settings_.guards)),
      voter_(now, settings_.guards.voter_waits_after_start),
      keys_(self_, incarnation_),
      not_serving_since_(now),
      last_now_(now) {}

std::vector<Action> CoreImpl::Handle(TimePoint now, const Event& event) {
  invariants_.Check(now >= last_now_, "time-never-decreases");
  last_now_ = now;
  actions_.clear();
  std::visit([&](const auto& it) { On(now, it); }, event);
  Settle(now);
  return std::move(actions_);
}

void CoreImpl::Settle(TimePoint now) {
  if (demand_due_) {
    demand_due_ = false;
    SendDemands(now);
  }
  if (allocation_due_) {
    allocation_due_ = false;
    AllocateSlots(now);
  }
}

bool CoreImpl::IsServing(TimePoint now) {
  const bool is_connected =
      membership_.HearsMajority(now) || !settings_.guards.majority_to_serve;
  if (!is_connected || membership_.list() == nullptr) {
    return false;
  }
  // A router that comes back from a pause or a cut has no time of grace.
  return was_serving_ ? configuration_.IsCurrent(now, membership_)
                      : configuration_.IsNewest(membership_);
}

bool CoreImpl::IsDrained() const {
  return is_draining_ && requests_.size() == 0;
}

void CoreImpl::On(TimePoint now, const BundleSeen& event) {
  if (!configuration_.Take(now, event)) {
    return;
  }
  invariants_.Check(configuration_.revision() >= last_revision_,
                    "configuration-never-reverts",
                    std::to_string(last_revision_) + " -> " +
                        std::to_string(configuration_.revision()));
  last_revision_ = configuration_.revision();
  membership_.TakeRegions(*configuration_.bundle());
  RefreshOwnership(now);
  heartbeat_sent_at_.clear();
  SendHeartbeats(now);
}

void CoreImpl::On(TimePoint now, const BundleReadFailed&) {
  configuration_.NoteReadFailed(now);
}

void CoreImpl::On(TimePoint now, const VmListSeen& event) {
  if (!membership_.TakeList(now, event.list)) {
    return;
  }
  const Vm* self = membership_.list()->Find(self_);
  is_draining_ = is_draining_ || (self != nullptr && self->leaving);
  RefreshOwnership(now);
}

void CoreImpl::On(TimePoint now, const LoadReported& event) {
  const Vm* target = membership_.list() == nullptr
                         ? nullptr
                         : membership_.list()->Find(event.target);
  const Service* service = target == nullptr || !bundle()
                               ? nullptr
                               : bundle()->FindService(target->service);
  if (service == nullptr) {
    return;
  }
  allocator_.TakeReport(now, *target, service->kind,
                        {event.in_flight, event.cold, event.asked_at});
  allocation_due_ = true;
}

void CoreImpl::On(TimePoint now, const LoadReportFailed& event) {
  allocator_.RequireNewReport(now, event.target);
}

void CoreImpl::On(TimePoint now, const DrainRequested&) {
  is_draining_ = true;
  Note(now, 0, "drain requested");
  if (!settings_.guards.drain_finishes_requests) {
    for (const RequestId id :
         requests_.WaitingWhere([](const Request&) { return true; })) {
      FinishRefused(now, id, RefusalReason::kDraining, seconds(1));
    }
  }
  heartbeat_sent_at_.clear();
  SendHeartbeats(now);
  RefreshOwnership(now);
}

void CoreImpl::On(TimePoint now, const Tick&) {
  const bool is_serving = IsServing(now);
  if (is_serving != was_serving_) {
    was_serving_ = is_serving;
    not_serving_since_ = now;
    Note(now, 0, is_serving ? "serving" : "not serving: majority or revision");
    heartbeat_sent_at_.clear();
  }
  ReadPlatform(now);
  SendHeartbeats(now);
  const Duration ownership_interval =
      membership_.UsesRing() ? kLargeFleetOwnershipInterval : kCounterInterval;
  if (now - ownership_at_ >= ownership_interval) {
    RefreshOwnership(now);
  }
  if (now - exchanged_at_ >= kCounterInterval) {
    exchanged_at_ = now;
    SendCounters(now);
    SendSuspects();
  }
  PollLoads(now);
  RenewLeases(now);
  RefuseOverdue(now);
  if (now - housekeeping_at_ >= kHousekeepingInterval) {
    housekeeping_at_ = now;
    allocator_.DropSilent(now);
    suspects_.Expire(now);
    std::erase_if(grants_seen_,
                  [now](const auto& it) { return now > it.second; });
    for (const RequestId id : keys_.Expire(now)) {
      actions_.push_back(ForgetAnswer{id});
    }
    std::erase_if(demand_links_, [](const auto& it) {
      return !it.second.had_demand && !it.second.had_grants;
    });
    CheckInvariants();
  }
  demand_due_ = true;
  allocation_due_ = true;
}

void CoreImpl::ReadPlatform(TimePoint now) {
  if (const auto read = configuration_.NextRead(now, membership_)) {
    actions_.push_back(*read);
  }
  if (!settings_.guards.peers_spread_revisions) {
    return;
  }
  if (const auto pull = configuration_.NextPull(now, membership_)) {
    actions_.push_back(*pull);
  }
  const auto newer = membership_.HolderOfNewerList(now);
  if (newer && now - list_pulled_at_ >= kListPullInterval) {
    list_pulled_at_ = now;
    actions_.push_back(PullVmList{*newer});
  }
}

void CoreImpl::PollLoads(TimePoint now) {
  if (!bundle()) {
    return;
  }
  for (const Vm* target : owned_) {
    const Service* service = bundle()->FindService(target->service);
    if (service == nullptr || service->kind == ServiceKind::kPlain) {
      continue;
    }
    TargetSlots& slots = allocator_.SlotsOf(*target, service->kind);
    if (now - slots.polled_at >= kLoadPollInterval) {
      slots.polled_at = now;
      actions_.push_back(PollLoad{target->id, now});
    }
  }
}

void CoreImpl::CheckInvariants() {
  for (const auto& [id, attempt] : requests_.attempts()) {
    const Request* request = requests_.Find(attempt.request);
    invariants_.Check(request != nullptr && request->attempt == id,
                      "attempt-belongs-to-one-request");
  }
  invariants_.Check(membership_.highest_revision() >= last_revision_ ||
                        configuration_.revision() >= last_revision_,
                    "configuration-never-reverts");
}

void CoreImpl::Note(TimePoint now, RequestId request, std::string text) {
  decisions_.push_back({now, request, std::move(text)});
  if (decisions_.size() > kMaxDecisions) {
    decisions_.pop_front();
  }
}

std::string CoreImpl::TargetName(TargetId target) const {
  const Vm* vm = membership_.list() == nullptr
                     ? nullptr
                     : membership_.list()->Find(target);
  return vm == nullptr ? std::to_string(target.value()) : vm->name;
}

std::string CoreImpl::CustomerName(CustomerId customer) const {
  const Customer* found = bundle() ? bundle()->FindCustomer(customer) : nullptr;
  return found == nullptr ? std::to_string(customer.value()) : found->name;
}

std::vector<TargetStatus> CoreImpl::TargetStatuses(TimePoint now) {
  std::vector<TargetStatus> targets;
  for (const Vm& vm : membership_.list()->vms()) {
    const Service* service = bundle()->FindService(vm.service);
    if (vm.role != VmRole::kTarget || service == nullptr) {
      continue;
    }
    TargetStatus target;
    target.target = vm.id;
    target.name = vm.name;
    target.owner = membership_.OwnerOf(now, vm, MayOwn(now)).value_or(VmId());
    target.owned_here = target.owner == self_;
    target.outstanding = allocator_.Outstanding(vm.id);
    if (target.owned_here) {
      target.lease_held = HoldsLease(now, vm.id);
      target.warm = allocator_.IsWarm(now, vm, service->kind);
      target.free = std::max(
          0, allocator_.FreeSlots(now, vm, *service, target.lease_held));
    }
    targets.push_back(std::move(target));
  }
  return targets;
}

std::vector<AccountStatus> CoreImpl::AccountStatuses() const {
  std::vector<AccountStatus> accounts;
  for (const Service& service : bundle()->services()) {
    for (const Customer& customer : bundle()->customers()) {
      const AccountId account = AccountOf(service.id, customer.id);
      const std::size_t waiting = requests_.WaitingOf(service.id, customer.id);
      const std::uint64_t served = counters_.Served(account);
      if (waiting > 0 || served > 0) {
        accounts.push_back(
            {account, service.name, customer.name, served, waiting});
      }
    }
  }
  return accounts;
}

RouterStatus CoreImpl::Status(TimePoint now) {
  RouterStatus status;
  status.serving = IsServing(now);
  status.draining = is_draining_;
  status.bundle_revision = configuration_.revision();
  status.highest_revision = membership_.highest_revision();
  status.waiting = requests_.WaitingTotal();
  status.running = requests_.attempts().size();
  status.invariant_checks = invariants_.checks();
  status.invariant_violations = invariants_.violations();
  if (membership_.list() == nullptr || !bundle()) {
    return status;
  }
  status.list_revision = membership_.list()->revision();
  status.targets = TargetStatuses(now);
  status.accounts = AccountStatuses();
  for (const VmId it : membership_.neighbours()) {
    status.peers.push_back({it, membership_.IsHeard(now, it, kHeardWindow),
                            membership_.RevisionOf(it)});
  }
  return status;
}

std::vector<Decision> CoreImpl::Explain(RequestId request) const {
  std::vector<Decision> found;
  std::copy_if(decisions_.begin(), decisions_.end(), std::back_inserter(found),
               [request](const Decision& it) {
                 return request == 0 || it.request == request;
               });
  return found;
}

}  // namespace internal
}  // namespace corianderpost
