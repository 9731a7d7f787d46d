// How much request bodies may cross to other regions.
//
// The link's capacity is not stated by the platform and is shared with answers
// and with callers that reach a router of the other region. The budget begins
// with what operators set, grows while it is used and the link is quiet, and
// shrinks when round trips show a queue.
#ifndef CORIANDERPOST_DECISIONS_LINK_BUDGET_H_
#define CORIANDERPOST_DECISIONS_LINK_BUDGET_H_

#include "corianderpost/clock.h"

namespace corianderpost {

// Not thread-safe.
class LinkBudget {
 public:
  // `bytes_per_second` is the smallest capacity that the link is known to
  // have; zero closes it.
  explicit LinkBudget(double bytes_per_second);

  // Takes a round trip to a router of another region.
  void RecordRoundTrip(TimePoint now, Duration round_trip);
  // Notes what bodies of this region use together, in bytes a second.
  void SetUsage(double bytes_per_second) { usage_ = bytes_per_second; }
  // Takes over what this router's relay measured.
  void SetBudget(double bytes_per_second) { budget_ = bytes_per_second; }

  double BytesPerSecond() const { return budget_; }
  // Shortest round trip of the last second beyond the shortest of all.
  Duration queueing_delay() const { return queueing_delay_; }

 private:
  void Adjust(TimePoint now);

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
