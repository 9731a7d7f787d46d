#include "decisions/rate_limit.h"

#include <algorithm>

namespace corianderpost {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Length of a turn. A router whose part is smaller than one request per turn
// draws once per turn whether it sends.
constexpr Duration kTurn = seconds(1);
// Time until peers know this router's demand. Its part grows only then, when
// the parts of the others shrink.
constexpr Duration kReportDelay = milliseconds(300);
// A figure for the demand that is older than this is too high if the demand has
// ended meanwhile.
constexpr Duration kMaxReportedAge = seconds(1);
// Demand, in requests per second, that is assumed at all routers together on
// top of the reported one, in equal parts: before any demand is known, each
// router has an equal part of the limit.
constexpr double kAssumedWanted = 1.0;
// Bounds of the correction by the measured rate of all routers.
constexpr double kMinCorrection = 0.5;
constexpr double kMaxCorrection = 1.5;
constexpr double kCorrectionGain = 3.0;
// Smallest limit, in requests per second, that routers use. Without any
// request they would never learn that the limit has ended.
constexpr double kMinLimit = 0.1;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Returns a uniformly distributed number from 0 to 1.
double Uniform(std::minstd_rand& random) {
  constexpr double kScale = 1.0 / std::minstd_rand::max();
  return kScale * static_cast<double>(random());
}

}  // namespace

double RateLimit::LocalRate(TimePoint now, double limit, const LimitUse& peers,
                            int fleet_size) const {
  const double effective_limit = std::max(limit, kMinLimit);
  const double part =
      (reported_wanted_ + kAssumedWanted / std::max(1, fleet_size)) /
      (reported_wanted_ + peers.wanted + kAssumedWanted);
  const double excess =
      (sent_.PerSecond(now) + peers.sent - effective_limit) / effective_limit;
  return effective_limit * part *
         std::clamp(1.0 - kCorrectionGain * excess, kMinCorrection,
                    kMaxCorrection);
}

bool RateLimit::HasCredit(TimePoint now, double limit, const LimitUse& peers,
                          int fleet_size, std::minstd_rand& random) {
  wanted_.Add(now, 1);
  if (now - reported_at_ >= kReportDelay) {
    const double wanted = wanted_.PerSecond(now);
    const bool is_outdated = now - reported_at_ >= kMaxReportedAge;
    reported_wanted_ = is_outdated ? std::min(next_reported_wanted_, wanted)
                                   : next_reported_wanted_;
    reported_at_ = now;
    next_reported_wanted_ = wanted;
  }
  const double rate = LocalRate(now, limit, peers, fleet_size);
  const double rate_per_turn = rate * Seconds(kTurn);
  if (now >= turn_ends_at_) {
    // Turns of different routers end at different times.
    const bool is_first = turn_ends_at_ == TimePoint();
    const double turns = is_first ? Uniform(random) : 1.0;
    turn_ends_at_ =
        now + Duration(static_cast<std::int64_t>(turns * 1e6 * Seconds(kTurn)));
    // A router that was drawn and has not sent yet keeps its turn.
    if (!is_sender_ || has_sent_in_turn_ || is_first) {
      is_sender_ = Uniform(random) < rate_per_turn;
      if (rate_per_turn < 1.0 || is_first) {
        const bool is_scarce =
            wanted_.PerSecond(now) + peers.wanted > std::max(limit, kMinLimit);
        credit_ = is_scarce ? Uniform(random) : 1.0;
        credit_updated_at_ = now;
      }
    }
    has_sent_in_turn_ = false;
  }
  // A router whose part is smaller than one request per turn gets one in each
  // turn for which it was drawn.
  const double turn_rate = std::max(rate, 1.0 / Seconds(kTurn));
  credit_ =
      std::min(1.0, credit_ + turn_rate * Seconds(now - credit_updated_at_));
  credit_updated_at_ = now;
  return is_sender_ && credit_ >= 1.0;
}

void RateLimit::Spend(TimePoint now) {
  credit_ -= 1.0;
  has_sent_in_turn_ = true;
  sent_.Add(now, 1);
}

}  // namespace corianderpost
