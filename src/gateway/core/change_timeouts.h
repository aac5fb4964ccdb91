// Timeouts on the way of a change (a new configuration, a leaving server) from
// the store to all instances. All follow from one bound: the time within which
// a change has to be known on every instance that works.

#ifndef MANGOYOKE_GATEWAY_CORE_CHANGE_TIMEOUTS_H_
#define MANGOYOKE_GATEWAY_CORE_CHANGE_TIMEOUTS_H_

#include "mangoyoke/clock.h"

namespace mangoyoke {

// Roles and the age of the view are checked at this interval.
inline constexpr Duration kServingTickInterval = Millis(200);

// Timeouts of readers of the store and of the instances that follow them.
struct ChangeTimeouts {
  // How long the store may hold a long poll of each table.
  Millis config_watch{};
  Millis server_watch{};
  // A long poll fails if no response came this long after the time for which
  // the store may hold it.
  Millis response_margin{};
  // Longest delay before a reader retries a failed call.
  Millis max_retry_delay{};
  // A view is current for this long after the store confirmed it. Without a
  // current view, a follower reads the store itself.
  Millis max_unconfirmed{};

  bool operator==(const ChangeTimeouts&) const = default;

  // Longest time until an instance that reads `table_watch` sends a new call,
  // after its connection fell silent or the store forgot the call.
  Duration LongestSilence(Millis table_watch) const {
    return table_watch + response_margin + max_retry_delay;
  }
  // Longest time until a follower reads the store after the last confirmation
  // of its readers.
  Duration LongestFallback() const {
    return max_unconfirmed + kServingTickInterval;
  }
};

// Returns the timeouts for a change that has to be known within `bound`.
ChangeTimeouts DeriveChangeTimeouts(Millis bound);

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CORE_CHANGE_TIMEOUTS_H_
