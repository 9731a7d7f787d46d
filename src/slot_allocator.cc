#include "corianderpost/internal/slot_allocator.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>

#include "corianderpost/internal/membership.h"
#include "corianderpost/internal/timing.h"

namespace corianderpost::internal {
namespace {

// Weight of the newest observation in running means.
constexpr double kLearningRate = 0.05;
// A demand that was not refreshed for this long is void.
constexpr Duration kDemandLifetime = milliseconds(1500);
// An account that waited anywhere this recently is no newcomer.
constexpr Duration kNewcomerWindow = milliseconds(1500);

double Blend(double old_value, double new_value) {
  return old_value + kLearningRate * (new_value - old_value);
}

double InSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

TargetSlots& SlotAllocator::SlotsOf(const Vm& target, ServiceKind kind) {
  return slots_.try_emplace(target.id, kind).first->second;
}

void SlotAllocator::TakeDemand(TimePoint now, VmId requester,
                               Incarnation incarnation, const Demand& demand,
                               ServiceCounters& counters) {
  DemandState& state = demands_[{demand.service, requester}];
  const bool is_late = state.incarnation == incarnation &&
                       demand.sequence <= state.demand.sequence;
  if (is_late || incarnation < state.incarnation) {
    return;
  }
  if (options_.lifts_idle_accounts) {
    LiftNewlyBacklogged(now, demand, counters);
  }
  state.incarnation = incarnation;
  state.demand = demand;
  state.received_at = now;

  // A grant that could have been used only before this demand was sent, and is
  // not held, is free: it ended, or it was never used and cannot be any more.
  const std::set<std::uint64_t> held(demand.held_grants.begin(),
                                     demand.held_grants.end());
  for (auto& [target, slots] : slots_) {
    std::vector<std::uint64_t> ended;
    for (const auto& [id, grant] : slots.grants()) {
      const bool is_from_here = grant.requester == requester &&
                                grant.requester_incarnation == incarnation &&
                                grant.service == demand.service;
      if (is_from_here && !held.contains(id) &&
          demand.sent_at_us > grant.demand_sent_at_us + kGrantTtl.count()) {
        ended.push_back(id);
      }
    }
    for (const std::uint64_t id : ended) {
      slots.Remove(now, id);
      target_of_grant_.erase(id);
    }
  }
}

bool SlotAllocator::IsBackloggedHere(TimePoint now, ServiceId service,
                                     CustomerId customer) const {
  for (auto it = demands_.lower_bound({service, VmId()});
       it != demands_.end() && it->first.first == service; ++it) {
    if (now - it->second.received_at > kNewcomerWindow) {
      continue;
    }
    const auto& entries = it->second.demand.entries;
    if (std::any_of(entries.begin(), entries.end(), [&](const auto& entry) {
          return entry.customer == customer;
        })) {
      return true;
    }
  }
  return false;
}

void SlotAllocator::LiftNewlyBacklogged(TimePoint now, const Demand& demand,
                                        ServiceCounters& counters) {
  const auto weight_of = [this](AccountId account) {
    const auto it = weights_.find(account);
    return it == weights_.end() ? 1.0 : it->second;
  };
  double floor = std::numeric_limits<double>::infinity();
  for (auto it = demands_.lower_bound({demand.service, VmId()});
       it != demands_.end() && it->first.first == demand.service; ++it) {
    if (now - it->second.received_at > kDemandLifetime) {
      continue;
    }
    for (const auto& entry : it->second.demand.entries) {
      const AccountId account = AccountOf(demand.service, entry.customer);
      floor = std::min(floor, static_cast<double>(counters.Total(account)) /
                                  weight_of(account));
    }
  }
  if (!std::isfinite(floor)) {
    return;
  }
  for (const auto& entry : demand.entries) {
    const AccountId account = AccountOf(demand.service, entry.customer);
    const bool is_newcomer =
        !IsBackloggedHere(now, demand.service, entry.customer) &&
        !counters.IsBackloggedElsewhere(now, account, kNewcomerWindow);
    if (is_newcomer) {
      counters.LiftTo(account,
                      static_cast<std::uint64_t>(floor * weight_of(account)));
    }
  }
}

void SlotAllocator::TakeRelease(TimePoint now, VmId requester,
                                const Release& release) {
  const auto it = target_of_grant_.find(release.grant);
  if (it == target_of_grant_.end()) {
    return;
  }
  TargetSlots& slots = slots_.at(it->second);
  const auto found = slots.grants().find(release.grant);
  if (found == slots.grants().end() || found->second.requester != requester) {
    return;
  }
  if (release.reason == ReleaseReason::kFinished) {
    Cost& cost = costs_[found->second.service];
    cost.seconds =
        Blend(cost.seconds, InSeconds(now - found->second.issued_at));
  }
  if (release.reason == ReleaseReason::kTargetFailed) {
    slots.RequireNewReport(now);
  }
  slots.Remove(now, release.grant);
  target_of_grant_.erase(it);
}

void SlotAllocator::TakeReport(TimePoint now, const Vm& target,
                               ServiceKind kind, const TargetReport& report) {
  SlotsOf(target, kind).TakeReport(now, report);
}

void SlotAllocator::RequireNewReport(TimePoint now, TargetId target) {
  const auto it = slots_.find(target);
  if (it != slots_.end()) {
    it->second.RequireNewReport(now);
  }
}

void SlotAllocator::ForgetRequester(TimePoint now, VmId requester) {
  std::erase_if(demands_, [requester](const auto& item) {
    return item.first.second == requester;
  });
  for (auto& [target, slots] : slots_) {
    std::vector<std::uint64_t> orphaned;
    for (const auto& [id, grant] : slots.grants()) {
      if (grant.requester == requester) {
        orphaned.push_back(id);
      }
    }
    for (const std::uint64_t id : orphaned) {
      slots.Remove(now, id);
      target_of_grant_.erase(id);
    }
    // Its requests may still run on the target; only a report tells.
    if (!orphaned.empty()) {
      slots.RequireNewReport(now);
    }
  }
}

void SlotAllocator::DropSilent(TimePoint now) {
  std::map<VmId, TimePoint> heard_at;
  for (const auto& [key, state] : demands_) {
    TimePoint& at = heard_at[key.second];
    at = std::max(at, state.received_at);
  }
  std::set<VmId> silent;
  for (const auto& [target, slots] : slots_) {
    for (const auto& [id, grant] : slots.grants()) {
      const TimePoint last =
          std::max(heard_at[grant.requester], grant.issued_at);
      if (grant.requester != self_ && now - last > kHolderTimeout) {
        silent.insert(grant.requester);
      }
    }
  }
  for (const VmId it : silent) {
    ForgetRequester(now, it);
  }
}

int SlotAllocator::FreeSlots(TimePoint now, const Vm& target,
                             const Service& service, bool covered) {
  return SlotsOf(target, service.kind).FreeSlots(now, service, covered);
}

bool SlotAllocator::IsWarm(TimePoint now, const Vm& target, ServiceKind kind) {
  return SlotsOf(target, kind).IsWarm(now);
}

int SlotAllocator::Outstanding(TargetId target) const {
  const auto it = slots_.find(target);
  return it == slots_.end() ? 0 : static_cast<int>(it->second.grants().size());
}

void SlotAllocator::LearnCost(ServiceId service, std::uint64_t units) {
  Cost& cost = costs_[service];
  cost.units = Blend(cost.units, static_cast<double>(units));
}

std::map<AccountId, double> SlotAllocator::PendingUnits(TimePoint now) const {
  // Units that outstanding grants are expected to cost beyond what the
  // counters show by now.
  std::map<AccountId, double> pending;
  for (const auto& [target, slots] : slots_) {
    for (const auto& [id, grant] : slots.grants()) {
      const auto cost = costs_.find(grant.service);
      const Cost expected = cost == costs_.end() ? Cost() : cost->second;
      const double elapsed = InSeconds(now - grant.issued_at);
      const double left = 1.0 - elapsed / std::max(expected.seconds, 1e-6);
      pending[grant.account] += expected.units * std::max(0.0, left);
    }
  }
  return pending;
}

double SlotAllocator::KeyOf(const Service& service, CustomerId customer,
                            const Bundle& bundle,
                            const ServiceCounters& counters) const {
  const AccountId account = AccountOf(service.id, customer);
  const auto it = pending_.find(account);
  const double units =
      static_cast<double>(counters.Total(account)) +
      (it == pending_.end() ? 0.0 : unseen_scale_ * it->second);
  return units / bundle.WeightOf(service.id, customer);
}

std::optional<SlotAllocator::Choice> SlotAllocator::Choose(
    TimePoint now, const Service& service, const Vm& target,
    const Bundle& bundle, const Membership& membership,
    const ServiceCounters& counters) {
  struct Rank {
    double key = 0;
    bool is_remote = false;
    TimePoint granted_at;
    auto operator<=>(const Rank&) const = default;
  };
  const std::string region = membership.RegionOfZone(target.zone);
  std::optional<Choice> best;
  Rank best_rank;
  for (auto it = demands_.lower_bound({service.id, VmId()});
       it != demands_.end() && it->first.first == service.id; ++it) {
    const DemandState& state = it->second;
    if (now - state.received_at > kDemandLifetime) {
      continue;
    }
    const bool is_remote =
        membership.RegionOfRouter(it->first.second) != region;
    for (std::size_t i = 0; i < state.demand.entries.size(); ++i) {
      const DemandEntry& entry = state.demand.entries[i];
      if (entry.waiting == 0) {
        continue;
      }
      const double key = options_.orders_by_service
                             ? KeyOf(service, entry.customer, bundle, counters)
                             : 0.0;
      const Rank rank{key, is_remote, state.granted_at};
      if (!best || rank < best_rank) {
        best = Choice{it->first, i};
        best_rank = rank;
      }
    }
  }
  return best;
}

AddressedGrant SlotAllocator::Issue(TimePoint now, const Vm& target,
                                    const Choice& choice) {
  DemandState& state = demands_.at(choice.key);
  DemandEntry& entry = state.demand.entries[choice.entry];
  --entry.waiting;
  state.granted_at = now;

  AddressedGrant issued;
  issued.requester = choice.key.second;
  issued.requester_incarnation = state.incarnation;
  issued.grant = {next_grant_++, target.id, choice.key.first, entry.customer,
                  state.demand.sent_at_us};
  const AccountId account = AccountOf(choice.key.first, entry.customer);
  slots_.at(target.id).Add(
      now, issued.grant.id,
      {issued.requester, state.incarnation, choice.key.first, account, now,
       state.demand.sent_at_us});
  target_of_grant_[issued.grant.id] = target.id;
  const auto cost = costs_.find(choice.key.first);
  pending_[account] += cost == costs_.end() ? 1.0 : cost->second.units;
  return issued;
}

void SlotAllocator::LearnWeights(const Bundle& bundle) {
  weights_.clear();
  for (const auto& [key, state] : demands_) {
    for (const auto& entry : state.demand.entries) {
      weights_[AccountOf(key.first, entry.customer)] =
          bundle.WeightOf(key.first, entry.customer);
    }
  }
}

std::vector<SlotAllocator::Candidate> SlotAllocator::FindCandidates(
    TimePoint now, const Bundle& bundle, const std::vector<const Vm*>& owned,
    const CoversTarget& covers) {
  std::vector<Candidate> candidates;
  for (const Vm* vm : owned) {
    const Service* service = bundle.FindService(vm->service);
    if (service == nullptr || vm->leaving ||
        !bundle.IsZoneInService(vm->zone)) {
      continue;
    }
    const bool covered = !options_.requires_lease_when_cold || covers(vm->id);
    const int free = FreeSlots(now, *vm, *service, covered);
    if (free > 0) {
      candidates.push_back({vm, service, free});
    }
  }
  return candidates;
}

std::vector<AddressedGrant> SlotAllocator::Allocate(
    TimePoint now, const Bundle& bundle, const std::vector<const Vm*>& owned,
    const Membership& membership, const ServiceCounters& counters,
    const CoversTarget& covers, double unseen_scale) {
  unseen_scale_ = unseen_scale;
  std::vector<AddressedGrant> issued;
  if (demands_.empty()) {
    return issued;
  }
  pending_ = PendingUnits(now);
  LearnWeights(bundle);
  auto candidates = FindCandidates(now, bundle, owned, covers);
  // The emptiest target goes first, so that load spreads.
  const auto fewer_free = [](const Candidate& a, const Candidate& b) {
    return a.free < b.free;
  };
  while (!candidates.empty()) {
    const auto it =
        std::max_element(candidates.begin(), candidates.end(), fewer_free);
    const auto choice =
        Choose(now, *it->service, *it->target, bundle, membership, counters);
    if (!choice) {
      const ServiceId served = it->service->id;
      std::erase_if(candidates, [served](const Candidate& candidate) {
        return candidate.service->id == served;
      });
      continue;
    }
    issued.push_back(Issue(now, *it->target, *choice));
    if (--it->free == 0) {
      candidates.erase(it);
    }
  }
  return issued;
}

}  // namespace corianderpost::internal
