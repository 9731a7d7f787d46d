// Limits retries to a share of the requests, so that failures do not multiply
// load.
#ifndef CORIANDERPOST_INTERNAL_RETRY_BUDGET_H_
#define CORIANDERPOST_INTERNAL_RETRY_BUDGET_H_

#include <algorithm>

namespace corianderpost::internal {

// Every request earns a part of a retry; a retry costs a whole one. The sum
// over the fleet is bounded because each router's is. Not thread-safe.
class RetryBudget {
 public:
  void Earn() { balance_ = std::min(kMaxBalance, balance_ + kEarnedByRequest); }

  // Takes one retry; returns false, taking nothing, if there is none.
  bool TrySpend() {
    if (balance_ < 1.0) {
      return false;
    }
    balance_ -= 1.0;
    return true;
  }

 private:
  static constexpr double kEarnedByRequest = 0.1;
  static constexpr double kMaxBalance = 20.0;
  double balance_ = kMaxBalance;
};

}  // namespace corianderpost::internal

#endif  // CORIANDERPOST_INTERNAL_RETRY_BUDGET_H_
