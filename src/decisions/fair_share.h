// Divides the fleet's throughput between customers, max-min.
//
// Every router meters what its own callers ask and learns from its peers what
// theirs ask. From both it computes the level L at which sum(min(demand, L))
// fills the capacity. A customer that asks more than L has a token bucket at
// each router, filled at L times the router's part of the customer's demand,
// so that the buckets of all routers together admit L. What is left over goes
// to customers beyond L, but none gets far more of it than another that waits.
#ifndef CORIANDERPOST_DECISIONS_FAIR_SHARE_H_
#define CORIANDERPOST_DECISIONS_FAIR_SHARE_H_

#include <map>
#include <vector>

#include "corianderpost/clock.h"
#include "corianderpost/ids.h"
#include "decisions/rate_meter.h"

namespace corianderpost {

// What a customer asks and what it is given, in units a second.
struct CustomerRates {
  double demand = 0;
  double admitted = 0;
  friend bool operator==(const CustomerRates&, const CustomerRates&) = default;
};
using RatesByCustomer = std::map<CustomerId, CustomerRates>;

// Returns the level L at which sum(min(demand, L)) equals `capacity`, or
// infinity if all demands fit.
double MaxMinLevel(std::vector<double> demands, double capacity);

// Not thread-safe.
class FairShare {
 public:
  // Stated capacity of the whole fleet in units a second; zero if unknown, then
  // every customer is within its share. Targets that give more count as they
  // do.
  void SetCapacity(double units_per_second) { capacity_ = units_per_second; }
  // Replaces what all peers together report.
  void SetPeerRates(RatesByCustomer rates);

  // Meters a request; call once for each, also for those refused later.
  void RecordDemand(TimePoint now, CustomerId customer, double units);

  // Returns whether the customer's bucket is not in debt. Takes nothing.
  bool HasCredit(TimePoint now, CustomerId customer);
  // Returns whether the customer asks no more than its share, over all routers.
  bool IsDemandWithinShare(TimePoint now, CustomerId customer);
  // Returns what the customer is given as a part of its share, over all
  // routers; one if it asks nothing.
  double AdmittedFraction(TimePoint now, CustomerId customer);
  // Returns whether a customer beyond its share may use capacity that is left
  // over: no other customer that waits has been given much less.
  bool MayUseSpareCapacity(TimePoint now, CustomerId customer);
  // Takes an admitted request's units from the bucket, which may go negative
  // down to a bound, so that spare capacity used now is not held against the
  // customer for long.
  void Charge(TimePoint now, CustomerId customer, double units);
  // Returns the time until the bucket is out of debt.
  Duration TimeUntilCredit(TimePoint now, CustomerId customer);

  // Demand at this router.
  RatesByCustomer LocalRates(TimePoint now) const;
  // The current max-min level in units a second; infinity if all fits.
  double ShareLevel(TimePoint now);

 private:
  struct Account {
    RateMeter demand;
    RateMeter admitted;
    double credit_units = 0;
    TimePoint refilled_at;
  };
  void UpdateLevel(TimePoint now);
  Account& FindOrCreateAccount(TimePoint now, CustomerId customer);
  double LocalRefillRate(TimePoint now, CustomerId customer,
                         const Account& account);
  void Refill(TimePoint now, CustomerId customer, Account& account);

  double capacity_ = 0;
  RatesByCustomer peer_rates_;
  std::map<CustomerId, Account> accounts_;
  // Rates of all routers together, as of the last update.
  RatesByCustomer fleet_rates_;
  double level_ = 0;
  TimePoint level_updated_at_;
  bool has_level_ = false;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_DECISIONS_FAIR_SHARE_H_
