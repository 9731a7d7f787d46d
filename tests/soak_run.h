// A long randomised run of the fake fleet with faults, alone and in pairs.
#ifndef CORIANDERPOST_TESTS_SOAK_RUN_H_
#define CORIANDERPOST_TESTS_SOAK_RUN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "fake_fleet.h"

namespace corianderpost::testing {

struct SoakResult {
  std::vector<Violation> violations;
  FleetStats stats;
  std::uint64_t faults = 0;
  std::uint64_t invariant_checks = 0;
  Duration simulated{0};
  // What was done to the fleet, and when.
  std::vector<Violation> trace;
};

inline constexpr int kSoakRouters = 6;

// Runs `steps` steps of 10 ms. The same arguments give the same result.
SoakResult RunSoak(std::uint64_t seed, std::uint64_t steps,
                   const Guards& guards, int routers = kSoakRouters);

// Returns guards with the named one off. Throws std::invalid_argument if there
// is none of that name.
Guards WithGuardOff(const std::string& name);
// The names that `WithGuardOff` knows.
std::vector<std::string> GuardNames();

}  // namespace corianderpost::testing

#endif  // CORIANDERPOST_TESTS_SOAK_RUN_H_
