// Patience of a route's callers as a maximum that fades.

#include "gateway/core/caller_retry_detector.h"

namespace mangoyoke {
namespace {

// Part of the difference by which a shorter wait lowers the patience. Repeats
// must not hide first tries, and one odd caller must be forgotten.
constexpr double kFadeShare = 1.0 / 64;
// Callers' patience at a first try differs by less than this part.
constexpr double kSpreadShare = 0.17;

}  // namespace

Duration CallerRetryDetector::RecordTimeout(const std::string& route,
                                            Duration timeout) {
  auto [entry, first] = patience_.try_emplace(route, timeout);
  Duration& patience = entry->second;
  if (timeout >= patience) {
    patience = timeout;
    return Duration::zero();
  }
  Duration spent = patience - timeout;
  patience -= FromMillis(kFadeShare * ToMillis(spent));
  bool retry = ToMillis(spent) > kSpreadShare * ToMillis(patience);
  return retry ? spent : Duration::zero();
}

}  // namespace mangoyoke
