// The two deployments of today, as fake fleets.
#ifndef CORIANDERPOST_TESTS_DEPLOYMENTS_H_
#define CORIANDERPOST_TESTS_DEPLOYMENTS_H_

#include "fake_fleet.h"

namespace corianderpost::testing {

// Ranwala's zones, routers, replicas and customers; member clubs weigh alike.
inline FleetOptions RanwalaOptions(std::uint64_t seed) {
  FleetOptions options;
  options.seed = seed;
  return options;
}

// The consortium's; partners weigh by their share.
inline FleetOptions JadranOptions(std::uint64_t seed) {
  FleetOptions options;
  options.seed = seed;
  options.routers = 7;
  options.zones = {{"koper-luka", "koper"},
                   {"koper-ankaran", "koper"},
                   {"piran-rt", "piran"}};
  options.weights = {3, 3, 3, 2};
  return options;
}

// Three customers flood from uneven sets of routers; the rest ask a little.
// The fleet can serve about 145 requests a second.
inline std::vector<CustomerLoad> FloodLoad(const FleetOptions& options) {
  std::vector<CustomerLoad> load = {
      {0, 150, {0}, false}, {1, 90, {1, 2}, false}, {2, 90, {3, 4, 5}, false}};
  for (int i = 3; i < options.customers; ++i) {
    load.push_back({i, 0.5, {}, false});
  }
  return load;
}

inline const std::vector<int> kFlooders = {0, 1, 2};

}  // namespace corianderpost::testing

#endif  // CORIANDERPOST_TESTS_DEPLOYMENTS_H_
