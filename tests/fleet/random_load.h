// Random requests to the routers of an `EngineFleet`.
#ifndef CORIANDERPOST_TESTS_FLEET_RANDOM_LOAD_H_
#define CORIANDERPOST_TESTS_FLEET_RANDOM_LOAD_H_

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "fleet/engine_fleet.h"

namespace corianderpost::soak {

// Sends requests to random routers at random times, when called with the
// current time. Not thread-safe.
class RandomLoad {
 public:
  RandomLoad(EngineFleet& fleet, std::vector<std::string> customers,
             double requests_per_second, std::uint64_t first_parts,
             std::uint64_t seed);
  void operator()(TimePoint now);

  // Number of requests since `from`; of those whose response begins with
  // `status_line`.
  std::size_t CountSince(TimePoint from) const;
  std::size_t Count(const std::string& status_line, TimePoint from) const;

  // Path prefix and timeout of the requests.
  CallOptions options;
  // The first part of a prompt is one of this many.
  std::uint64_t first_parts;
  // Number of sessions, whose requests all have the same last part; zero if
  // each request has its own.
  std::uint64_t sessions = 0;

 private:
  std::uint64_t LastPart();

  EngineFleet& fleet_;
  const std::vector<std::string> customers_;
  const double requests_per_second_;
  std::mt19937_64 random_;
  TimePoint next_;
  std::vector<std::shared_ptr<const EngineCall>> calls_;
};

}  // namespace corianderpost::soak

#endif  // CORIANDERPOST_TESTS_FLEET_RANDOM_LOAD_H_
