// The owner's side: hands out the slots of the targets that a router owns.
//
// Routers send the owner what they have waiting. The owner gives each free slot
// to the account that has received the least service for its weight over the
// whole fleet, whichever router it waits at.
#ifndef CORIANDERPOST_INTERNAL_SLOT_ALLOCATOR_H_
#define CORIANDERPOST_INTERNAL_SLOT_ALLOCATOR_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "corianderpost/bundle.h"
#include "corianderpost/clock.h"
#include "corianderpost/internal/service_counters.h"
#include "corianderpost/internal/target_slots.h"
#include "corianderpost/peer_message.h"

namespace corianderpost::internal {

class Membership;

// A grant and the router that it is for.
struct AddressedGrant {
  VmId requester;
  Incarnation requester_incarnation = 0;
  Grant grant;
};

struct AllocatorOptions {
  // False only in tests that show what the rule prevents.
  bool orders_by_service = true;
  bool lifts_idle_accounts = true;
  bool requires_lease_when_cold = true;
};

// Belongs to one core; not thread-safe.
class SlotAllocator {
 public:
  SlotAllocator(VmId self, AllocatorOptions options)
      : self_(self), options_(options) {}

  // Takes what a router has waiting. Older demands than the last are ignored.
  void TakeDemand(TimePoint now, VmId requester, Incarnation incarnation,
                  const Demand& demand, ServiceCounters& counters);
  void TakeRelease(TimePoint now, VmId requester, const Release& release);
  void TakeReport(TimePoint now, const Vm& target, ServiceKind kind,
                  const TargetReport& report);
  // Forgets what a router's earlier life held.
  void ForgetRequester(TimePoint now, VmId requester);
  void RequireNewReport(TimePoint now, TargetId target);

  // Answers whether this router holds the target's lease.
  using CoversTarget = std::function<bool(TargetId target)>;

  // Hands out free slots of `owned`, the targets that this router owns.
  // `unseen_scale` tells how much more service accounts get than this owner's
  // outstanding grants before the counters show it; 1 where counters are fresh.
  std::vector<AddressedGrant> Allocate(TimePoint now, const Bundle& bundle,
                                       const std::vector<const Vm*>& owned,
                                       const Membership& membership,
                                       const ServiceCounters& counters,
                                       const CoversTarget& covers,
                                       double unseen_scale);

  // Takes back grants of routers that were silent for too long.
  void DropSilent(TimePoint now);

  // Slots that could be granted now, for one target.
  int FreeSlots(TimePoint now, const Vm& target, const Service& service,
                bool covered);
  bool IsWarm(TimePoint now, const Vm& target, ServiceKind kind);
  TargetSlots& SlotsOf(const Vm& target, ServiceKind kind);
  int Outstanding(TargetId target) const;

  // Notes the cost of a finished request, to foresee that of a new one.
  void LearnCost(ServiceId service, std::uint64_t units);

 private:
  struct DemandState {
    Incarnation incarnation = 0;
    Demand demand;
    TimePoint received_at;
    TimePoint granted_at;
  };
  using DemandKey = std::pair<ServiceId, VmId>;
  struct Choice {
    DemandKey key;
    std::size_t entry = 0;
  };
  struct Cost {
    double units = 1;
    double seconds = 1;
  };

  struct Candidate {
    const Vm* target;
    const Service* service;
    int free = 0;
  };

  double KeyOf(const Service& service, CustomerId customer,
               const Bundle& bundle, const ServiceCounters& counters) const;
  std::vector<Candidate> FindCandidates(TimePoint now, const Bundle& bundle,
                                        const std::vector<const Vm*>& owned,
                                        const CoversTarget& covers);
  void LearnWeights(const Bundle& bundle);
  std::map<AccountId, double> PendingUnits(TimePoint now) const;
  std::optional<Choice> Choose(TimePoint now, const Service& service,
                               const Vm& target, const Bundle& bundle,
                               const Membership& membership,
                               const ServiceCounters& counters);
  AddressedGrant Issue(TimePoint now, const Vm& target, const Choice& choice);
  void LiftNewlyBacklogged(TimePoint now, const Demand& demand,
                           ServiceCounters& counters);
  bool IsBackloggedHere(TimePoint now, ServiceId service,
                        CustomerId customer) const;

  const VmId self_;
  const AllocatorOptions options_;
  std::map<TargetId, TargetSlots> slots_;
  std::map<DemandKey, DemandState> demands_;
  std::map<std::uint64_t, TargetId> target_of_grant_;
  std::map<ServiceId, Cost> costs_;
  std::map<AccountId, double> pending_;
  std::map<AccountId, double> weights_;
  double unseen_scale_ = 1;
  std::uint64_t next_grant_ = 1;
};

}  // namespace corianderpost::internal

#endif  // CORIANDERPOST_INTERNAL_SLOT_ALLOCATOR_H_
