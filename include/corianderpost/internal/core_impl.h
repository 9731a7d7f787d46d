// The implementation behind RouterCore: wires the aggregates together.
//
// Its parts stand in three sources: core_impl.cc (events of the platform, life
// cycle, status), core_requests.cc (callers' requests and attempts) and
// core_peers.cc (exchange with other routers, ownership of targets).
#ifndef CORIANDERPOST_INTERNAL_CORE_IMPL_H_
#define CORIANDERPOST_INTERNAL_CORE_IMPL_H_

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "corianderpost/internal/configuration_keeper.h"
#include "corianderpost/internal/crash_suspects.h"
#include "corianderpost/internal/key_registry.h"
#include "corianderpost/internal/leases.h"
#include "corianderpost/internal/membership.h"
#include "corianderpost/internal/request_table.h"
#include "corianderpost/internal/retry_budget.h"
#include "corianderpost/internal/service_counters.h"
#include "corianderpost/internal/slot_allocator.h"
#include "corianderpost/router_core.h"

namespace corianderpost::internal {

// Not thread-safe.
class CoreImpl final : public RouterCore {
 public:
  CoreImpl(RouterCoreSettings settings, TimePoint now);

  std::vector<Action> Handle(TimePoint now, const Event& event) override;
  bool IsServing(TimePoint now) override;
  bool IsDrained() const override;
  std::shared_ptr<const Bundle> bundle() const override {
    return configuration_.bundle();
  }
  std::shared_ptr<const VmList> vm_list() const override {
    return membership_.shared_list();
  }
  RouterStatus Status(TimePoint now) override;
  std::vector<Decision> Explain(RequestId request) const override;

 private:
  // What was last sent to one owner about one service.
  struct DemandLink {
    TimePoint sent_at;
    // Requests that it names and the owner has not answered.
    std::int64_t unanswered = 0;
    bool had_demand = false;
    bool had_grants = false;
  };
  using DemandLinkKey = std::pair<ServiceId, VmId>;

  // core_impl.cc: platform, time, life cycle.
  void On(TimePoint now, const BundleSeen& event);
  void On(TimePoint now, const BundleReadFailed& event);
  void On(TimePoint now, const VmListSeen& event);
  void On(TimePoint now, const LoadReported& event);
  void On(TimePoint now, const LoadReportFailed& event);
  void On(TimePoint now, const DrainRequested& event);
  void On(TimePoint now, const Tick& event);
  void Settle(TimePoint now);
  void ReadPlatform(TimePoint now);
  void PollLoads(TimePoint now);
  void CheckInvariants();
  std::vector<TargetStatus> TargetStatuses(TimePoint now);
  std::vector<AccountStatus> AccountStatuses() const;
  void Note(TimePoint now, RequestId request, std::string text);
  std::string TargetName(TargetId target) const;
  std::string CustomerName(CustomerId customer) const;

  // core_requests.cc: requests and attempts.
  void On(TimePoint now, const RequestArrived& event);
  void On(TimePoint now, const RequestAbandoned& event);
  void On(TimePoint now, const AttemptProgress& event);
  void On(TimePoint now, const AttemptEnded& event);
  std::optional<Refuse> AdmissionRefusal(TimePoint now,
                                         const RequestArrived& event);
  // Returns true if the request may be queued; answers it otherwise.
  bool AdmitKey(TimePoint now, const RequestArrived& event);
  void AnswerClaim(TimePoint now, const RequestArrived& event,
                   const Claim& claim);
  void TakeGrant(TimePoint now, VmId owner, Incarnation owner_incarnation,
                 const Grant& grant);
  // Returns false for a copy of a grant that came before.
  bool NoteGrant(TimePoint now, VmId owner, Incarnation owner_incarnation,
                 const Grant& grant);
  bool MayUseGrant(TimePoint now, const Grant& grant);
  bool MayRunOn(TimePoint now, const Request& request, TargetId target);
  void GiveBack(TimePoint now, VmId owner, Incarnation owner_incarnation,
                const Release& release);
  void EndFailedAttempt(TimePoint now, const Attempt& attempt,
                        AttemptOutcome outcome);
  void NoteTargetCrash(TimePoint now, const Attempt& attempt);
  bool MayRetry(TimePoint now, const Request& request, AttemptOutcome outcome);
  void FinishRefused(TimePoint now, RequestId id, RefusalReason reason,
                     Duration retry_after);
  void FinishComplete(TimePoint now, RequestId id);
  void RefuseOverdue(TimePoint now);

  // core_peers.cc: other routers and owned targets.
  void On(TimePoint now, const PeerMessageReceived& event);
  void OnMessage(TimePoint now, const PeerEnvelope& from, const Heartbeat& it);
  void OnMessage(TimePoint now, const PeerEnvelope& from,
                 const CounterUpdate& it);
  void OnMessage(TimePoint now, const PeerEnvelope& from, const Demand& it);
  void OnMessage(TimePoint now, const PeerEnvelope& from, const Grant& it);
  void OnMessage(TimePoint now, const PeerEnvelope& from, const Release& it);
  void OnMessage(TimePoint now, const PeerEnvelope& from,
                 const LeaseRequest& it);
  void OnMessage(TimePoint now, const PeerEnvelope& from, const LeaseVote& it);
  void OnMessage(TimePoint now, const PeerEnvelope& from,
                 const SuspectUpdate& it);
  void OnMessage(TimePoint now, const PeerEnvelope& from,
                 const AccountTotals& it);
  // Tells a router that is new here what a new life needs.
  void Welcome(TimePoint now, VmId peer);
  void Send(VmId to, PeerMessage message);
  void SendHeartbeats(TimePoint now);
  void SendCounters(TimePoint now);
  void SendCountersTo(TimePoint now, VmId peer, bool is_remote);
  // In large fleets: tells accounts' homes what changed, and answers as one.
  void ReportToHomes(TimePoint now);
  void AnswerAsHome(VmId reporter, const CounterUpdate& update);
  void SendSuspects();
  void RenewLeases(TimePoint now);
  void CountVote(TimePoint now, VmId voter, TimePoint asked_at,
                 const std::vector<TargetId>& targets);
  bool MayOwn(TimePoint now);
  void RefreshOwnership(TimePoint now);
  bool HoldsLease(TimePoint now, TargetId target);
  double UnseenScale() const;
  void AllocateSlots(TimePoint now);
  void SendDemands(TimePoint now);
  void SendDemand(TimePoint now, ServiceId service, VmId owner, bool asks);
  // A few of many owners, others from time to time.
  std::vector<VmId> SomeOf(TimePoint now, ServiceId service,
                           const std::vector<VmId>& owners) const;
  std::vector<VmId> OwnersToAsk(TimePoint now, ServiceId service);
  bool IsRemote(VmId router) const;

  const RouterCoreSettings settings_;
  const VmId self_;
  Incarnation incarnation_;
  InvariantMonitor invariants_;
  Membership membership_;
  ConfigurationKeeper configuration_;
  ServiceCounters counters_;
  SlotAllocator allocator_;
  LeaseVoter voter_;
  LeaseHolder leases_;
  KeyRegistry keys_;
  CrashSuspects suspects_;
  RetryBudget retries_;
  RequestTable requests_;

  std::vector<Action> actions_;
  std::deque<Decision> decisions_;
  bool is_draining_ = false;
  bool allocation_due_ = false;
  bool demand_due_ = false;
  bool was_serving_ = false;
  TimePoint not_serving_since_;
  TimePoint last_now_;
  std::uint64_t last_revision_ = 0;

  // Ownership, refreshed from time to time.
  std::vector<const Vm*> owned_;
  std::shared_ptr<const VmList> owned_from_;
  std::map<ServiceId, std::vector<VmId>> owners_;
  TimePoint ownership_at_;
  TimePoint exchanged_at_;
  // When a target was last seen to die.
  std::map<TargetId, TimePoint> crash_noted_at_;

  // Grants that came in, until none of them can be used any more.
  struct GrantKey {
    VmId owner;
    Incarnation owner_incarnation = 0;
    std::uint64_t id = 0;
    friend auto operator<=>(const GrantKey&, const GrantKey&) = default;
  };
  std::map<GrantKey, TimePoint> grants_seen_;

  // Exchange with peers.
  std::map<VmId, TimePoint> heartbeat_sent_at_;
  std::map<VmId, TimePoint> counters_sent_at_;
  std::map<VmId, TimePoint> counters_repaired_at_;
  TimePoint leases_asked_at_;
  TimePoint housekeeping_at_;
  TimePoint list_pulled_at_;
  std::map<DemandLinkKey, DemandLink> demand_links_;
  std::uint64_t demand_sequence_ = 0;
  std::uint64_t gossip_round_ = 0;
  TimePoint gossiped_at_;
  TimePoint homes_told_at_;
  TimePoint homes_repaired_at_;
};

}  // namespace corianderpost::internal

#endif  // CORIANDERPOST_INTERNAL_CORE_IMPL_H_
