// The router's decisions, apart from all input and output.
//
// A `RouterCore` is a deterministic state machine: the same settings and the
// same sequence of events with the same times give the same actions. It opens
// no sockets, starts no threads and reads no clock. The runtime feeds it events
// and carries out its actions; so do tests, the soak run and the benchmarks.
//
//   auto core = RouterCore::Create(settings, start);
//   for (const Action& action : (*core)->Handle(now, Tick{})) { ... }
//
// Contract with the runtime:
//   - Times never decrease, and `Tick` comes about every 10 ms.
//   - Each `Dispatch` is answered by exactly one `AttemptEnded`, also after
//     `CancelAttempt`; no `AttemptProgress` of the attempt follows it.
//   - Each `ReadConfiguration` is answered by `BundleSeen` or
//     `BundleReadFailed`.
//   - Each request gets exactly one of `Complete`, `Refuse`, `Replay` and
//     `ForwardToHome`, unless it is abandoned first.
#ifndef CORIANDERPOST_ROUTER_CORE_H_
#define CORIANDERPOST_ROUTER_CORE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "corianderpost/events.h"
#include "corianderpost/invariant.h"

namespace corianderpost {

// Rules that tests switch off, one at a time, to show what each prevents.
// Routers run with all of them on.
struct Guards {
  bool fair_order = true;
  bool idle_earns_no_credit = true;
  bool cold_needs_lease = true;
  bool voter_waits_after_start = true;
  bool grants_expire = true;
  bool grants_are_used_once = true;
  bool key_has_home = true;
  bool revisions_only_grow = true;
  bool peers_spread_revisions = true;
  bool majority_to_serve = true;
  bool lost_means_unknown = true;
  bool quarantine = true;
  bool retry_budget = true;
  bool drain_finishes_requests = true;
  bool spreads_demand = true;
  bool incarnations_go_on = true;
  friend bool operator==(const Guards&, const Guards&) = default;
};

struct RouterCoreSettings {
  VmId self;
  std::string zone;
  // Greater than that of every earlier life on this VM; see NextIncarnation.
  Incarnation incarnation = 1;
  Guards guards;
  InvariantMonitor::Sink on_violation;
};

// What a router tells operators about a target.
struct TargetStatus {
  TargetId target;
  std::string name;
  VmId owner;
  bool owned_here = false;
  // Meaningful where it is owned here.
  bool warm = false;
  bool lease_held = false;
  int outstanding = 0;
  int free = 0;
};

struct AccountStatus {
  AccountId account;
  std::string service;
  std::string customer;
  std::uint64_t units_served = 0;
  std::size_t waiting = 0;
};

struct PeerStatus {
  VmId router;
  bool heard = false;
  std::uint64_t bundle_revision = 0;
};

struct RouterStatus {
  bool serving = false;
  bool draining = false;
  std::uint64_t bundle_revision = 0;
  std::uint64_t highest_revision = 0;
  std::uint64_t list_revision = 0;
  std::size_t waiting = 0;
  std::size_t running = 0;
  std::uint64_t invariant_checks = 0;
  std::uint64_t invariant_violations = 0;
  std::vector<TargetStatus> targets;
  std::vector<AccountStatus> accounts;
  std::vector<PeerStatus> peers;
};

// One step in the life of a request.
struct Decision {
  TimePoint at;
  RequestId request = 0;
  std::string text;
};

// Returns the incarnation to start with: the wall clock's milliseconds above
// random bits, which keep two lives apart that reach the same time.
Incarnation NextIncarnation(std::uint64_t wall_micros, std::uint64_t random);
// Returns an incarnation above `seen` with the random bits of `own`.
Incarnation IncarnationAfter(Incarnation seen, Incarnation own);

// Not thread-safe: one task owns it.
class RouterCore {
 public:
  // Returns InvalidArgument if the settings name no VM or zone.
  static absl::StatusOr<std::unique_ptr<RouterCore>> Create(
      RouterCoreSettings settings, TimePoint now);
  virtual ~RouterCore() = default;
  RouterCore(const RouterCore&) = delete;
  RouterCore& operator=(const RouterCore&) = delete;

  // Takes one event and returns what to do, in order. `now` must not be less
  // than in earlier calls.
  virtual std::vector<Action> Handle(TimePoint now, const Event& event) = 0;

  // True while the router may give work to targets.
  virtual bool IsServing(TimePoint now) = 0;
  // True once a draining router has no request left.
  virtual bool IsDrained() const = 0;
  virtual std::shared_ptr<const Bundle> bundle() const = 0;
  virtual std::shared_ptr<const VmList> vm_list() const = 0;
  virtual RouterStatus Status(TimePoint now) = 0;
  // The recent decisions about the request, oldest first; 0 means any.
  virtual std::vector<Decision> Explain(RequestId request) const = 0;

 protected:
  RouterCore() = default;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_ROUTER_CORE_H_
