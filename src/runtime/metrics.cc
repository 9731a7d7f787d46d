#include "runtime/metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <sstream>

namespace corianderpost::internal {
namespace {

namespace acc = boost::accumulators;

constexpr double kQuantiles[] = {0.5, 0.95, 0.99};

using Accumulators =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count, acc::tag::sum,
                                    acc::tag::extended_p_square_quantile>>;

}  // namespace

class Metrics::Summary {
 public:
  Summary()
      : accumulators_(acc::tag::extended_p_square::probabilities = kQuantiles) {
  }
  void Add(double seconds) { accumulators_(seconds); }

  void Write(const std::string& name, std::ostream& out) const {
    out << "# TYPE " << name << " summary\n";
    for (const double it : kQuantiles) {
      out << name << "{quantile=\"" << it << "\"} "
          << acc::quantile(accumulators_, acc::quantile_probability = it)
          << "\n";
    }
    out << name << "_sum " << acc::sum(accumulators_) << "\n"
        << name << "_count " << acc::count(accumulators_) << "\n";
  }

 private:
  Accumulators accumulators_;
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::IncrementCounter(const std::string& name,
                               const std::string& labels,
                               std::uint64_t amount) {
  const std::lock_guard lock(mutex_);
  counters_[{name, labels}] += amount;
}

void Metrics::Observe(const std::string& name, Duration value) {
  const std::lock_guard lock(mutex_);
  auto& summary = summaries_[name];
  if (!summary) {
    summary = std::make_unique<Summary>();
  }
  summary->Add(std::chrono::duration<double>(value).count());
}

void Metrics::SetGauge(const std::string& name, double value,
                       const std::string& labels) {
  const std::lock_guard lock(mutex_);
  gauges_[{name, labels}] = value;
}

void Metrics::RemoveGauges(const std::string& name) {
  const std::lock_guard lock(mutex_);
  std::erase_if(gauges_,
                [&name](const auto& it) { return it.first.name == name; });
}

std::string Metrics::ToText() const {
  const std::lock_guard lock(mutex_);
  std::ostringstream out;
  const auto write = [&out](const auto& series, std::string_view type) {
    std::string last_name;
    for (const auto& [key, value] : series) {
      if (key.name != last_name) {
        out << "# TYPE " << key.name << " " << type << "\n";
        last_name = key.name;
      }
      out << key.name
          << (key.labels.empty() ? std::string() : "{" + key.labels + "}")
          << " " << value << "\n";
    }
  };
  write(counters_, "counter");
  write(gauges_, "gauge");
  for (const auto& [name, summary] : summaries_) {
    summary->Write(name, out);
  }
  return out.str();
}

}  // namespace corianderpost::internal
