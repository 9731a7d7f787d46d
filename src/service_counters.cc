#include "corianderpost/internal/service_counters.h"

#include <algorithm>

namespace corianderpost::internal {
namespace {

// How often a change is reported to its account's home.
constexpr std::size_t kReportRepeats = 3;

}  // namespace

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
  const std::uint64_t own =
      Served(account) + (it == lifts_.end() ? 0 : it->second.units);
  const auto fleet = fleet_totals_.find(account);
  return fleet == fleet_totals_.end() ? own : std::max(own, fleet->second);
}

void ServiceCounters::NoteFleetTotal(AccountId account, std::uint64_t units) {
  std::uint64_t& total = fleet_totals_[account];
  total = std::max(total, units);
}

std::map<VmId, CounterUpdate> ServiceCounters::ChangesByHome(
    const HomeOf& home_of) {
  const std::uint64_t since =
      reported_changes_.empty() ? 0 : reported_changes_.front();
  reported_changes_.push_back(change_);
  if (reported_changes_.size() > kReportRepeats) {
    reported_changes_.pop_front();
  }
  std::map<VmId, CounterUpdate> updates;
  for (const auto& [key, entry] : served_) {
    if (key.router == self_ && entry.changed_at > since) {
      updates[home_of(key.account)].served.push_back(
          {key.router, key.incarnation, key.account, entry.units});
    }
  }
  for (const auto& [account, entry] : lifts_) {
    if (entry.changed_at > since && entry.learnt_from == self_) {
      updates[home_of(account)].lifts.push_back({account, entry.units});
    }
  }
  return updates;
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
