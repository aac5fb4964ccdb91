// Adoption of eras.

#include "gateway/core/store_era_tracker.h"

namespace mangoyoke {

EraVerdict StoreEraTracker::OnAnswer(StoreEra era, TimePoint as_of) {
  if (era == era_) {
    // Others may go on stating an era that they have confirmed long ago.
    if (!confirmed_at_ || as_of > *confirmed_at_) {
      confirmed_at_ = as_of;
      candidate_.reset();
    }
    return EraVerdict::kCurrent;
  }
  if (!IsBelieved(era, as_of)) {
    candidate_ = era;
    return EraVerdict::kIgnored;
  }
  era_ = era;
  confirmed_at_ = as_of;
  candidate_.reset();
  return EraVerdict::kChanged;
}

bool StoreEraTracker::IsBelieved(StoreEra era, TimePoint as_of) const {
  if (candidate_ != era) {
    return false;
  }
  Duration margin = era > era_ ? Duration::zero() : kGiveUpTime;
  return !confirmed_at_ || as_of > *confirmed_at_ + margin;
}

}  // namespace mangoyoke
