#include <algorithm>
#include <utility>

#include "corianderpost/internal/core_impl.h"
#include "corianderpost/internal/timing.h"

namespace corianderpost::internal {
namespace {

// Entries that one counter message carries, so that it fits a datagram.
constexpr std::size_t kMaxCounterEntries = 48;
// Owners that a router asks at once about one service.
constexpr std::size_t kMinOwnersAsked = 8;
constexpr std::size_t kMaxOwnersAsked = 48;
// Waiting requests for which one more is asked.
constexpr std::size_t kWaitingForAnOwner = 8;
// How long it asks the same ones in a large fleet.
constexpr Duration kOwnerRotation = seconds(1);
constexpr Duration kHomeReportInterval = milliseconds(500);

}  // namespace

void CoreImpl::Send(VmId to, PeerMessage message) {
  actions_.push_back(
      SendToPeer{{self_, incarnation_, to, membership_.IncarnationOf(to),
                  std::move(message)}});
}

bool CoreImpl::IsRemote(VmId router) const {
  return membership_.RegionOfRouter(router) != membership_.own_region();
}

void CoreImpl::On(TimePoint now, const PeerMessageReceived& event) {
  const PeerEnvelope& envelope = event.envelope;
  if (envelope.to != self_ || envelope.from == self_) {
    return;
  }
  if (settings_.guards.incarnations_go_on &&
      envelope.to_incarnation > incarnation_) {
    // A peer knows a later life of this VM than this one: the wall clock went
    // back across the restart. As in a hybrid logical clock, continue above
    // the highest number seen.
    incarnation_ = IncarnationAfter(envelope.to_incarnation, incarnation_);
    counters_.SetIncarnation(incarnation_);
    keys_.SetIncarnation(incarnation_);
    Note(now, 0, "took a later incarnation than the wall clock gives");
  }
  switch (membership_.NoteLife(envelope.from, envelope.from_incarnation)) {
    case Membership::Life::kEnded:
      return;
    case Membership::Life::kKnown:
      break;
    case Membership::Life::kRestarted:
      allocator_.ForgetRequester(now, envelope.from);
      Welcome(now, envelope.from);
      break;
    case Membership::Life::kFirst:
      Welcome(now, envelope.from);
      break;
  }
  std::visit([&](const auto& it) { OnMessage(now, envelope, it); },
             envelope.message);
}

void CoreImpl::Welcome(TimePoint now, VmId peer) {
  // A new router knows nothing: send it everything at once.
  if (!membership_.UsesRing()) {
    counters_repaired_at_.erase(peer);
    SendCountersTo(now, peer, IsRemote(peer));
  }
  const SuspectUpdate all = suspects_.Everything();
  if (!all.entries.empty()) {
    Send(peer, all);
  }
}

void CoreImpl::OnMessage(TimePoint now, const PeerEnvelope& from,
                         const Heartbeat& it) {
  Heartbeat heartbeat = it;
  if (from.to_incarnation != incarnation_) {
    // The echo is of another life, whose clock began elsewhere.
    heartbeat.echo_us = 0;
  }
  membership_.TakeHeartbeat(now, from.from, heartbeat);
}

void CoreImpl::OnMessage(TimePoint now, const PeerEnvelope& from,
                         const CounterUpdate& it) {
  counters_.Merge(now, from.from, it);
  if (membership_.UsesRing()) {
    AnswerAsHome(from.from, it);
  }
}

void CoreImpl::OnMessage(TimePoint, const PeerEnvelope&,
                         const AccountTotals& it) {
  for (const AccountTotal& entry : it.totals) {
    counters_.NoteFleetTotal(entry.account, entry.units);
  }
}

void CoreImpl::OnMessage(TimePoint now, const PeerEnvelope& from,
                         const Demand& it) {
  for (const DemandEntry& entry : it.entries) {
    if (entry.total > 0) {
      counters_.NoteFleetTotal(AccountOf(it.service, entry.customer),
                               entry.total);
    }
  }
  allocator_.TakeDemand(now, from.from, from.from_incarnation, it, counters_);
  allocation_due_ = true;
}

void CoreImpl::OnMessage(TimePoint now, const PeerEnvelope& from,
                         const Grant& it) {
  if (from.to_incarnation != incarnation_) {
    // Meant for an earlier life of this router, whose requests are gone.
    return;
  }
  TakeGrant(now, from.from, from.from_incarnation, it);
}

void CoreImpl::OnMessage(TimePoint now, const PeerEnvelope& from,
                         const Release& it) {
  if (from.to_incarnation != incarnation_) {
    return;
  }
  allocator_.TakeRelease(now, from.from, it);
  allocation_due_ = true;
}

void CoreImpl::OnMessage(TimePoint now, const PeerEnvelope& from,
                         const LeaseRequest& it) {
  const VmList* list = membership_.list();
  if (list == nullptr || it.list_revision < list->revision()) {
    // The candidate may seek its majority among routers that were replaced.
    return;
  }
  auto promised =
      voter_.Vote(now, from.from, from.from_incarnation, it.targets);
  if (!promised.empty()) {
    Send(from.from, LeaseVote{it.asked_at_us, std::move(promised)});
  }
}

void CoreImpl::OnMessage(TimePoint now, const PeerEnvelope& from,
                         const LeaseVote& it) {
  if (from.to_incarnation != incarnation_) {
    return;
  }
  CountVote(now, from.from, TimePoint(Duration(it.asked_at_us)), it.targets);
}

void CoreImpl::OnMessage(TimePoint now, const PeerEnvelope&,
                         const SuspectUpdate& it) {
  suspects_.Merge(now, it);
}

void CoreImpl::SendHeartbeats(TimePoint now) {
  if (membership_.list() == nullptr) {
    return;
  }
  Heartbeat heartbeat;
  heartbeat.draining = is_draining_;
  heartbeat.serving = IsServing(now);
  heartbeat.bundle_revision =
      settings_.guards.peers_spread_revisions ? configuration_.revision() : 0;
  heartbeat.list_revision = membership_.list()->revision();
  const auto age = std::chrono::duration_cast<milliseconds>(
      configuration_.Age(now, membership_));
  heartbeat.configuration_age_ms = static_cast<std::uint32_t>(age.count());
  std::vector<VmId> receivers = membership_.neighbours();
  if (membership_.UsesRing() && now - gossiped_at_ >= kHeartbeatInterval) {
    // One more, anywhere, so that a new revision reaches all in few rounds.
    gossiped_at_ = now;
    const VmId any = membership_.AnyRouter(RendezvousWeight(
        self_.value(), static_cast<std::uint32_t>(++gossip_round_)));
    if (any != self_) {
      receivers.push_back(any);
    }
  }
  for (const VmId it : receivers) {
    const Duration interval =
        IsRemote(it) ? kRemoteHeartbeatInterval : kHeartbeatInterval;
    const auto sent = heartbeat_sent_at_.find(it);
    if (sent == heartbeat_sent_at_.end() || now - sent->second >= interval) {
      heartbeat_sent_at_[it] = now;
      heartbeat.sent_at_us = now.time_since_epoch().count();
      heartbeat.echo_us = membership_.EchoFor(it);
      Send(it, heartbeat);
    }
  }
}

void CoreImpl::SendCounters(TimePoint now) {
  if (membership_.list() == nullptr) {
    return;
  }
  const auto send_if_due = [&](VmId peer, bool is_remote) {
    const Duration interval =
        is_remote ? kRemoteCounterInterval : kCounterInterval;
    if (now - counters_sent_at_[peer] >= interval) {
      SendCountersTo(now, peer, is_remote);
    }
  };
  if (membership_.UsesRing()) {
    ReportToHomes(now);
    return;
  }
  for (const VmId it : membership_.neighbours()) {
    if (!IsRemote(it)) {
      send_if_due(it, false);
    }
  }
  // One router of each region speaks across the regions' link.
  if (membership_.IsRegionDelegate(now)) {
    for (const VmId it : membership_.RemoteDelegates(now)) {
      send_if_due(it, true);
    }
  }
}

void CoreImpl::ReportToHomes(TimePoint now) {
  if (now - homes_told_at_ < kHomeReportInterval) {
    return;
  }
  homes_told_at_ = now;
  if (now - homes_repaired_at_ >= kCounterRepairInterval) {
    homes_repaired_at_ = now;
    counters_.ReportEverything();
  }
  const auto updates = counters_.ChangesByHome(
      [this](AccountId account) { return membership_.HomeOf(account); });
  for (const auto& [home, update] : updates) {
    if (home != self_) {
      Send(home, update);
    }
  }
}

void CoreImpl::AnswerAsHome(VmId reporter, const CounterUpdate& update) {
  AccountTotals answer;
  for (const ServedEntry& it : update.served) {
    if (membership_.HomeOf(it.account) == self_) {
      answer.totals.push_back({it.account, counters_.Total(it.account)});
    }
  }
  if (!answer.totals.empty()) {
    Send(reporter, std::move(answer));
  }
}

void CoreImpl::SendCountersTo(TimePoint now, VmId peer, bool is_remote) {
  TimePoint& repaired_at = counters_repaired_at_[peer];
  const bool everything =
      now - repaired_at >= kCounterRepairInterval || repaired_at == TimePoint();
  if (everything) {
    repaired_at = now;
  }
  counters_sent_at_[peer] = now;
  const bool is_delegate = membership_.IsRegionDelegate(now);
  const std::string peer_region = membership_.RegionOfRouter(peer);
  const auto relays = [&](VmId origin) {
    return everything || origin == self_ ||
           (is_delegate &&
            (is_remote || membership_.RegionOfRouter(origin) != peer_region));
  };
  CounterUpdate update = counters_.ChangesFor(peer, everything, relays);
  update.backlogged = requests_.WaitingAccounts();
  if (update.served.empty() && update.lifts.empty() &&
      update.backlogged.empty()) {
    return;
  }
  while (update.served.size() > kMaxCounterEntries) {
    CounterUpdate part;
    const auto from =
        update.served.end() - static_cast<std::ptrdiff_t>(kMaxCounterEntries);
    part.served.assign(from, update.served.end());
    update.served.erase(from, update.served.end());
    Send(peer, std::move(part));
  }
  Send(peer, std::move(update));
}

void CoreImpl::SendSuspects() {
  const SuspectUpdate changes = suspects_.TakeChanges();
  if (changes.entries.empty()) {
    return;
  }
  for (const VmId it : membership_.neighbours()) {
    Send(it, changes);
  }
}

bool CoreImpl::MayOwn(TimePoint now) { return IsServing(now) && !is_draining_; }

void CoreImpl::RefreshOwnership(TimePoint now) {
  ownership_at_ = now;
  owned_.clear();
  owners_.clear();
  owned_from_ = membership_.shared_list();
  if (!owned_from_ || !bundle()) {
    return;
  }
  const bool may_own = MayOwn(now);
  for (const Vm& vm : owned_from_->vms()) {
    if (vm.role != VmRole::kTarget || vm.leaving ||
        !bundle()->IsZoneInService(vm.zone)) {
      continue;
    }
    const auto owner = membership_.OwnerOf(now, vm, may_own);
    if (!owner) {
      continue;
    }
    auto& owners = owners_[vm.service];
    if (std::find(owners.begin(), owners.end(), *owner) == owners.end()) {
      owners.push_back(*owner);
    }
    if (*owner == self_) {
      owned_.push_back(&vm);
    }
  }
}

void CoreImpl::RenewLeases(TimePoint now) {
  if (now - leases_asked_at_ < kLeaseRenewInterval || !MayOwn(now)) {
    return;
  }
  leases_asked_at_ = now;
  // Warm targets need no lease, so a fleet at rest sends nothing here.
  std::map<VmId, std::vector<TargetId>> wanted;
  for (const Vm* target : owned_) {
    const Service* service = bundle()->FindService(target->service);
    if (service == nullptr || allocator_.IsWarm(now, *target, service->kind)) {
      continue;
    }
    for (const VmId it : membership_.Electorate(target->id)) {
      wanted[it].push_back(target->id);
    }
  }
  for (const auto& [voter, targets] : wanted) {
    if (voter == self_) {
      CountVote(now, self_, now,
                voter_.Vote(now, self_, incarnation_, targets));
      continue;
    }
    Send(voter, LeaseRequest{membership_.list()->revision(),
                             now.time_since_epoch().count(), targets});
  }
}

void CoreImpl::CountVote(TimePoint now, VmId voter, TimePoint asked_at,
                         const std::vector<TargetId>& targets) {
  for (const TargetId begun :
       leases_.TakeVote(now, voter, asked_at, targets, membership_)) {
    // An earlier holder's work may still run; only a new report shows it.
    allocator_.RequireNewReport(now, begun);
    Note(now, 0, "lease on " + TargetName(begun) + " begins");
  }
}

bool CoreImpl::HoldsLease(TimePoint now, TargetId target) {
  return leases_.CoversGrant(now, target, membership_);
}

double CoreImpl::UnseenScale() const {
  if (!membership_.UsesRing()) {
    return 1;
  }
  // Other owners give as much to the same accounts before totals come back.
  std::size_t most = 1;
  for (const auto& [service, owners] : owners_) {
    most = std::max(most, owners.size());
  }
  return static_cast<double>(most);
}

void CoreImpl::AllocateSlots(TimePoint now) {
  if (owned_.empty() || !MayOwn(now)) {
    return;
  }
  const auto issued = allocator_.Allocate(
      now, *bundle(), owned_, membership_, counters_,
      [&](TargetId target) { return HoldsLease(now, target); }, UnseenScale());
  for (const AddressedGrant& it : issued) {
    if (it.requester == self_) {
      TakeGrant(now, self_, incarnation_, it.grant);
      continue;
    }
    actions_.push_back(SendToPeer{{self_, incarnation_, it.requester,
                                   it.requester_incarnation, it.grant}});
  }
}

std::vector<VmId> CoreImpl::SomeOf(TimePoint now, ServiceId service,
                                   const std::vector<VmId>& owners) const {
  // A router with much to do asks more, as its customers may come nowhere
  // else.
  const std::size_t count =
      std::clamp(requests_.WaitingOf(service) / kWaitingForAnOwner,
                 kMinOwnersAsked, kMaxOwnersAsked);
  if (owners.size() <= count) {
    return owners;
  }
  const auto round = static_cast<std::uint64_t>(now.time_since_epoch().count() /
                                                kOwnerRotation.count());
  const std::uint64_t first =
      RendezvousWeight(self_.value(), static_cast<std::uint32_t>(round));
  std::vector<VmId> some;
  for (std::size_t i = 0; i < count; ++i) {
    some.push_back(owners[(first + i) % owners.size()]);
  }
  return some;
}

std::vector<VmId> CoreImpl::OwnersToAsk(TimePoint now, ServiceId service) {
  const auto oldest = requests_.OldestWaiting(service);
  const auto found = owners_.find(service);
  if (!oldest || found == owners_.end()) {
    return {};
  }
  std::vector<VmId> local;
  std::copy_if(found->second.begin(), found->second.end(),
               std::back_inserter(local),
               [this](VmId it) { return !IsRemote(it); });
  const Duration waited = now - *oldest;
  if (local.empty() || waited >= kSpreadEverywhereAfter) {
    return SomeOf(now, service, found->second);
  }
  if (waited >= kSpreadInRegionAfter || local.size() == 1) {
    return SomeOf(now, service, local);
  }
  const auto self = std::find(local.begin(), local.end(), self_);
  return {self != local.end() ? self_ : local[demand_sequence_ % local.size()]};
}

void CoreImpl::SendDemands(TimePoint now) {
  if (!IsServing(now)) {
    return;
  }
  std::set<DemandLinkKey> asked;
  for (const ServiceId service : requests_.WaitingServices()) {
    for (const VmId owner : OwnersToAsk(now, service)) {
      if (settings_.guards.spreads_demand || owner == self_) {
        asked.insert({service, owner});
        demand_links_[{service, owner}];
      }
    }
  }
  for (auto& [key, link] : demand_links_) {
    const bool asks = asked.contains(key);
    const Duration interval = IsRemote(key.second) || membership_.UsesRing()
                                  ? kRemoteDemandInterval
                                  : kDemandInterval;
    const Duration waited = now - link.sent_at;
    const bool is_due =
        (asks && (link.unanswered <= 0 || waited >= interval)) ||
        (!asks && link.had_demand && waited >= interval) ||
        (link.had_grants && waited >= kHeldRefreshInterval);
    if (is_due || (key.second == self_ && asks)) {
      SendDemand(now, key.first, key.second, asks);
    }
  }
}

void CoreImpl::SendDemand(TimePoint now, ServiceId service, VmId owner,
                          bool asks) {
  DemandLink& link = demand_links_[{service, owner}];
  Demand demand;
  demand.service = service;
  demand.sequence = ++demand_sequence_;
  demand.sent_at_us = now.time_since_epoch().count();
  if (asks) {
    demand.entries = requests_.Waiting(service, kMaxDemandPerAccount);
    if (membership_.UsesRing()) {
      for (DemandEntry& it : demand.entries) {
        it.total = counters_.Total(AccountOf(service, it.customer));
      }
    }
  }
  demand.held_grants = requests_.HeldGrants(
      owner, owner == self_ ? incarnation_ : membership_.IncarnationOf(owner),
      service);
  link.sent_at = now;
  link.unanswered = 0;
  for (const DemandEntry& it : demand.entries) {
    link.unanswered += it.waiting;
  }
  link.had_demand = asks;
  link.had_grants = !demand.held_grants.empty() || asks;
  if (owner == self_) {
    allocator_.TakeDemand(now, self_, incarnation_, demand, counters_);
    allocation_due_ = true;
    return;
  }
  Send(owner, std::move(demand));
}

}  // namespace corianderpost::internal
