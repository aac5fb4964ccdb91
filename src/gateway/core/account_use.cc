// Sums and decay of the use of accounts.

#include "gateway/core/account_use.h"

#include <cmath>

namespace mangoyoke {

AccountUse& AccountUse::operator+=(const AccountUse& other) {
  demanded_per_s += other.demanded_per_s;
  admitted_per_s += other.admitted_per_s;
  return *this;
}

AccountUse& AccountUse::operator*=(double factor) {
  demanded_per_s *= factor;
  admitted_per_s *= factor;
  return *this;
}

double UseRate(double amount) {
  return amount / std::chrono::duration<double>(kUseTimeConstant).count();
}

double UseDecay(Duration elapsed) {
  return elapsed <= Duration::zero()
             ? 1.0
             : std::exp(-ToMillis(elapsed) / ToMillis(kUseTimeConstant));
}

}  // namespace mangoyoke
