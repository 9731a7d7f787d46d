#include "corianderpost/internal/service_counters.h"

#include <algorithm>

namespace corianderpost::internal {

void ServiceCounters::Charge(AccountId account, std::uint64_t units) {
  const Key key{account, self_, incarnation_};
  Raise(key, served_[key].units + units, self_);
}

void ServiceCounters::Raise(const Key& key, std::uint64_t units,
                            VmId learnt_from) {
  Entry& entry = served_[key];
  if (units <= entry.units) {
    return;
  }
  totals_[key.account] += units - entry.units;
  entry = {units, ++change_, learnt_from};
}

void ServiceCounters::Merge(TimePoint now, VmId from,
                            const CounterUpdate& update) {
  for (const auto& it : update.served) {
    // Nobody knows this incarnation's own counters better than itself.
    if (it.router != self_ || it.incarnation != incarnation_) {
      Raise({it.account, it.router, it.incarnation}, it.units, from);
    }
  }
  for (const auto& it : update.lifts) {
    Entry& lift = lifts_[it.account];
    if (it.units > lift.units) {
      lift = {it.units, ++change_, from};
    }
  }
  for (const AccountId it : update.backlogged) {
    backlogged_elsewhere_[it] = now;
  }
}

std::uint64_t ServiceCounters::Served(AccountId account) const {
  const auto it = totals_.find(account);
  return it == totals_.end() ? 0 : it->second;
}

std::uint64_t ServiceCounters::Total(AccountId account) const {
  const auto it = lifts_.find(account);
  return Served(account) + (it == lifts_.end() ? 0 : it->second.units);
}

void ServiceCounters::LiftTo(AccountId account, std::uint64_t floor) {
  const std::uint64_t total = Total(account);
  if (total >= floor) {
    return;
  }
  Entry& lift = lifts_[account];
  lift = {lift.units + floor - total, ++change_, self_};
}

bool ServiceCounters::IsBackloggedElsewhere(TimePoint now, AccountId account,
                                            Duration window) const {
  const auto it = backlogged_elsewhere_.find(account);
  return it != backlogged_elsewhere_.end() && now - it->second <= window;
}

CounterUpdate ServiceCounters::ChangesFor(VmId peer, bool everything,
                                          const Filter& relays) {
  const std::uint64_t since = everything ? 0 : sent_up_to_[peer];
  CounterUpdate update;
  for (const auto& [key, entry] : served_) {
    const bool is_news =
        entry.changed_at > since && (everything || entry.learnt_from != peer);
    if (is_news && relays(key.router)) {
      update.served.push_back(
          {key.router, key.incarnation, key.account, entry.units});
    }
  }
  for (const auto& [account, entry] : lifts_) {
    if (entry.changed_at > since && entry.learnt_from != peer) {
      update.lifts.push_back({account, entry.units});
    }
  }
  sent_up_to_[peer] = change_;
  return update;
}

}  // namespace corianderpost::internal
