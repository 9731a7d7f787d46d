// Counters, gauges and latency summaries in the Prometheus text format.
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

  // Adds `amount` to a counter. `labels` is empty or like `status="503"`.
  void IncrementCounter(const std::string& name, const std::string& labels,
                        std::uint64_t amount = 1);
  // Adds a duration to a summary, which is exported in seconds.
  void Observe(const std::string& name, Duration value);
  // Sets the value of a gauge. `labels` is empty or like `engine="a"`.
  void SetGauge(const std::string& name, double value,
                const std::string& labels = "");
  // Removes the gauges of a name, with all labels.
  void RemoveGauges(const std::string& name);

  // Returns all metrics in the Prometheus text format.
  std::string ToText() const;

 private:
  class Summary;
  struct SeriesKey {
    std::string name;
    std::string labels;
    friend auto operator<=>(const SeriesKey&, const SeriesKey&) = default;
  };
  mutable std::mutex mutex_;
  std::map<SeriesKey, std::uint64_t> counters_;
  std::map<SeriesKey, double> gauges_;
  std::map<std::string, std::unique_ptr<Summary>> summaries_;
};

}  // namespace corianderpost::internal

#endif  // CORIANDERPOST_RUNTIME_METRICS_H_
