// The requests that a router has in hand, waiting or running.
#ifndef CORIANDERPOST_INTERNAL_REQUEST_TABLE_H_
#define CORIANDERPOST_INTERNAL_REQUEST_TABLE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "corianderpost/events.h"

namespace corianderpost::internal {

struct Request {
  RequestArrived arrived;
  TimePoint arrived_at;
  TimePoint waiting_since;
  // Zero while it waits.
  AttemptId attempt = 0;
  int attempts = 0;
  // Output units that the caller has been given.
  std::uint64_t delivered_units = 0;
  // True once a target may have begun it.
  bool may_have_begun = false;
  // True if this router's key registry let it run.
  bool has_key = false;
  bool is_abandoned = false;

  AccountId account() const {
    return AccountOf(arrived.service, arrived.customer);
  }
};

// One try of a request on a target, under an owner's grant.
struct Attempt {
  RequestId request = 0;
  TargetId target;
  VmId owner;
  Incarnation owner_incarnation = 0;
  std::uint64_t grant = 0;
  std::uint64_t units = 0;
  ServiceId service;
};

// Aggregate of requests and their attempts: a request waits in one queue or
// has one attempt. Belongs to one core; not thread-safe.
class RequestTable {
 public:
  // Puts a new request at the end of its account's queue.
  Request& Add(TimePoint now, const RequestArrived& arrived);
  // Puts a request that has no attempt any more at the front of its queue.
  void Requeue(TimePoint now, RequestId id);
  // Takes a request out for good. Its attempt must have ended.
  void Erase(RequestId id);

  // Returns null if there is no such request or attempt.
  Request* Find(RequestId id);
  Attempt* FindAttempt(AttemptId id);

  // Begins an attempt of the account's first waiting request that `may_run`.
  // Returns nothing if there is none.
  using MayRun = std::function<bool(const Request&)>;
  std::optional<AttemptId> Begin(ServiceId service, CustomerId customer,
                                 const Attempt& attempt, const MayRun& may_run);
  // Ends the attempt and returns it; the request then neither waits nor runs.
  Attempt End(AttemptId id);

  // Waiting requests of each customer with the service.
  std::vector<DemandEntry> Waiting(ServiceId service, int limit) const;
  std::size_t WaitingOf(ServiceId service, CustomerId customer) const;
  std::size_t WaitingOf(ServiceId service) const;
  std::size_t WaitingTotal() const { return waiting_total_; }
  // When the service's longest waiting request began to wait.
  std::optional<TimePoint> OldestWaiting(ServiceId service) const;
  std::vector<ServiceId> WaitingServices() const;
  std::vector<AccountId> WaitingAccounts() const;
  // Waiting requests that `is_match`, in order of arrival.
  std::vector<RequestId> WaitingWhere(
      const std::function<bool(const Request&)>& is_match) const;

  // Grants that running attempts hold from the owner for the service.
  std::vector<std::uint64_t> HeldGrants(VmId owner, Incarnation incarnation,
                                        ServiceId service) const;
  // Running attempts on the target.
  std::vector<AttemptId> AttemptsOn(TargetId target) const;
  const std::map<AttemptId, Attempt>& attempts() const { return attempts_; }

  std::size_t size() const { return requests_.size(); }

 private:
  using QueueKey = std::pair<ServiceId, CustomerId>;
  void RemoveFromQueue(const Request& request);

  std::map<RequestId, Request> requests_;
  std::map<AttemptId, Attempt> attempts_;
  std::map<QueueKey, std::deque<RequestId>> queues_;
  std::size_t waiting_total_ = 0;
  AttemptId next_attempt_ = 1;
};

}  // namespace corianderpost::internal

#endif  // CORIANDERPOST_INTERNAL_REQUEST_TABLE_H_
