// A naive central queue that sees everything: the baseline for the fleet.
#ifndef CORIANDERPOST_TESTS_CENTRAL_QUEUE_H_
#define CORIANDERPOST_TESTS_CENTRAL_QUEUE_H_

#include <cstdint>
#include <deque>
#include <vector>

#include "fake_fleet.h"

namespace corianderpost::testing {

// Serves the same kind of load as FakeFleet on as many slots, with one queue,
// no messages and no faults. Time goes in steps of 100 ms.
class CentralQueue {
 public:
  CentralQueue(const FleetOptions& options, std::vector<CustomerLoad> load);

  void RunFor(Duration time);
  std::uint64_t UnitsOf(int customer) const;
  std::uint64_t UnitsTotal() const;

 private:
  struct Running {
    int customer = 0;
    std::uint64_t left = 0;
  };
  void Arrive();
  void Fill();
  void Serve();

  const FleetOptions options_;
  const std::vector<CustomerLoad> load_;
  std::mt19937_64 random_;
  std::vector<std::deque<std::uint64_t>> waiting_;
  std::vector<Running> running_;
  std::vector<std::uint64_t> units_;
};

// The largest difference, over time, of weighted service between customers
// that stay backlogged.
class GapMeter {
 public:
  GapMeter(std::vector<int> customers, std::vector<double> weights)
      : customers_(std::move(customers)), weights_(std::move(weights)) {}

  // Takes a sample; the first sets the start. `units_of(customer)` gives the
  // units of service received so far.
  template <typename UnitsOf>
  void Sample(const UnitsOf& units_of) {
    double least = 0;
    double most = 0;
    for (std::size_t i = 0; i < customers_.size(); ++i) {
      const double units =
          static_cast<double>(units_of(customers_[i])) / weights_[i];
      if (start_.size() <= i) {
        start_.push_back(units);
      }
      const double received = units - start_[i];
      least = i == 0 ? received : std::min(least, received);
      most = i == 0 ? received : std::max(most, received);
    }
    last_ = most - least;
    largest_ = std::max(largest_, last_);
  }

  double largest() const { return largest_; }
  double last() const { return last_; }

 private:
  const std::vector<int> customers_;
  const std::vector<double> weights_;
  std::vector<double> start_;
  double largest_ = 0;
  double last_ = 0;
};

}  // namespace corianderpost::testing

#endif  // CORIANDERPOST_TESTS_CENTRAL_QUEUE_H_
