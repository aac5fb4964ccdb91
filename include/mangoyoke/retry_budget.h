// Limits retries and hedges to a fixed share of requests, so that a failing
// backend server never causes a retry storm.

#ifndef MANGOYOKE_RETRY_BUDGET_H_
#define MANGOYOKE_RETRY_BUDGET_H_

#include <algorithm>

namespace mangoyoke {

class RetryBudget {
 public:
  // `share`: retries earned by each request. `burst`: most retries saved up.
  RetryBudget(double share, double burst)
      : share_(share), burst_(burst), balance_(burst) {}

  void OnRequest() { balance_ = std::min(burst_, balance_ + share_); }

  // Takes one retry from the budget, if there is one.
  bool TryAcquire() {
    if (balance_ < 1) {
      return false;
    }
    balance_ -= 1;
    return true;
  }

 private:
  double share_;
  double burst_;
  double balance_;  // In [0, burst_].
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_RETRY_BUDGET_H_
