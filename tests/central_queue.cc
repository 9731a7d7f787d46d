#include "central_queue.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace corianderpost::testing {
namespace {

constexpr Duration kStep{100'000};
constexpr double kStepsASecond = 10;

}  // namespace

CentralQueue::CentralQueue(const FleetOptions& options,
                           std::vector<CustomerLoad> load)
    : options_(options),
      load_(std::move(load)),
      random_(options.seed),
      waiting_(static_cast<std::size_t>(options.customers)),
      units_(static_cast<std::size_t>(options.customers)) {}

void CentralQueue::RunFor(Duration time) {
  for (Duration it{0}; it < time; it += kStep) {
    Arrive();
    Fill();
    Serve();
  }
}

void CentralQueue::Arrive() {
  for (const CustomerLoad& it : load_) {
    std::poisson_distribution<int> arrivals(it.rate / kStepsASecond);
    auto& queue = waiting_[static_cast<std::size_t>(it.customer)];
    for (int i = arrivals(random_); i > 0; --i) {
      std::uniform_int_distribution<std::uint64_t> units(
          static_cast<std::uint64_t>(options_.least_units),
          static_cast<std::uint64_t>(options_.most_units));
      if (queue.size() < static_cast<std::size_t>(options_.max_waiting)) {
        queue.push_back(units(random_));
      }
    }
  }
}

void CentralQueue::Fill() {
  const auto slots = static_cast<std::size_t>(options_.engines) *
                     static_cast<std::size_t>(options_.slots);
  while (running_.size() < slots) {
    std::optional<std::size_t> next;
    const auto key = [&](std::size_t i) {
      const double weight =
          i < options_.weights.size() ? options_.weights[i] : 1.0;
      return static_cast<double>(units_[i]) / weight;
    };
    for (std::size_t i = 0; i < waiting_.size(); ++i) {
      if (!waiting_[i].empty() && (!next || key(i) < key(*next))) {
        next = i;
      }
    }
    if (!next) {
      return;
    }
    running_.push_back({static_cast<int>(*next), waiting_[*next].front()});
    waiting_[*next].pop_front();
  }
}

void CentralQueue::Serve() {
  const auto step =
      static_cast<std::uint64_t>(options_.units_a_second / kStepsASecond);
  for (Running& it : running_) {
    const std::uint64_t units = std::min(step, it.left);
    units_[static_cast<std::size_t>(it.customer)] += units;
    it.left -= units;
  }
  std::erase_if(running_, [](const Running& it) { return it.left == 0; });
}

std::uint64_t CentralQueue::UnitsOf(int customer) const {
  return units_[static_cast<std::size_t>(customer)];
}

std::uint64_t CentralQueue::UnitsTotal() const {
  std::uint64_t total = 0;
  for (const std::uint64_t it : units_) {
    total += it;
  }
  return total;
}

}  // namespace corianderpost::testing
