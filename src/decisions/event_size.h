// Number of output tokens per event, learned from the streams of a service.
//
// No message states it. A stream whose output reaches the declared maximum M in
// E events shows it as M / E, and each other stream of E events shows M / E as
// an upper bound. The lowest recent bound is taken: some tens of streams are
// enough if callers declare a few times what they get. If they always declare
// far more, it stays too high, and outputs are then events scaled by the
// declared maximum; the cost of a request is never above the declared one.
// Routers exchange their bounds: if they differed, a customer whose callers use
// one router would be charged more or less than the others.
#ifndef CORIANDERPOST_DECISIONS_EVENT_SIZE_H_
#define CORIANDERPOST_DECISIONS_EVENT_SIZE_H_

#include <cstdint>

#include "corianderpost/clock.h"
#include "corianderpost/ids.h"

namespace corianderpost {

// What a router reports to its peers.
struct SharedEventSize {
  ServiceId service;
  double tokens = 0;
  // Time since a stream at some router last showed this bound.
  Duration age{0};
  friend bool operator==(const SharedEventSize&,
                         const SharedEventSize&) = default;
};

// Not thread-safe.
class EventSize {
 public:
  // Records a completed stream. Streams with few events are ignored, since
  // their last event may be nearly empty.
  void RecordStream(TimePoint now, double max_tokens, int events);
  // Records a bound from a peer. One that is too old is ignored.
  void Merge(TimePoint now, double tokens, Duration age);
  // Returns the tokens per event; 1 until it is known.
  double tokens_per_event() const { return is_known_ ? lowest_ : 1.0; }
  bool is_known() const { return is_known_; }
  TimePoint shown_at() const { return shown_at_; }

 private:
  void AddBound(TimePoint shown_at, double bound);

  // The lowest bound, and when it was last shown.
  double lowest_ = 0;
  TimePoint shown_at_;
  int streams_ = 0;
  bool is_known_ = false;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_DECISIONS_EVENT_SIZE_H_
