// Open requests of each client account in this instance. Thread-safe.

#ifndef MANGOYOKE_DAEMON_TRAFFIC_ACCOUNT_REQUEST_LIMITER_H_
#define MANGOYOKE_DAEMON_TRAFFIC_ACCOUNT_REQUEST_LIMITER_H_

#include <cstdint>
#include <map>
#include <mutex>

#include "mangoyoke/plan.h"

namespace mangoyoke {

class AccountRequestLimiter {
 public:
  // Counts one more open request, unless `maximum` are open.
  bool TryAcquire(const AccountId& account, int64_t maximum) {
    std::lock_guard lock(mutex_);
    int64_t& open = open_[account];
    if (open >= maximum) {
      return false;
    }
    ++open;
    return true;
  }

  void Release(const AccountId& account) {
    std::lock_guard lock(mutex_);
    auto it = open_.find(account);
    if (it != open_.end() && --it->second == 0) {
      open_.erase(it);
    }
  }

 private:
  std::mutex mutex_;
  std::map<AccountId, int64_t> open_;  // All counts are positive.
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_DAEMON_TRAFFIC_ACCOUNT_REQUEST_LIMITER_H_
