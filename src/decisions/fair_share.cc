#include "decisions/fair_share.h"

#include <algorithm>
#include <limits>

namespace corianderpost {
namespace {

// Demand is metered over about the users' window of fairness, 4 s, so that a
// customer's burst counts within it.
constexpr Duration kDemandTimeConstant = std::chrono::milliseconds(1500);
// What is given is metered over a shorter time, so that a customer whose burst
// begins can't run far ahead before it shows.
constexpr Duration kServedTimeConstant = std::chrono::milliseconds(700);
// The level is computed again this often.
constexpr Duration kLevelInterval = std::chrono::milliseconds(100);
// A bucket holds this many seconds of a customer's rate.
constexpr double kBucketSeconds = 1.0;
// A customer beyond its share is given at most this multiple of what another
// that waits is given; the users' rule allows a factor of two.
constexpr double kSpareRatio = 1.25;
// A customer that is given less than this part of what it asks waits.
constexpr double kWaitingPart = 0.9;
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

FairShare::Account& FairShare::AccountOf(TimePoint now, CustomerId customer) {
  const auto it = accounts_.find(customer);
  if (it != accounts_.end()) {
    return it->second;
  }
  return accounts_
      .emplace(customer, Account{RateMeter(kDemandTimeConstant),
                                 RateMeter(kServedTimeConstant), 0, now})
      .first->second;
}

void FairShare::NoteAsked(TimePoint now, CustomerId customer, double units) {
  AccountOf(now, customer).asked.Add(now, units);
}

void FairShare::Update(TimePoint now) {
  if (has_level_ && now - level_at_ < kLevelInterval) {
    return;
  }
  total_ = peer_demand_;
  for (const auto& [customer, account] : accounts_) {
    CustomerRates& rates = total_[customer];
    rates.asked += account.asked.PerSecond(now);
    rates.served += account.served.PerSecond(now);
  }
  std::vector<double> demands;
  demands.reserve(total_.size());
  for (const auto& [customer, rates] : total_) {
    demands.push_back(rates.asked);
  }
  level_ = MaxMinLevel(std::move(demands), capacity_);
  level_at_ = now;
  has_level_ = true;
}

double FairShare::Level(TimePoint now) {
  if (capacity_ <= 0) {
    return std::numeric_limits<double>::infinity();
  }
  Update(now);
  return level_;
}

bool FairShare::AsksWithinShare(TimePoint now, CustomerId customer) {
  const double level = Level(now);
  const auto it = total_.find(customer);
  return it == total_.end() || it->second.asked <= level;
}

double FairShare::ServedPart(TimePoint now, CustomerId customer) {
  const double level = Level(now);
  const auto it = total_.find(customer);
  if (it == total_.end() || it->second.asked <= 0) {
    return 1.0;
  }
  return it->second.served / std::min(level, it->second.asked);
}

bool FairShare::MayUseSpare(TimePoint now, CustomerId customer) {
  Update(now);
  const auto own = total_.find(customer);
  if (own == total_.end()) {
    return true;
  }
  for (const auto& [other, rates] : total_) {
    const bool waits = other != customer && rates.asked > level_ &&
                       rates.served < kWaitingPart * rates.asked;
    if (waits && own->second.served > kSpareRatio * rates.served) {
      return false;
    }
  }
  return true;
}

double FairShare::LocalRate(TimePoint now, CustomerId customer,
                            const Account& account) {
  const double level = Level(now);
  const double own = account.asked.PerSecond(now);
  const auto peers = peer_demand_.find(customer);
  const double total =
      own + (peers == peer_demand_.end() ? 0.0 : peers->second.asked);
  if (total <= level) {
    return std::numeric_limits<double>::infinity();
  }
  return level * own / total;
}

void FairShare::Fill(TimePoint now, CustomerId customer, Account& account) {
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

void FairShare::Charge(TimePoint now, CustomerId customer, double units) {
  Account& account = AccountOf(now, customer);
  Fill(now, customer, account);
  account.bucket -= units;
  account.served.Add(now, units);
}

Duration FairShare::TimeUntilWithinShare(TimePoint now, CustomerId customer) {
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
    const CustomerRates rates{account.asked.PerSecond(now),
                              account.served.PerSecond(now)};
    if (rates.asked >= 1.0) {
      demand.emplace(customer, rates);
    }
  }
  return demand;
}

}  // namespace corianderpost
