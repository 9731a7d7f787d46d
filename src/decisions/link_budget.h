// Limits the request bodies that a region sends to other regions.
//
// The platform does not state the link's capacity, and the link is shared with
// responses and with callers that use a router of the other region. The budget
// starts at a fraction of the configured capacity. It grows while it is used
// and round trips show no queueing, and shrinks when they do.
#ifndef CORIANDERPOST_DECISIONS_LINK_BUDGET_H_
#define CORIANDERPOST_DECISIONS_LINK_BUDGET_H_

#include "corianderpost/clock.h"

namespace corianderpost {

// Budget in bytes per second of one region. Not thread-safe.
class LinkBudget {
 public:
  // `bytes_per_second` is the configured capacity of the link, a lower bound of
  // the real one. With zero, the budget stays zero unless `SetBudget` changes
  // it.
  explicit LinkBudget(double bytes_per_second);

  // Records a round trip to a router of another region; adjusts the budget once
  // per window. Ignores round trips that are not positive.
  void RecordRoundTrip(TimePoint now, Duration round_trip);
  // Sets the bytes per second that all routers of this region send.
  void SetUsage(double bytes_per_second) { usage_ = bytes_per_second; }
  // Sets the budget to the one computed by this router's relay.
  void SetBudget(double bytes_per_second) { budget_ = bytes_per_second; }

  double BytesPerSecond() const { return budget_; }
  // Shortest round trip of the last window minus the shortest of all windows.
  Duration queueing_delay() const { return queueing_delay_; }

 private:
  void Adjust(TimePoint now);

  // In bytes per second.
  double floor_;
  double ceiling_;
  double budget_;
  double usage_ = 0;
  Duration min_round_trip_ = Duration::max();
  Duration window_min_round_trip_ = Duration::max();
  Duration queueing_delay_{0};
  TimePoint window_start_;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_DECISIONS_LINK_BUDGET_H_
