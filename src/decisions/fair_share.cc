#include "decisions/fair_share.h"

#include <algorithm>
#include <limits>

namespace corianderpost {
namespace {

// Fairness is required over windows of 4 s. With this time constant, about 93 %
// of the weight lies within the last 4 s, so a burst counts within its window.
constexpr Duration kDemandTimeConstant = std::chrono::milliseconds(1500);
// Admitted units are averaged over a shorter time, so that a customer that
// starts a burst is noticed before it is far ahead of the others.
constexpr Duration kAdmittedTimeConstant = std::chrono::milliseconds(700);
// Interval between computations of the share level.
constexpr Duration kLevelInterval = std::chrono::milliseconds(100);
// Capacity of a token bucket, in seconds of its refill rate.
constexpr double kBucketSeconds = 1.0;
// A customer may use spare capacity only while its admitted rate is at most
// this multiple of that of every other customer with unmet demand. The fairness
// requirement allows a factor of two.
constexpr double kMaxAdmittedRatio = 1.25;
// A customer above its share has unmet demand if less than this fraction of its
// demand is admitted.
constexpr double kSatisfiedFraction = 0.9;
// Least demand in units per second of a customer that counts as one with
// demand.
constexpr double kMinDemand = 1.0;
// Maximum debt of a token bucket, in seconds of its refill rate.
constexpr double kMaxDebtSeconds = 1.0;
// The same for corrections of charges. They are owed for requests that have
// already run, so little of them is forgiven, but a customer must not be
// rejected for most of a window in which shares must be fair.
constexpr double kMaxOwedSeconds = 2.0;
// Maximum units by which a customer counts as ahead of its share, in seconds of
// the share level: the length of the window in which shares must be fair.
constexpr double kMaxAheadSeconds = 6.0;
// A customer that is ahead still gets this part of its share, since its
// requests must not wait for the whole window.
constexpr double kMinRepaidPart = 0.5;
// Upper bound of the time between two updates of the level.
constexpr double kMaxLevelAgeSeconds = 0.5;
// Upper bound of the time that a rejected caller is told to wait.
constexpr double kMaxCreditWaitSeconds = 2.0;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

double MaxMinLevel(std::vector<double> demands, double capacity) {
  std::sort(demands.begin(), demands.end());
  double remaining = capacity;
  for (std::size_t i = 0; i < demands.size(); ++i) {
    const double share = remaining / static_cast<double>(demands.size() - i);
    if (demands[i] > share) {
      return share;
    }
    remaining -= demands[i];
  }
  return std::numeric_limits<double>::infinity();
}

void FairShare::SetPeerRates(RatesByCustomer rates) {
  peer_rates_ = std::move(rates);
}

FairShare::Account& FairShare::FindOrCreateAccount(TimePoint now,
                                                   CustomerId customer) {
  const auto it = accounts_.find(customer);
  if (it != accounts_.end()) {
    return it->second;
  }
  return accounts_
      .emplace(customer, Account{ArrivalRate(kDemandTimeConstant),
                                 RateMeter(kAdmittedTimeConstant), 0, 0,
                                 RateMeter(kDemandTimeConstant), now})
      .first->second;
}

void FairShare::RecordDemand(TimePoint now, CustomerId customer, double units) {
  FindOrCreateAccount(now, customer).demand.Add(now, units);
}

double FairShare::AdmittedRate(TimePoint now, const Account& account) {
  return std::max(0.0, account.admitted.PerSecond(now));
}

double FairShare::DemandRate(TimePoint now, const Account& account) {
  return std::max(
      0.0, account.demand.Rising(now) + account.settled_demand.PerSecond(now));
}

void FairShare::UpdateLevel(TimePoint now) {
  if (has_level_ && now - level_updated_at_ < kLevelInterval) {
    return;
  }
  fleet_rates_ = peer_rates_;
  for (const auto& [customer, account] : accounts_) {
    CustomerRates& rates = fleet_rates_[customer];
    rates.demand += DemandRate(now, account);
    rates.admitted += AdmittedRate(now, account);
  }
  std::vector<double> demands;
  demands.reserve(fleet_rates_.size());
  for (const auto& [customer, rates] : fleet_rates_) {
    demands.push_back(rates.demand);
  }
  level_ = MaxMinLevel(std::move(demands), capacity_);
  UpdateAhead(has_level_ ? Seconds(now - level_updated_at_) : 0.0);
  level_updated_at_ = now;
  has_level_ = true;
}

void FairShare::UpdateAhead(double elapsed_seconds) {
  if (!pays_back_) {
    return;
  }
  // The reports stop while a router is suspended.
  const double seconds = std::min(elapsed_seconds, kMaxLevelAgeSeconds);
  for (const auto& [customer, rates] : fleet_rates_) {
    double& ahead = ahead_units_[customer];
    if (rates.demand <= level_) {
      ahead = 0;
      continue;
    }
    ahead = std::clamp(ahead + (rates.admitted - level_) * seconds, 0.0,
                       kMaxAheadSeconds * level_);
  }
  std::erase_if(ahead_units_, [this](const auto& it) {
    return !fleet_rates_.contains(it.first);
  });
}

bool FairShare::HasUnmetDemand(const CustomerRates& rates) const {
  return rates.demand > level_ &&
         rates.admitted < kSatisfiedFraction * rates.demand;
}

double FairShare::PaybackFactor(CustomerId customer) const {
  const auto it = ahead_units_.find(customer);
  if (it == ahead_units_.end() || it->second <= 0) {
    return 1.0;
  }
  return std::max(kMinRepaidPart, 1.0 - it->second / level_);
}

double FairShare::ShareLevel(TimePoint now) {
  if (capacity_ <= 0) {
    return std::numeric_limits<double>::infinity();
  }
  UpdateLevel(now);
  return level_;
}

const RatesByCustomer& FairShare::FleetRates(TimePoint now) {
  UpdateLevel(now);
  return fleet_rates_;
}

bool FairShare::IsDemandWithinShare(TimePoint now, CustomerId customer) {
  const double level = ShareLevel(now);
  const auto it = fleet_rates_.find(customer);
  return it == fleet_rates_.end() || it->second.demand <= level;
}

double FairShare::AdmittedFraction(TimePoint now, CustomerId customer) {
  const double level = ShareLevel(now);
  const auto it = fleet_rates_.find(customer);
  if (it == fleet_rates_.end() || it->second.demand <= 0) {
    return 1.0;
  }
  return it->second.admitted / std::min(level, it->second.demand);
}

bool FairShare::MayUseSpareCapacity(TimePoint now, CustomerId customer,
                                    bool have_engines_headroom) {
  UpdateLevel(now);
  const auto it = fleet_rates_.find(customer);
  if (it == fleet_rates_.end()) {
    return true;
  }
  // While all have their shares, a customer waits only for others that are less
  // ahead, and for none if the engines have headroom. Otherwise two that are
  // equally ahead would wait for each other.
  const bool is_every_share_served = IsEveryShareServed();
  const double payback = is_every_share_served && have_engines_headroom
                             ? 1.0
                             : PaybackFactor(customer);
  for (const auto& [other, rates] : fleet_rates_) {
    if (other == customer || !HasUnmetDemand(rates)) {
      continue;
    }
    const double part = is_every_share_served
                            ? std::min(1.0, payback / PaybackFactor(other))
                            : payback;
    if (it->second.admitted > kMaxAdmittedRatio * part * rates.admitted) {
      return false;
    }
  }
  return true;
}

bool FairShare::IsEveryShareServed() const {
  return std::all_of(
      fleet_rates_.begin(), fleet_rates_.end(), [this](const auto& it) {
        return !HasUnmetDemand(it.second) || it.second.admitted >= level_;
      });
}

bool FairShare::IsAboveEqualPart(TimePoint now, CustomerId customer) {
  UpdateLevel(now);
  const auto it = fleet_rates_.find(customer);
  const auto customers = std::count_if(
      fleet_rates_.begin(), fleet_rates_.end(),
      [](const auto& rates) { return rates.second.demand >= kMinDemand; });
  return capacity_ > 0 && it != fleet_rates_.end() && customers > 1 &&
         it->second.admitted * static_cast<double>(customers) > capacity_;
}

double FairShare::LocalRefillRate(TimePoint now, CustomerId customer,
                                  const Account& account) {
  const double level = ShareLevel(now);
  const auto it = peer_rates_.find(customer);
  const CustomerRates peer =
      it == peer_rates_.end() ? CustomerRates() : it->second;
  if (DemandRate(now, account) + peer.demand <= level) {
    return std::numeric_limits<double>::infinity();
  }
  const double local_demand = account.demand.Current(now);
  return local_demand <= 0 ? 0.0
                           : level * PaybackFactor(customer) * local_demand /
                                 (local_demand + peer.current_demand);
}

void FairShare::Refill(TimePoint now, CustomerId customer, Account& account) {
  const double rate = LocalRefillRate(now, customer, account);
  const double elapsed =
      Seconds(std::max(Duration(0), now - account.refilled_at));
  account.refilled_at = now;
  if (rate == std::numeric_limits<double>::infinity()) {
    account.credit_units = 0;
    account.owed_units = 0;
    return;
  }
  const double paid = std::min(account.owed_units, rate * elapsed);
  account.owed_units =
      std::min(account.owed_units - paid, rate * kMaxOwedSeconds);
  account.credit_units = std::min(account.credit_units + rate * elapsed - paid,
                                  rate * kBucketSeconds);
  account.credit_units =
      std::max(account.credit_units, -rate * kMaxDebtSeconds);
}

bool FairShare::HasCredit(TimePoint now, CustomerId customer) {
  Account& account = FindOrCreateAccount(now, customer);
  Refill(now, customer, account);
  return LocalRefillRate(now, customer, account) ==
             std::numeric_limits<double>::infinity() ||
         account.credit_units >= account.owed_units;
}

void FairShare::Charge(TimePoint now, CustomerId customer, double units) {
  Account& account = FindOrCreateAccount(now, customer);
  Refill(now, customer, account);
  account.credit_units -= units;
  account.admitted.Add(now, units);
}

void FairShare::Settle(TimePoint now, CustomerId customer, double units) {
  Account& account = FindOrCreateAccount(now, customer);
  Refill(now, customer, account);
  if (units >= 0) {
    account.owed_units += units;
  } else {
    const double paid = std::min(account.owed_units, -units);
    account.owed_units -= paid;
    account.credit_units -= units + paid;
  }
  account.admitted.Add(now, units);
  account.settled_demand.Add(now, units);
}

Duration FairShare::TimeUntilCredit(TimePoint now, CustomerId customer) {
  Account& account = FindOrCreateAccount(now, customer);
  Refill(now, customer, account);
  const double rate = LocalRefillRate(now, customer, account);
  const double missing = account.owed_units - account.credit_units;
  if (missing <= 0 || rate <= 0 ||
      rate == std::numeric_limits<double>::infinity()) {
    return Duration(0);
  }
  const double seconds = std::min(missing / rate, kMaxCreditWaitSeconds);
  return Duration(static_cast<std::int64_t>(seconds * 1e6));
}

double FairShare::Credit(TimePoint now, CustomerId customer) {
  Account& account = FindOrCreateAccount(now, customer);
  Refill(now, customer, account);
  return account.credit_units - account.owed_units;
}

RatesByCustomer FairShare::LocalRates(TimePoint now) const {
  RatesByCustomer local_rates;
  for (const auto& [customer, account] : accounts_) {
    const CustomerRates rates{DemandRate(now, account),
                              AdmittedRate(now, account),
                              account.demand.Current(now)};
    if (rates.demand >= kMinDemand) {
      local_rates.emplace(customer, rates);
    }
  }
  return local_rates;
}

}  // namespace corianderpost
