// Estimates the initial timeout of a route's callers as a maximum that decays
// toward shorter timeouts.

#include "gateway/core/caller_retry_detector.h"

namespace mangoyoke {
namespace {

// Each shorter timeout lowers the estimate by this fraction of the difference.
// Small, so that caller retries do not pull the estimate down to their own
// timeouts; above zero, so that one caller with an unusually long timeout is
// forgotten.
constexpr double kDecayFraction = 1.0 / 64;
// The timeouts of first tries on one route differ by less than this fraction.
constexpr double kSpreadFraction = 0.17;

}  // namespace

Duration CallerRetryDetector::RecordTimeout(const std::string& route,
                                            Duration timeout) {
  auto [it, inserted] = initial_timeouts_.try_emplace(route, timeout);
  Duration& initial_timeout = it->second;
  if (timeout >= initial_timeout) {
    initial_timeout = timeout;
    return Duration::zero();
  }
  Duration spent = initial_timeout - timeout;
  initial_timeout -= FromMillis(kDecayFraction * ToMillis(spent));
  bool retry = ToMillis(spent) > kSpreadFraction * ToMillis(initial_timeout);
  return retry ? spent : Duration::zero();
}

}  // namespace mangoyoke
