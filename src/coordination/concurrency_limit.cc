// AIMD: additive increase of the limit on fast successful requests,
// multiplicative decrease on slow or failed ones.

#include "mangoyoke/concurrency_limit.h"

#include <algorithm>

namespace mangoyoke {
namespace {

constexpr double kMinLimit = 4;
constexpr double kShrinkFactor = 0.8;
// A latency above this multiple of the best one is taken as a sign that
// requests queue at the server.
constexpr double kSlowFactor = 8;
// Latencies up to this never count as slow, whatever the best one is.
constexpr double kMinSlowLatencyMs = 50;
// Factor by which the best latency rises with each sample, so that an old
// minimum is forgotten.
constexpr double kBestLatencyGrowth = 1.001;
// Time between decreases. One overload lasts about this long and must decrease
// the limit only once.
constexpr Duration kShrinkInterval = Millis(200);

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(int64_t maximum)
    : maximum_(std::max(kMinLimit, static_cast<double>(maximum))),
      limit_(maximum_) {}

void ConcurrencyLimit::SetMaximum(int64_t maximum) {
  double new_maximum = std::max(kMinLimit, static_cast<double>(maximum));
  if (new_maximum != maximum_) {
    maximum_ = new_maximum;
    limit_ = new_maximum;
  }
}

bool ConcurrencyLimit::TryAcquire() {
  if (in_use_ >= limit()) {
    return false;
  }
  ++in_use_;
  return true;
}

void ConcurrencyLimit::Release(Duration latency,
                               bool succeeded,
                               TimePoint now) {
  --in_use_;
  double millis = ToMillis(latency);
  if (!succeeded) {
    Shrink(now);
    return;
  }
  best_latency_ms_ =
      best_latency_ms_ == 0
          ? millis
          : std::min(best_latency_ms_ * kBestLatencyGrowth, millis);
  if (millis > kMinSlowLatencyMs && millis > best_latency_ms_ * kSlowFactor) {
    Shrink(now);
  } else {
    limit_ = std::min(maximum_, limit_ + 1 / limit_);
  }
}

void ConcurrencyLimit::Shrink(TimePoint now) {
  if (now - last_shrink_ < kShrinkInterval) {
    return;
  }
  last_shrink_ = now;
  limit_ = std::max(kMinLimit, limit_ * kShrinkFactor);
}

}  // namespace mangoyoke
