#include "decisions/event_size.h"

#include <algorithm>

namespace corianderpost {
namespace {

// With this many events, a last event with a single token changes the ratio by
// at most an eighth.
constexpr int kMinEvents = 8;
// Streams after which the lowest ratios are looked for anew, so that engines
// that change the size of their events are noticed. One stream in fifty reaches
// a maximum of four times the mean.
constexpr int kStreams = 512;
// Ratios this close to each other come from streams that ended at their
// maximum.
constexpr double kAgreement = 1.2;
// An event holds at least one token; larger ones are implausible.
constexpr double kMaxTokensPerEvent = 64;

}  // namespace

void EventSize::RecordStream(std::int64_t max_tokens, int events) {
  if (events < kMinEvents || max_tokens <= 0) {
    return;
  }
  const double ratio = std::clamp(static_cast<double>(max_tokens) / events, 1.0,
                                  kMaxTokensPerEvent);
  if (count_ < kAgreeing) {
    lowest_[static_cast<std::size_t>(count_)] = ratio;
  } else {
    lowest_.back() = std::min(lowest_.back(), ratio);
  }
  ++count_;
  if (count_ < kAgreeing) {
    return;
  }
  std::sort(lowest_.begin(), lowest_.end());
  const bool do_agree = lowest_.back() <= kAgreement * lowest_.front();
  if (do_agree && (!is_known_ || count_ >= kStreams ||
                   lowest_.back() < tokens_per_event_)) {
    tokens_per_event_ = lowest_[kAgreeing / 2];
    is_known_ = true;
  }
  if (count_ >= kStreams) {
    count_ = 0;
  }
}

}  // namespace corianderpost
