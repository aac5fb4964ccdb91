// Decaying sums.

#include "gateway/core/speed_summary.h"

#include <algorithm>
#include <cmath>

namespace mangoyoke {

size_t LoadClassOf(double requests, int slots) {
  double share = std::max(0.0, requests) / std::max(1, slots);
  return std::min(static_cast<size_t>(share * kLoadClasses), kLoadClasses - 1);
}

double SpeedSummary::Weight() const {
  double weight = 0;
  for (const SpeedSums& sums : classes) {
    weight += sums.weight;
  }
  return weight;
}

double SpeedSummary::Decay(TimePoint now) const {
  return now <= as_of ? 1
                      : std::exp2(-ToMillis(now - as_of) / ToMillis(kHalfLife));
}

void SpeedSummary::DecayTo(TimePoint now) {
  if (now <= as_of) {
    return;
  }
  double decay = Decay(now);
  for (SpeedSums& sums : classes) {
    sums.weight *= decay;
    sums.log_sum *= decay;
  }
  as_of = now;
}

void SpeedSummary::Add(size_t load_class, double log_time, TimePoint now) {
  DecayTo(now);
  classes[load_class].weight += 1;
  classes[load_class].log_sum += log_time;
}

void SpeedSummary::Merge(const SpeedSummary& other) {
  DecayTo(other.as_of);
  double decay = other.Decay(as_of);
  for (size_t i = 0; i < kLoadClasses; ++i) {
    classes[i].weight += decay * other.classes[i].weight;
    classes[i].log_sum += decay * other.classes[i].log_sum;
  }
}

}  // namespace mangoyoke
