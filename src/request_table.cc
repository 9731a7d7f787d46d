#include "corianderpost/internal/request_table.h"

#include <algorithm>

namespace corianderpost::internal {

Request& RequestTable::Add(TimePoint now, const RequestArrived& arrived) {
  Request& request = requests_[arrived.id];
  request.arrived = arrived;
  request.arrived_at = now;
  request.waiting_since = now;
  queues_[{arrived.service, arrived.customer}].push_back(arrived.id);
  ++waiting_total_;
  return request;
}

void RequestTable::Requeue(TimePoint now, RequestId id) {
  Request& request = requests_.at(id);
  request.waiting_since = now;
  queues_[{request.arrived.service, request.arrived.customer}].push_front(id);
  ++waiting_total_;
}

void RequestTable::RemoveFromQueue(const Request& request) {
  const auto it =
      queues_.find({request.arrived.service, request.arrived.customer});
  if (it == queues_.end()) {
    return;
  }
  waiting_total_ -= std::erase(it->second, request.arrived.id);
  if (it->second.empty()) {
    queues_.erase(it);
  }
}

void RequestTable::Erase(RequestId id) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) {
    return;
  }
  RemoveFromQueue(it->second);
  requests_.erase(it);
}

Request* RequestTable::Find(RequestId id) {
  const auto it = requests_.find(id);
  return it == requests_.end() ? nullptr : &it->second;
}

Attempt* RequestTable::FindAttempt(AttemptId id) {
  const auto it = attempts_.find(id);
  return it == attempts_.end() ? nullptr : &it->second;
}

std::optional<AttemptId> RequestTable::Begin(ServiceId service,
                                             CustomerId customer,
                                             const Attempt& attempt,
                                             const MayRun& may_run) {
  const auto queue = queues_.find({service, customer});
  if (queue == queues_.end()) {
    return std::nullopt;
  }
  for (const RequestId id : queue->second) {
    Request& request = requests_.at(id);
    if (!may_run(request)) {
      continue;
    }
    RemoveFromQueue(request);
    const AttemptId next = next_attempt_++;
    request.attempt = next;
    ++request.attempts;
    attempts_[next] = attempt;
    attempts_[next].request = id;
    return next;
  }
  return std::nullopt;
}

Attempt RequestTable::End(AttemptId id) {
  const auto it = attempts_.find(id);
  const Attempt ended = it->second;
  attempts_.erase(it);
  requests_.at(ended.request).attempt = 0;
  return ended;
}

std::vector<DemandEntry> RequestTable::Waiting(ServiceId service,
                                               int limit) const {
  std::vector<DemandEntry> entries;
  for (auto it = queues_.lower_bound({service, CustomerId()});
       it != queues_.end() && it->first.first == service; ++it) {
    const std::size_t count =
        std::min(it->second.size(), static_cast<std::size_t>(limit));
    entries.push_back({it->first.second, static_cast<std::uint32_t>(count)});
  }
  return entries;
}

std::size_t RequestTable::WaitingOf(ServiceId service,
                                    CustomerId customer) const {
  const auto it = queues_.find({service, customer});
  return it == queues_.end() ? 0 : it->second.size();
}

std::size_t RequestTable::WaitingOf(ServiceId service) const {
  std::size_t count = 0;
  for (auto it = queues_.lower_bound({service, CustomerId()});
       it != queues_.end() && it->first.first == service; ++it) {
    count += it->second.size();
  }
  return count;
}

std::optional<TimePoint> RequestTable::OldestWaiting(ServiceId service) const {
  std::optional<TimePoint> oldest;
  for (auto it = queues_.lower_bound({service, CustomerId()});
       it != queues_.end() && it->first.first == service; ++it) {
    const TimePoint since = requests_.at(it->second.front()).waiting_since;
    oldest = std::min(oldest.value_or(since), since);
  }
  return oldest;
}

std::vector<ServiceId> RequestTable::WaitingServices() const {
  std::vector<ServiceId> services;
  for (const auto& [key, queue] : queues_) {
    if (services.empty() || services.back() != key.first) {
      services.push_back(key.first);
    }
  }
  return services;
}

std::vector<AccountId> RequestTable::WaitingAccounts() const {
  std::vector<AccountId> accounts;
  accounts.reserve(queues_.size());
  for (const auto& [key, queue] : queues_) {
    accounts.push_back(AccountOf(key.first, key.second));
  }
  return accounts;
}

std::vector<RequestId> RequestTable::WaitingWhere(
    const std::function<bool(const Request&)>& is_match) const {
  std::vector<RequestId> found;
  for (const auto& [key, queue] : queues_) {
    std::copy_if(queue.begin(), queue.end(), std::back_inserter(found),
                 [&](RequestId id) { return is_match(requests_.at(id)); });
  }
  std::sort(found.begin(), found.end());
  return found;
}

std::vector<std::uint64_t> RequestTable::HeldGrants(VmId owner,
                                                    Incarnation incarnation,
                                                    ServiceId service) const {
  std::vector<std::uint64_t> grants;
  for (const auto& [id, attempt] : attempts_) {
    if (attempt.owner == owner && attempt.owner_incarnation == incarnation &&
        attempt.service == service) {
      grants.push_back(attempt.grant);
    }
  }
  return grants;
}

std::vector<AttemptId> RequestTable::AttemptsOn(TargetId target) const {
  std::vector<AttemptId> found;
  for (const auto& [id, attempt] : attempts_) {
    if (attempt.target == target) {
      found.push_back(id);
    }
  }
  return found;
}

}  // namespace corianderpost::internal
