// This router's part of a rate limit that all routers share.
//
// Routers get parts of the limit in proportion to the requests that they would
// like to send, so that the limit is used however unevenly requests reach the
// routers, and each router only has to know the sum of the others. A part
// below one request per second can't be spent evenly in each second: then the
// router draws at random whether it may send one in this second. Otherwise many
// routers with a whole request of credit each could exceed the limit together.
#ifndef CORIANDERPOST_DECISIONS_RATE_LIMIT_H_
#define CORIANDERPOST_DECISIONS_RATE_LIMIT_H_

#include <random>

#include "corianderpost/clock.h"
#include "decisions/rate_meter.h"

namespace corianderpost {

// Requests per second that wanted to use a limit, and those that did, at one
// router or several.
struct LimitUse {
  double wanted = 0;
  double sent = 0;
  friend bool operator==(const LimitUse&, const LimitUse&) = default;
};

// Not thread-safe.
class RateLimit {
 public:
  // Returns whether a request may be sent now. Counts the request as wanted.
  // `limit` is in requests per second for all routers together, `peers` is the
  // use by all other routers together, and `fleet_size` is the number of
  // routers including this one.
  bool HasCredit(TimePoint now, double limit, const LimitUse& peers,
                 int fleet_size, std::minstd_rand& random);
  // Spends the credit of one request.
  void Spend(TimePoint now);
  // Returns the use at this router, to be sent to peers.
  LimitUse LocalUse(TimePoint now) const {
    return {wanted_.PerSecond(now), sent_.PerSecond(now)};
  }
  // Returns this router's part of the limit, in requests per second.
  double LocalRate(TimePoint now, double limit, const LimitUse& peers,
                   int fleet_size) const;

 private:
  static constexpr Duration kTimeConstant = std::chrono::milliseconds(1500);

  RateMeter wanted_{kTimeConstant};
  RateMeter sent_{kTimeConstant};
  // `wanted` as peers know it.
  double reported_wanted_ = 0;
  double next_reported_wanted_ = 0;
  TimePoint reported_at_;
  // Requests that may be sent now.
  double credit_ = 0;
  TimePoint credit_updated_at_;
  // Whether this router may send during the current turn.
  bool is_sender_ = false;
  bool has_sent_in_turn_ = false;
  TimePoint turn_ends_at_;
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_DECISIONS_RATE_LIMIT_H_
