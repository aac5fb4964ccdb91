// Decides which era the store is in, from the eras that its answers state and
// that other instances pass on.

#ifndef MANGOYOKE_GATEWAY_CORE_STORE_ERA_TRACKER_H_
#define MANGOYOKE_GATEWAY_CORE_STORE_ERA_TRACKER_H_

#include <optional>

#include "gateway/core/store_version.h"
#include "mangoyoke/clock.h"

namespace mangoyoke {

// What to do with an answer, by the era that it states.
enum class EraVerdict {
  kCurrent,  // Use it.
  kChanged,  // Its era has just become the current one: use it.
  kIgnored,  // It is of another era: use nothing of it.
};

// A later era becomes the current one when two answers state it that are newer
// than all that confirm the current one. So one wrong answer changes nothing,
// and a wrong era that others still hold does not come back. An earlier era
// becomes the current one only if nothing has confirmed the current one for
// kGiveUpTime: answers may arrive late, but an era that nobody confirms any
// more was none.
class StoreEraTracker {
 public:
  static constexpr Duration kGiveUpTime = Seconds(3);

  // An answer stated `era`, which held at `as_of` or later.
  EraVerdict OnAnswer(StoreEra era, TimePoint as_of);

  StoreEra era() const { return era_; }

 private:
  bool IsBelieved(StoreEra era, TimePoint as_of) const;

  StoreEra era_ = 0;
  std::optional<TimePoint> confirmed_at_;  // Last time at which era_ held.
  // Another era that an answer stated since.
  std::optional<StoreEra> candidate_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CORE_STORE_ERA_TRACKER_H_
