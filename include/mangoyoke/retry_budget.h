// Limits retries and hedged requests to a fixed share of all requests, so that
// a failing backend server does not cause a retry storm.

#ifndef MANGOYOKE_RETRY_BUDGET_H_
#define MANGOYOKE_RETRY_BUDGET_H_

#include <algorithm>

namespace mangoyoke {

// A token bucket that requests fill and retries empty. Not thread-safe.
class RetryBudget {
 public:
  // `share`: retries added to the budget by each request. `burst`: the largest
  // number of retries in the budget, and its initial content.
  RetryBudget(double share, double burst)
      : share_(share), burst_(burst), balance_(burst) {}

  // Adds the retries earned by one request.
  void OnRequest() { balance_ = std::min(burst_, balance_ + share_); }

  // Takes one retry from the budget. False if there is none left.
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
