#include "decisions/fair_share.h"

#include <algorithm>
#include <limits>

namespace corianderpost {
namespace {

// Demand is metered over about the users' window of fairness, 4 s, so that a
// customer's burst counts within it.
constexpr Duration kDemandTimeConstant = std::chrono::milliseconds(1500);
// The level is computed again this often.
constexpr Duration kLevelInterval = std::chrono::milliseconds(100);
// A bucket holds this many seconds of a customer's rate.
constexpr double kBucketSeconds = 1.0;
// Longest debt, in seconds of a customer's rate.
constexpr double kDebtSeconds = 1.0;
// A refused request's retry is not sent further ahead than this.
constexpr double kMaxWaitSeconds = 2.0;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

double MaxMinLevel(std::vector<double> demands, double capacity) {
  std::sort(demands.begin(), demands.end());
  double left = capacity;
  for (std::size_t i = 0; i < demands.size(); ++i) {
    const double share = left / static_cast<double>(demands.size() - i);
    if (demands[i] > share) {
      return share;
    }
    left -= demands[i];
  }
  return std::numeric_limits<double>::infinity();
}

void FairShare::SetPeerDemand(DemandByCustomer demand) {
  peer_demand_ = std::move(demand);
}

FairShare::Account& FairShare::AccountOf(TimePoint now,
                                         CustomerId customer) {
  const auto it = accounts_.find(customer);
  if (it != accounts_.end()) {
    return it->second;
  }
  return accounts_
      .emplace(customer, Account{RateMeter(kDemandTimeConstant), 0, now})
      .first->second;
}

void FairShare::NoteAsked(TimePoint now, CustomerId customer,
                          double units) {
  AccountOf(now, customer).asked.Add(now, units);
}

double FairShare::Level(TimePoint now) {
  if (capacity_ <= 0) {
    return std::numeric_limits<double>::infinity();
  }
  if (!has_level_ || now - level_at_ >= kLevelInterval) {
    DemandByCustomer total = peer_demand_;
    for (const auto& [customer, account] : accounts_) {
      total[customer] += account.asked.PerSecond(now);
    }
    std::vector<double> demands;
    demands.reserve(total.size());
    for (const auto& [customer, demand] : total) {
      demands.push_back(demand);
    }
    level_ = MaxMinLevel(std::move(demands), capacity_);
    level_at_ = now;
    has_level_ = true;
  }
  return level_;
}

double FairShare::LocalRate(TimePoint now, CustomerId customer,
                            const Account& account) {
  const double level = Level(now);
  const double own = account.asked.PerSecond(now);
  const auto peers = peer_demand_.find(customer);
  const double total =
      own + (peers == peer_demand_.end() ? 0.0 : peers->second);
  if (total <= level) {
    return std::numeric_limits<double>::infinity();
  }
  return level * own / total;
}

void FairShare::Fill(TimePoint now, CustomerId customer,
                     Account& account) {
  const double rate = LocalRate(now, customer, account);
  const double elapsed =
      Seconds(std::max(Duration(0), now - account.filled_at));
  account.filled_at = now;
  if (rate == std::numeric_limits<double>::infinity()) {
    account.bucket = 0;
    return;
  }
  account.bucket =
      std::min(account.bucket + rate * elapsed, rate * kBucketSeconds);
  account.bucket = std::max(account.bucket, -rate * kDebtSeconds);
}

bool FairShare::IsWithinShare(TimePoint now, CustomerId customer) {
  Account& account = AccountOf(now, customer);
  Fill(now, customer, account);
  return LocalRate(now, customer, account) ==
             std::numeric_limits<double>::infinity() ||
         account.bucket >= 0;
}

void FairShare::Charge(TimePoint now, CustomerId customer,
                       double units) {
  Account& account = AccountOf(now, customer);
  Fill(now, customer, account);
  account.bucket -= units;
}

Duration FairShare::TimeUntilWithinShare(TimePoint now,
                                         CustomerId customer) {
  Account& account = AccountOf(now, customer);
  Fill(now, customer, account);
  const double rate = LocalRate(now, customer, account);
  if (account.bucket >= 0 || rate <= 0 ||
      rate == std::numeric_limits<double>::infinity()) {
    return Duration(0);
  }
  const double seconds = std::min(-account.bucket / rate, kMaxWaitSeconds);
  return Duration(static_cast<std::int64_t>(seconds * 1e6));
}

DemandByCustomer FairShare::OwnDemand(TimePoint now) const {
  DemandByCustomer demand;
  for (const auto& [customer, account] : accounts_) {
    const double rate = account.asked.PerSecond(now);
    if (rate >= 1.0) {
      demand.emplace(customer, rate);
    }
  }
  return demand;
}

}  // namespace corianderpost
