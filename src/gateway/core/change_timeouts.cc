// Derives the timeouts from the bound.

#include "gateway/core/change_timeouts.h"

#include <algorithm>

namespace mangoyoke {
namespace {

// Shares of the bound. What remains after kUnconfirmedShare is for the tick
// that notices it and for reading the tables; the difference of the two is for
// slow responses of the store and of readers.
constexpr double kConfigWatchShare = 0.45;
constexpr double kUnconfirmedShare = 0.65;
// A silent store has to be noticed before the rows of its servers expire, after
// three heartbeats.
constexpr Millis kMaxConfigWatch{2800};
// Longer than the configuration's, to save calls: a store that is out is
// noticed by the configuration's long poll, which restarts this one.
constexpr double kServerWatchFactor = 1.5;
constexpr Millis kResponseMargin{700};
constexpr Millis kMaxRetryDelay{600};

Millis Scale(Millis time, double factor) {
  return Millis(
      static_cast<int64_t>(static_cast<double>(time.count()) * factor));
}

}  // namespace

ChangeTimeouts DeriveChangeTimeouts(Millis bound) {
  ChangeTimeouts timeouts;
  timeouts.config_watch =
      std::min(Scale(bound, kConfigWatchShare), kMaxConfigWatch);
  timeouts.server_watch = Scale(timeouts.config_watch, kServerWatchFactor);
  timeouts.response_margin = kResponseMargin;
  timeouts.max_retry_delay = kMaxRetryDelay;
  timeouts.max_unconfirmed = Scale(bound, kUnconfirmedShare);
  return timeouts;
}

}  // namespace mangoyoke
