#include "decisions/event_size.h"

#include <algorithm>

namespace corianderpost {
namespace {

// With this many events, a last event with a single token changes the ratio by
// at most an eighth.
constexpr int kMinEvents = 8;
// The lowest bound of fewer streams may be far too high.
constexpr int kMinStreams = 8;
// A bound that no stream has shown for this long is dropped, so that engines
// that are restarted with larger events are noticed.
constexpr Duration kRetention = std::chrono::seconds(60);
// Bounds that are this close are the same one.
constexpr double kSameBound = 1.1;
// An event holds at least one token; larger ones are implausible.
constexpr double kMaxTokensPerEvent = 64;

}  // namespace

void EventSize::RecordStream(TimePoint now, double max_tokens, int events) {
  if (events < kMinEvents || max_tokens <= 0) {
    return;
  }
  AddBound(now, max_tokens / events);
  streams_ = std::min(streams_ + 1, kMinStreams);
  is_known_ = is_known_ || streams_ >= kMinStreams;
}

void EventSize::Merge(TimePoint now, double tokens, Duration age) {
  if (age < Duration(0) || age > kRetention || !(tokens > 0)) {
    return;
  }
  AddBound(now - age, tokens);
  is_known_ = true;
}

void EventSize::AddBound(TimePoint shown_at, double bound) {
  bound = std::clamp(bound, 1.0, kMaxTokensPerEvent);
  if (lowest_ <= 0 || shown_at - shown_at_ > kRetention) {
    lowest_ = bound;
    shown_at_ = shown_at;
  } else if (bound <= kSameBound * lowest_) {
    lowest_ = std::min(lowest_, bound);
    shown_at_ = std::max(shown_at_, shown_at);
  }
}

}  // namespace corianderpost
