// Counters and latency distributions in the usual text form.
#ifndef CORIANDERPOST_RUNTIME_METRICS_H_
#define CORIANDERPOST_RUNTIME_METRICS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "corianderpost/clock.h"

namespace corianderpost::internal {

// Thread-safe.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  // Adds to a counter. `labels` is empty or like `kind="grant"`.
  void IncrementCounter(const std::string& name, const std::string& labels,
                        std::uint64_t amount = 1);
  // Adds a time to a distribution.
  void Observe(const std::string& name, Duration value);
  // Sets a value that may fall.
  void SetGauge(const std::string& name, double value);

  // Returns everything in the Prometheus text format.
  std::string ToText() const;

 private:
  class Distribution;
  struct SeriesKey {
    std::string name;
    std::string labels;
    friend auto operator<=>(const SeriesKey&, const SeriesKey&) = default;
  };
  mutable std::mutex mutex_;
  std::map<SeriesKey, std::uint64_t> counters_;
  std::map<std::string, double> gauges_;
  std::map<std::string, std::unique_ptr<Distribution>> distributions_;
};

}  // namespace corianderpost::internal

#endif  // CORIANDERPOST_RUNTIME_METRICS_H_
