// Engines and routers in simulated time, for tests that play a load through
// several schedulers whose counts of each other's requests are delayed.
//
// An engine runs up to `slots` requests in steps; prompts are read in chunks
// between the tokens of other requests, shared prompt parts are kept until the
// least recently used ones yield, and further requests wait in order of
// arrival.
#ifndef CORIANDERPOST_DECISIONS_SIMULATED_ENGINES_H_
#define CORIANDERPOST_DECISIONS_SIMULATED_ENGINES_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <vector>

#include "decisions/scheduler.h"

namespace corianderpost {

struct SimulatedEngineOptions {
  int slots = 12;
  int queue = 36;
  double step_seconds = 0.00341;
  double step_seconds_per_request = 0.0001;
  double prefill_tokens_per_second = 112'000;
  double kv_cache_tokens = 330'000;
  // Speeds of the engines in turn, relative to the times above.
  std::vector<double> speeds = {1.0};
  // Once in each interval, an engine is slowed by the factor for
  // `slow_seconds`, each engine at another time; never if zero.
  double slow_factor = 1;
  double slow_seconds = 0;
  double slow_interval_seconds = 20;
  friend bool operator==(const SimulatedEngineOptions&,
                         const SimulatedEngineOptions&) = default;
};

// One kind of request in a simulated load.
struct SimulatedKind {
  double per_second = 0;
  // Numbers and mean tokens of the distinct first and second shared parts.
  int first_parts = 0;
  double first_part_tokens = 0;
  int second_parts = 0;
  double second_part_tokens = 0;
  double unshared_tokens = 0;
  double output_tokens = 0;
  double goal_seconds = 0;
  // Fraction of the requests that use one and the same second part.
  double hot_fraction = 0;
  friend bool operator==(const SimulatedKind&, const SimulatedKind&) = default;
};

// A customer's part of a simulated load.
struct SimulatedCustomer {
  // Its part of the requests of each kind, relative to the other customers.
  double weight = 1;
  // Routers that its callers use; all if zero.
  int routers = 0;
  // Time after which its callers move on to the next routers; never if zero.
  double moves_after_seconds = 0;
  friend bool operator==(const SimulatedCustomer&,
                         const SimulatedCustomer&) = default;
};

// What a customer asked for and got in one second, in tokens: those of the
// prompt once, those of the output twice. Each attempt counts as asked; an
// admitted request counts where it begins to run.
struct SimulatedCustomerSecond {
  double asked = 0;
  double begun = 0;
  // The largest request.
  double largest = 0;
  int rejected = 0;
  friend bool operator==(const SimulatedCustomerSecond&,
                         const SimulatedCustomerSecond&) = default;
};

struct SimulatedLoad {
  std::vector<SimulatedKind> kinds;
  // Requests have no customer if empty.
  std::vector<SimulatedCustomer> customers;
  // All rates are multiplied by `burst_factor` from `burst_at` seconds on.
  double burst_factor = 1;
  double burst_at = 0;
  // Callers repeat a rejected request when they are told to, for this time.
  double patience_seconds = 0;
  int engines = 0;
  // Engines are divided between two regions if set.
  bool has_two_regions = false;
  int routers = 0;
  // The first of the routers, which neither send nor get reports.
  int cut_off_routers = 0;
  SimulatedEngineOptions engine;
  double capacity_units_per_second = 0;
  AdaptiveMode adaptive_placement = AdaptiveMode::kAuto;
  // Requests declare this multiple of their kind's mean output as maximum, at
  // least 4; their actual output if zero.
  double declared_factor = 0;
  double seconds = 0;
  std::uint64_t seed = 1;
  friend bool operator==(const SimulatedLoad&, const SimulatedLoad&) = default;
};

// What the callers of one kind, or of all, got. Requests that arrived in the
// first seconds, while counts and caches fill, are left out.
struct SimulatedResult {
  int requests = 0;
  int in_goal = 0;
  int late = 0;
  int rejected = 0;
  // Rejected while under half of all slots were taken.
  int rejected_with_free_engines = 0;
  // Turned away by a full engine.
  int bounced = 0;
  double prefill_tokens = 0;
  // Shared tokens read although some engine had read them within the last five
  // seconds.
  double reread_tokens = 0;
  // Requests that ended, and the sum of their times to the end.
  int ended = 0;
  double run_seconds = 0;
  // Median of |seen / predicted - 1| of first events.
  double median_prediction_error = 0;
  friend bool operator==(const SimulatedResult&,
                         const SimulatedResult&) = default;
};

// Plays the load. Returns one result per kind and, last, their sum.
std::vector<SimulatedResult> PlayLoad(const SimulatedLoad& load);
// Plays the load. Returns the seconds of each customer.
std::vector<std::vector<SimulatedCustomerSecond>> PlayCustomers(
    const SimulatedLoad& load);

// Returns a line for the messages of failed checks.
std::string ToString(const SimulatedResult& result);

}  // namespace corianderpost

#endif  // CORIANDERPOST_DECISIONS_SIMULATED_ENGINES_H_
