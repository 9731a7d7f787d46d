#include "decisions/arrival_rate.h"

#include <algorithm>
#include <cmath>

namespace corianderpost {
namespace {

// Number of requests from which on a run's own rate is used.
constexpr int kMinRunRequests = 8;
// A run is rated over at least this time, and a silence shorter than this does
// not end it.
constexpr Duration kMinRunTime = std::chrono::milliseconds(150);
// A run has ended after a silence of this many mean gaps between its requests.
constexpr double kEndingGaps = 6.0;
// The time constant of a rising rate, as a part of that of the average.
constexpr int kRecentParts = 5;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

ArrivalRate::ArrivalRate(Duration time_constant)
    : time_constant_(time_constant),
      average_(time_constant),
      recent_units_(time_constant / kRecentParts),
      recent_requests_(time_constant / kRecentParts),
      run_units_(time_constant) {}

bool ArrivalRate::HasReliableRun() const {
  return run_requests_ >= kMinRunRequests;
}

Duration ArrivalRate::EndingSilence() const {
  if (!HasReliableRun()) {
    return time_constant_;
  }
  const Duration mean_gap = (last_request_at_ - run_began_at_) / run_requests_;
  return std::clamp(Duration(static_cast<std::int64_t>(
                        kEndingGaps * static_cast<double>(mean_gap.count()))),
                    kMinRunTime, time_constant_);
}

void ArrivalRate::Add(TimePoint now, double units) {
  if (run_requests_ == 0 || now - last_request_at_ > EndingSilence()) {
    run_requests_ = 0;
    run_began_at_ = now;
    run_units_ = RateMeter(time_constant_);
  }
  ++run_requests_;
  last_request_at_ = now;
  run_units_.Add(now, units);
  average_.Add(now, units);
  recent_units_.Add(now, units);
  recent_requests_.Add(now, 1);
}

double ArrivalRate::Rising(TimePoint now) const {
  const double requests =
      recent_requests_.PerSecond(now) * Seconds(time_constant_ / kRecentParts);
  // One standard deviation of the number of requests below the rate.
  const double certain = std::max(0.0, 1.0 - 1.0 / std::sqrt(requests + 1e-9));
  return std::max(Average(now), certain * recent_units_.PerSecond(now));
}

double ArrivalRate::Current(TimePoint now) const {
  if (!HasReliableRun()) {
    return Average(now);
  }
  if (now - last_request_at_ > EndingSilence()) {
    return 0;
  }
  // The meter has seen only the run, so it lacks the weight of the time before.
  const double age_seconds =
      Seconds(std::max(now - run_began_at_, kMinRunTime));
  const double weight = 1.0 - std::exp(-age_seconds / Seconds(time_constant_));
  return run_units_.PerSecond(now) / weight;
}

}  // namespace corianderpost
