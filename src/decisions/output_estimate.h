// Expected output of requests, learned from the outputs of earlier ones.
//
// Outputs are described by the mean and variance of their logarithms, per route
// and, shrunk towards the route, per customer. The output of an interrupted
// stream so far is a lower bound; it counts by the conditional moments of what
// lies above it (the expectation step for a censored normal distribution;
// Schmee and Hahn, "A simple method for regression analysis with censored
// data", 1979). Outputs are in any unit that the streams of a route have in
// common, such as events.
//
// A caller's hint counts as far as it predicted the customer's outputs: the
// outputs' logarithms are regressed on those of the hints. A weight by the
// inverse variance of the hint's error alone would not do, since a hint that
// tells nothing would keep a weight. The mean output is computed from the
// predicted logarithm by the mean ratio of both (Duan, "Smearing estimate: a
// nonparametric retransformation method", 1983).
#ifndef CORIANDERPOST_DECISIONS_OUTPUT_ESTIMATE_H_
#define CORIANDERPOST_DECISIONS_OUTPUT_ESTIMATE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>

#include "corianderpost/clock.h"
#include "corianderpost/ids.h"

namespace corianderpost {

using RouteId = Id<struct RouteTag>;

// What is known of a request's output before it is generated.
struct OutputTraits {
  RouteId route;
  CustomerId customer;
  // Maximum declared by the caller; zero if it declared none.
  double max_output = 0;
  // The caller's estimate.
  std::optional<double> hint;
  friend bool operator==(const OutputTraits&, const OutputTraits&) = default;
};

// Not thread-safe.
class OutputEstimates {
 public:
  // Number of routes and of pairs of route and customer that are remembered.
  static constexpr std::size_t kMaxEntries = 2048;

  // Returns the expected output, from 1 to the declared maximum, or
  // zero if none was declared. Without observations it is the declared maximum,
  // blended with the hint.
  double Predict(const OutputTraits& traits) const;

  // Records the output of a stream that completed.
  void RecordCompleted(TimePoint now, const OutputTraits& traits,
                       double output);
  // Records that a stream was interrupted after `output`.
  void RecordInterrupted(TimePoint now, const OutputTraits& traits,
                         double output);

  std::size_t size() const { return distributions_.size(); }

 private:
  using Key = std::pair<RouteId, CustomerId>;

  // Moments of the natural logarithms of outputs, over recent streams.
  class LogMoments {
   public:
    // Adds an observation by its first two moments.
    void Add(double first, double second);
    double mean() const { return mean_; }
    double variance() const;
    double weight() const { return weight_; }
    // Returns whether recent outputs differ from the others, and if so forgets
    // the others.
    bool ForgetIfChanged();

   private:
    double weight_ = 0;
    double mean_ = 0;
    double mean_square_ = 0;
    double recent_mean_ = 0;
    double recent_mean_square_ = 0;
    int recent_count_ = 0;
  };
  struct Distribution {
    LogMoments logs;
    void AddRatio(double ratio);

    // Mean ratio of actual outputs to the exponentials of the predicted
    // logarithms, and the number of streams behind it.
    double smearing_weight = 0;
    double smearing_ratio = 1;
    TimePoint used_at;
  };
  // Regression through the origin of a customer's outputs on its hints, both as
  // logarithms relative to the distribution's mean.
  struct HintAccuracy {
    double hint_square = 0;
    double product = 0;
    TimePoint used_at;
  };
  // The logarithm of the output as predicted without the hint.
  struct Prior {
    double log_output = 0;
    double variance = 0;
  };

  const Distribution* Find(const Key& key) const;
  // Returns null if there is no room.
  Distribution* FindOrCreate(TimePoint now, const Key& key);
  Prior PriorOf(const OutputTraits& traits) const;
  // Makes room if necessary and possible.
  bool HasRoomForHints(TimePoint now, CustomerId customer);
  // Returns the regression's slope, from 0 (the hint tells nothing) to 1.
  double HintWeight(CustomerId customer) const;
  double LogPrediction(const OutputTraits& traits, const Prior& prior) const;
  double SmearingRatio(const OutputTraits& traits) const;
  // Calls `apply` for the distributions of the route and of the customer on it.
  template <typename Function>
  void ForDistributions(TimePoint now, const OutputTraits& traits,
                        const Function& apply);

  // The routes' own have no customer.
  std::map<Key, Distribution> distributions_;
  std::map<CustomerId, HintAccuracy> hints_;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_DECISIONS_OUTPUT_ESTIMATE_H_
