// Max-min fair sharing of the fleet's throughput between customers.
//
// Every router meters the demand of its local callers and receives the demand
// at the other routers in peer reports. From both it computes the share level
// L at which sum(min(demand, L)) equals the capacity. A customer whose demand
// exceeds L has a token bucket at each router, refilled at L times the
// router's fraction of the customer's current demand, so that the buckets of
// all routers together admit L. The level follows average demand, so that it is
// steady; the fractions follow current demand, so that a share moves with its
// customer's callers. Spare capacity goes to customers above L, but none
// may be admitted far more than another customer with unmet demand. What a
// customer was admitted beyond its share is paid back slowly.
//
// A customer's share is its demand, but at most L. A unit is a weighted token:
// a token of the unshared part of the prompt counts once, a token of the
// maximum output twice.
#ifndef CORIANDERPOST_DECISIONS_FAIR_SHARE_H_
#define CORIANDERPOST_DECISIONS_FAIR_SHARE_H_

#include <map>
#include <vector>

#include "corianderpost/clock.h"
#include "corianderpost/ids.h"
#include "decisions/arrival_rate.h"
#include "decisions/rate_meter.h"

namespace corianderpost {

// A customer's demand and its admitted part, in units per second.
struct CustomerRates {
  double demand = 0;
  double admitted = 0;
  // Demand of callers that still send; see `ArrivalRate`.
  double current_demand = 0;
  friend bool operator==(const CustomerRates&, const CustomerRates&) = default;
};
using RatesByCustomer = std::map<CustomerId, CustomerRates>;

// Returns the level L at which sum(min(demand, L)) equals `capacity`, or
// infinity if all demands fit. All of them are in units per second.
double MaxMinLevel(std::vector<double> demands, double capacity);

// Not thread-safe.
class FairShare {
 public:
  // Whether what a customer was admitted beyond its share is paid back
  // (`kAlways`) or forgotten (`kFromNowOn`).
  enum class Memory { kAlways, kFromNowOn };

  explicit FairShare(Memory memory = Memory::kAlways)
      : pays_back_(memory == Memory::kAlways) {}

  // Sets the capacity of the fleet in units per second, i.e. the configured
  // throughput scaled to the usable engines; zero if unknown, which means no
  // limits. Throughput above this capacity counts as spare capacity.
  void SetCapacity(double units_per_second) { capacity_ = units_per_second; }
  double capacity() const { return capacity_; }
  // Replaces the rates at all other routers together.
  void SetPeerRates(RatesByCustomer rates);

  // Records the demand of one request. Call once per request, whether or not
  // it is admitted later.
  void RecordDemand(TimePoint now, CustomerId customer, double units);

  // Returns whether the customer's bucket is not in debt, or the customer's
  // demand is within its share. Spends nothing.
  bool HasCredit(TimePoint now, CustomerId customer);
  // Returns whether the customer's demand at all routers together is no more
  // than the share level.
  bool IsDemandWithinShare(TimePoint now, CustomerId customer);
  // Returns the customer's admitted rate at all routers together, divided by
  // its share; 1 without demand. Above 1 if the customer uses spare capacity.
  double AdmittedFraction(TimePoint now, CustomerId customer);
  // Returns whether a customer above its share may use spare capacity, which
  // requires that no other customer with unmet demand is admitted much less.
  // While all customers have their shares and the engines have headroom, what
  // the customer was admitted beyond its share before does not count.
  bool MayUseSpareCapacity(TimePoint now, CustomerId customer,
                           bool have_engines_headroom = false);
  // Returns whether the customer is admitted more, at all routers together,
  // than an equal part of the capacity for each customer with demand. Known
  // before the demand exceeds the capacity.
  bool IsAboveEqualPart(TimePoint now, CustomerId customer);
  // Takes an admitted request's units from the bucket. The bucket may go into
  // debt, but only to a bound, so that a customer that used spare capacity
  // regains credit soon.
  void Charge(TimePoint now, CustomerId customer, double units);
  // Corrects an earlier charge by `units`, negative for a refund, once the
  // cost of an admitted request is known. Demand and admitted rate change with
  // it, so that a customer whose requests cost more than expected is limited
  // to its share.
  void Settle(TimePoint now, CustomerId customer, double units);
  // Returns the time until the bucket is out of debt, up to an upper bound;
  // zero if it is not in debt.
  Duration TimeUntilCredit(TimePoint now, CustomerId customer);

  // Returns the fill of the customer's bucket at this router in units; negative
  // if it is in debt, zero if the customer is within its share.
  double Credit(TimePoint now, CustomerId customer);
  // Returns the rates at all routers together, as of the last update of the
  // share level.
  const RatesByCustomer& FleetRates(TimePoint now);
  // Returns the rates at this router, without customers whose demand is below
  // one unit per second.
  RatesByCustomer LocalRates(TimePoint now) const;
  // Returns the current max-min level in units per second; infinity if the
  // demand fits the capacity or the capacity is unknown.
  double ShareLevel(TimePoint now);

 private:
  struct Account {
    ArrivalRate demand;
    RateMeter admitted;
    // Fill of the token bucket; negative if in debt.
    double credit_units = 0;
    // Corrections of charges for requests that cost more than expected, which
    // are paid from the refill before the bucket gets any.
    double owed_units = 0;
    // Corrections of demand that was recorded.
    RateMeter settled_demand;
    TimePoint refilled_at;
  };
  // Returns the admitted rate in units per second. Refunds may exceed what was
  // charged recently.
  static double AdmittedRate(TimePoint now, const Account& account);
  // Returns the demand in units per second.
  static double DemandRate(TimePoint now, const Account& account);
  // Recomputes the fleet's rates and the level if they are out of date.
  void UpdateLevel(TimePoint now);
  // Adds the time since the last update to what customers are ahead.
  void UpdateAhead(double elapsed_seconds);
  // Returns whether a customer above the level asks for more than it gets.
  bool HasUnmetDemand(const CustomerRates& rates) const;
  // Returns whether all customers with unmet demand are admitted at least their
  // shares at all routers together.
  bool IsEveryShareServed() const;
  // Returns the part of its share that a customer gets until it is no longer
  // ahead.
  double PaybackFactor(CustomerId customer) const;
  Account& FindOrCreateAccount(TimePoint now, CustomerId customer);
  // Returns the refill rate of the customer's bucket at this router in units
  // per second; infinity if the customer's demand is within its share.
  double LocalRefillRate(TimePoint now, CustomerId customer,
                         const Account& account);
  void Refill(TimePoint now, CustomerId customer, Account& account);

  const bool pays_back_;
  // In units per second.
  double capacity_ = 0;
  RatesByCustomer peer_rates_;
  std::map<CustomerId, Account> accounts_;
  // Sums over all routers as of the last update of the level.
  RatesByCustomer fleet_rates_;
  // Units that the customers above the level were admitted beyond their shares
  // at all routers together.
  std::map<CustomerId, double> ahead_units_;
  // Share level in units per second.
  double level_ = 0;
  TimePoint level_updated_at_;
  bool has_level_ = false;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_DECISIONS_FAIR_SHARE_H_
