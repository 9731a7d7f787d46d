// Limits the requests that a router handles while its processor is saturated.
//
// The limit follows the lag of the event loop: it falls while ticks are late
// and rises while they are on time. Below the limit, requests are divided
// max-min fairly between the customers, so that a flood of one customer does
// not take the service of others at the same router. Requests beyond it are
// meant to be rejected with as little work as possible, and to be retried at
// other routers.
#ifndef CORIANDERPOST_DECISIONS_PROCESSOR_ADMISSION_H_
#define CORIANDERPOST_DECISIONS_PROCESSOR_ADMISSION_H_

#include "corianderpost/clock.h"
#include "corianderpost/ids.h"
#include "decisions/fair_share.h"
#include "decisions/rate_meter.h"

namespace corianderpost {

// Not thread-safe.
class ProcessorAdmission {
 public:
  // Records a tick of the event loop that ran `lag` after it was due. Ticks are
  // expected every 25 ms.
  void RecordTick(TimePoint now, Duration lag);
  // Counts a request of `customer` and returns whether to handle it. Requests
  // without a customer share one entry, that of CustomerId().
  bool TryAdmit(TimePoint now, CustomerId customer);

  // Returns whether requests may be rejected now.
  bool is_limiting() const { return limit_per_second_ > 0; }
  // Requests per second; zero means no limit.
  double limit_per_second() const { return limit_per_second_; }

 private:
  void SetLimit(double requests_per_second);

  double limit_per_second_ = 0;
  // Highest rate of admitted requests, slowly forgotten.
  double peak_per_second_ = 0;
  double mean_lag_ms_ = 0;
  TimePoint lowered_at_;
  TimePoint raised_at_;
  TimePoint last_rejected_at_;
  RateMeter admitted_{std::chrono::milliseconds(500)};
  // Divides the limit between the customers. A unit is a request.
  FairShare share_{FairShare::Memory::kFromNowOn};
};

}  // namespace corianderpost

#endif  // CORIANDERPOST_DECISIONS_PROCESSOR_ADMISSION_H_
