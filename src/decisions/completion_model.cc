#include "decisions/completion_model.h"

#include <algorithm>

namespace corianderpost {
namespace {

// Until streams have been seen: seconds per token, and per token and stream.
using Coefficients = RobustLinearFit<2>::Vector;
constexpr Coefficients kPrior = {0.005, 0.00005};
constexpr Coefficients kMin = {0.0005, 1e-7};
constexpr Coefficients kMax = {0.5, 0.01};
constexpr double kPriorStreams = 50;
// The time of fewer tokens depends on when their events are sent.
constexpr double kMinTokens = 20;

}  // namespace

CompletionModel::CompletionModel()
    : seconds_per_token_(kPrior, kMin, kMax, {{1, 1}, {1, kPriorStreams}}) {}

void CompletionModel::RecordStream(double other_streams, double tokens,
                                   double seconds) {
  if (tokens >= kMinTokens && seconds > 0) {
    seconds_per_token_.Add({1.0, std::max(0.0, other_streams) + 1.0},
                           seconds / tokens);
  }
}

double CompletionModel::GenerationSeconds(const RunningStreams& streams,
                                          double output_tokens) const {
  return output_tokens * seconds_per_token_.At({1.0, streams.count + 1.0});
}

double CompletionModel::DelayOfOthers(const RunningStreams& streams,
                                      double prefill_seconds,
                                      double output_tokens) const {
  if (streams.count <= 0) {
    return 0;
  }
  // Both generate for as long as the shorter of them; the outputs of the others
  // are taken to be equal. The engine reads the prompt while they wait.
  const double shared_tokens =
      std::min(output_tokens, streams.output_tokens_left / streams.count);
  return streams.count * (prefill_seconds +
                          shared_tokens * seconds_per_token_.coefficients()[1]);
}

}  // namespace corianderpost
