// Use of client accounts: how much their requests ask for and how much of it
// was admitted, in units of their quotas.

#ifndef MANGOYOKE_GATEWAY_CORE_ACCOUNT_USE_H_
#define MANGOYOKE_GATEWAY_CORE_ACCOUNT_USE_H_

#include <cstddef>
#include <cstdint>
#include <map>

#include "mangoyoke/clock.h"
#include "mangoyoke/plan.h"

namespace mangoyoke {

// Recent use of one account, in units of its quota per second.
struct AccountUse {
  double demanded_per_s = 0;  // By all of its requests.
  double admitted_per_s = 0;

  bool operator==(const AccountUse&) const = default;
  AccountUse& operator+=(const AccountUse& other);
  AccountUse& operator*=(double factor);
};

using UseByAccount = std::map<AccountId, AccountUse>;

// The use of accounts at some instances.
struct AccountUseReport {
  size_t instances = 0;  // Whose use is in the report.
  // Accounts that are not in it have no use.
  bool complete = true;
  UseByAccount use;

  bool operator==(const AccountUseReport&) const = default;
};

// What one instance reports on its own use of an account.
struct OwnUse {
  AccountUse recent;
  // Since the start of its process, without what was refunded.
  double admitted = 0;

  bool operator==(const OwnUse&) const = default;
};

// The own use of one instance, of the accounts that had requests lately.
struct OwnUseReport {
  uint32_t process = 0;  // Differs after a restart.
  std::map<AccountId, OwnUse> use;

  bool operator==(const OwnUseReport&) const = default;
};

// Use is averaged exponentially: an admission of 1 adds 1 / kUseTimeConstant to
// the rate, which then decays. Hence the integral of the rate over time is what
// was admitted, and instances that integrate the rates of their peers miss
// nothing in the long run, whichever reports are lost.
inline constexpr Duration kUseTimeConstant = Millis(500);

// The rate of `amount` that was just admitted.
double UseRate(double amount);
// What is left of a rate after `elapsed` without requests; from 1 to 0.
double UseDecay(Duration elapsed);

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CORE_ACCOUNT_USE_H_
