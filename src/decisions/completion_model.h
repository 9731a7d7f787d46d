// Predicts how long an engine generates a request's output, and how much the
// request delays the streams that run there.
//
// An engine generates one token for each of its streams per step, and a step
// takes longer the more streams it has. The line of the time per token over the
// number of streams is learned from streams that ended.
#ifndef CORIANDERPOST_DECISIONS_COMPLETION_MODEL_H_
#define CORIANDERPOST_DECISIONS_COMPLETION_MODEL_H_

#include "decisions/robust_linear_fit.h"

namespace corianderpost {

// Work of the streams at an engine. Counts of other routers' streams are
// estimates, so it need not be whole.
struct RunningStreams {
  double count = 0;
  // Expected remaining output of all of them, in tokens.
  double output_tokens_left = 0;
  friend bool operator==(const RunningStreams&,
                         const RunningStreams&) = default;
};

// Not thread-safe.
class CompletionModel {
 public:
  CompletionModel();

  // Records that a stream generated `tokens` in `seconds` after its first event
  // at an engine with `other_streams`. Streams with few tokens are ignored.
  void RecordStream(double other_streams, double tokens, double seconds);

  // Returns the seconds from the first event to the end of a stream of
  // `output_tokens` that joins `streams`.
  double GenerationSeconds(const RunningStreams& streams,
                           double output_tokens) const;
  // Returns the seconds by which all of `streams` together are delayed by a
  // request of `output_tokens` whose prompt takes `prefill_seconds`.
  double DelayOfOthers(const RunningStreams& streams, double prefill_seconds,
                       double output_tokens) const;

 private:
  // Of a constant and the number of streams.
  RobustLinearFit<2> seconds_per_token_;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_DECISIONS_COMPLETION_MODEL_H_
