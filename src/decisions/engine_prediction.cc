#include "decisions/engine_prediction.h"

#include <algorithm>
#include <cmath>

namespace corianderpost {
namespace {

// Peer reports are some hundred milliseconds old: since then, other routers
// have chosen targets that looked idle and avoided those that looked busy. So
// a target's reported load gets this weight, and the mean of its region's
// targets gets the rest.
constexpr double kPeerReportWeight = 0.2;
// For the same reason a part of what looks like slowness is load that the
// reports don't show.
constexpr double kSlownessExponent = 0.4;
// Weight of recomputing in a candidate's cost, on top of the request's own
// delay: recomputing delays the other requests on the target equally, and
// evicts parts that other requests then have to recompute.
constexpr double kRecomputeCostFactor = 6.0;

}  // namespace

double EstimateLoad(double local, double reported, double mean) {
  return local + kPeerReportWeight * reported +
         (1.0 - kPeerReportWeight) * mean;
}

MeanPeerLoads MeanPeerLoadsOf(const std::vector<TargetState*>& targets,
                              double region_weight) {
  MeanPeerLoads means;
  MeanPeerLoad sum;
  double local_count = 0;
  for (const TargetState* it : targets) {
    MeanPeerLoad& mean = it->is_in_local_region ? means.local : means.remote;
    mean.pending_prefill_tokens += it->peer_load.pending_prefill_tokens;
    mean.in_flight += it->peer_load.in_flight;
    mean.output_tokens_left += it->peer_load.output_tokens_left;
    sum.pending_prefill_tokens += it->peer_load.pending_prefill_tokens;
    sum.in_flight += it->peer_load.in_flight;
    sum.output_tokens_left += it->peer_load.output_tokens_left;
    local_count += it->is_in_local_region ? 1 : 0;
  }
  const auto count = static_cast<double>(targets.size());
  const auto damp = [&sum, count, region_weight](double region_sum,
                                                 double region_count,
                                                 double MeanPeerLoad::*field) {
    return region_weight * region_sum / std::max(1.0, region_count) +
           (1.0 - region_weight) * sum.*field / std::max(1.0, count);
  };
  for (const bool is_local : {true, false}) {
    MeanPeerLoad& mean = is_local ? means.local : means.remote;
    const double region_count = is_local ? local_count : count - local_count;
    mean.pending_prefill_tokens =
        damp(mean.pending_prefill_tokens, region_count,
             &MeanPeerLoad::pending_prefill_tokens);
    mean.in_flight =
        damp(mean.in_flight, region_count, &MeanPeerLoad::in_flight);
    mean.output_tokens_left = damp(mean.output_tokens_left, region_count,
                                   &MeanPeerLoad::output_tokens_left);
  }
  return means;
}

FirstEventObservation ObserveFirstEvent(const FirstEventModel& model,
                                        double running_seconds,
                                        const PlacedWork& work) {
  const double expected_as_reported_seconds =
      model.Predict(work.waiting_tokens + work.prefill_tokens);
  // What comes over the link between the regions shows the link's state, not
  // the engine's.
  const double speed_weight =
      work.is_in_local_region
          ? work.prefill_tokens * model.seconds_per_token() /
                (expected_as_reported_seconds + work.slot_wait_seconds)
          : 0.0;
  return {running_seconds, work.predicted_from_load_seconds,
          expected_as_reported_seconds, speed_weight};
}

double SlownessFactor(const EngineSpeed& speed, bool uses_lasting_speed) {
  if (!uses_lasting_speed) {
    return std::pow(speed.slowness(), kSlownessExponent);
  }
  return std::pow(speed.slowness() * speed.speed(), kSlownessExponent) /
         speed.speed();
}

EnginePrediction PredictEngine(const FirstEventModel& model,
                               const EngineWork& work, double slowness_factor) {
  const double seconds_per_token = model.seconds_per_token();
  EnginePrediction prediction;
  prediction.load_tokens =
      work.pending_tokens + work.unshared_tokens + work.uncached_shared_tokens;
  prediction.from_load = model.Predict(prediction.load_tokens);
  prediction.first_event = prediction.from_load * slowness_factor +
                           work.slot_wait_seconds + work.region_latency_seconds;
  prediction.queueing =
      work.pending_tokens * seconds_per_token * slowness_factor +
      work.slot_wait_seconds;
  prediction.idle_first_event = model.idle_seconds() +
                                work.unshared_tokens * seconds_per_token *
                                    std::min(1.0, slowness_factor) +
                                work.region_latency_seconds;
  prediction.cost = prediction.first_event +
                    kRecomputeCostFactor * work.uncached_shared_tokens *
                        seconds_per_token * slowness_factor;
  return prediction;
}

}  // namespace corianderpost
