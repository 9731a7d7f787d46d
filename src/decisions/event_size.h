// Number of output tokens per event, learned from the streams of a service.
//
// No message states it. A stream whose output reaches the declared maximum M in
// E events shows it as M / E, and each other stream of E events shows M / E as
// an upper bound. So the lowest ratio that several streams agree on is taken;
// if callers always declare far more than they get, it is too high by that
// factor, and outputs are then in events scaled by the declared maximum.
#ifndef CORIANDERPOST_DECISIONS_EVENT_SIZE_H_
#define CORIANDERPOST_DECISIONS_EVENT_SIZE_H_

#include <array>
#include <cstdint>

namespace corianderpost {

// Not thread-safe.
class EventSize {
 public:
  // Records a completed stream. Streams with few events are ignored, since
  // their last event may be nearly empty.
  void RecordStream(std::int64_t max_tokens, int events);
  // Returns the tokens per event; 1 until it is known.
  double tokens_per_event() const { return tokens_per_event_; }
  bool is_known() const { return is_known_; }

 private:
  // The lowest ratios of the streams that are counted at present.
  static constexpr int kAgreeing = 3;
  std::array<double, kAgreeing> lowest_{};
  int count_ = 0;
  double tokens_per_event_ = 1;
  bool is_known_ = false;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_DECISIONS_EVENT_SIZE_H_
