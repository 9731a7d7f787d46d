// Predicts when an engine sends the first event of a request, from the work
// that waits there, the service's first events so far and the engine's speed.
#ifndef CORIANDERPOST_DECISIONS_ENGINE_PREDICTION_H_
#define CORIANDERPOST_DECISIONS_ENGINE_PREDICTION_H_

#include <vector>

#include "decisions/engine_speed.h"
#include "decisions/first_event_model.h"
#include "decisions/target_table.h"

namespace corianderpost {

// What a prediction is made from. Tokens are prompt tokens.
struct EngineWork {
  // Of other requests that have no first event yet.
  double pending_tokens = 0;
  // Own part of the request's prompt.
  double unshared_tokens = 0;
  // Expected part of the shared prompt parts that the engine has not cached.
  double uncached_shared_tokens = 0;
  double slot_wait_seconds = 0;
  // Zero if the engine is in this router's region.
  double region_latency_seconds = 0;
  friend bool operator==(const EngineWork&, const EngineWork&) = default;
};

// All but the tokens are in seconds.
struct EnginePrediction {
  // Prompt tokens that the engine has to read before the first event.
  double load_tokens = 0;
  // Time to the first event on an engine of mean speed, without the wait for a
  // slot and the latency between regions.
  double from_load = 0;
  // Time to the first event.
  double first_event = 0;
  // The same on the idle engine with all shared parts cached.
  double idle_first_event = 0;
  // Time until the prefill that is queued ahead is done and a slot is free.
  double queueing = 0;
  // Time to the first event, and the delay that recomputing causes to the
  // engine's other requests.
  double cost = 0;
  friend bool operator==(const EnginePrediction&,
                         const EnginePrediction&) = default;
};

// Returns an estimate of a target's load now from this router's part of it, the
// peers' part as reported, and the mean of the peers' parts in the region.
double EstimateLoad(double local, double reported, double mean);

// Means of what peers report, over the targets of a region.
struct MeanPeerLoad {
  double pending_prefill_tokens = 0;
  double in_flight = 0;
  double output_tokens_left = 0;
  friend bool operator==(const MeanPeerLoad&, const MeanPeerLoad&) = default;
};

struct MeanPeerLoads {
  MeanPeerLoad local;
  MeanPeerLoad remote;
  friend bool operator==(const MeanPeerLoads&, const MeanPeerLoads&) = default;
};

// Returns the means over `targets`. The difference between a region's mean and
// the mean of all has the weight `region_weight`, from 0 to 1.
MeanPeerLoads MeanPeerLoadsOf(const std::vector<TargetState*>& targets,
                              double region_weight);

// What was known of a request when it was placed.
struct PlacedWork {
  // Prompt tokens that the engine was expected to read for the request itself,
  // and those of other requests that waited there as reported.
  double prefill_tokens = 0;
  double waiting_tokens = 0;
  double slot_wait_seconds = 0;
  // `EnginePrediction::from_load`.
  double predicted_from_load_seconds = 0;
  bool is_in_local_region = false;
  friend bool operator==(const PlacedWork&, const PlacedWork&) = default;
};

// Returns what the first event of a request shows of its engine's speed.
// `running_seconds` is the time to it without the wait for a slot.
FirstEventObservation ObserveFirstEvent(const FirstEventModel& model,
                                        double running_seconds,
                                        const PlacedWork& work);

// Returns the factor by which an engine's first events take longer than on an
// engine of mean speed. If `uses_lasting_speed`, the lasting speed counts in
// full and only the remaining slowness of the moment is damped.
double SlownessFactor(const EngineSpeed& speed, bool uses_lasting_speed);

// Predicts for an engine with the given `SlownessFactor`.
EnginePrediction PredictEngine(const FirstEventModel& model,
                               const EngineWork& work, double slowness_factor);

}  // namespace corianderpost

#endif  // CORIANDERPOST_DECISIONS_ENGINE_PREDICTION_H_
