// Limits the concurrent requests of each client account on this instance.

#ifndef MANGOYOKE_DAEMON_TRAFFIC_ACCOUNT_REQUEST_LIMITER_H_
#define MANGOYOKE_DAEMON_TRAFFIC_ACCOUNT_REQUEST_LIMITER_H_

#include <cstdint>
#include <map>
#include <mutex>

#include "mangoyoke/plan.h"

namespace mangoyoke {

// Counts active requests by client account. Shared by all traffic threads;
// thread-safe.
class AccountRequestLimiter {
 public:
  // Counts one more active request of `account`. Returns false, and counts
  // nothing, if `maximum` requests are already active.
  bool TryAcquire(const AccountId& account, int64_t maximum) {
    std::lock_guard lock(mutex_);
    int64_t& active = active_requests_[account];
    if (active >= maximum) {
      return false;
    }
    ++active;
    return true;
  }

  // Ends one request that TryAcquire counted.
  void Release(const AccountId& account) {
    std::lock_guard lock(mutex_);
    auto it = active_requests_.find(account);
    if (it != active_requests_.end() && --it->second == 0) {
      active_requests_.erase(it);
    }
  }

 private:
  std::mutex mutex_;
  std::map<AccountId, int64_t> active_requests_;  // All counts are > 0.
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_DAEMON_TRAFFIC_ACCOUNT_REQUEST_LIMITER_H_
