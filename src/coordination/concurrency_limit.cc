// Additive increase, multiplicative decrease on latency and failures.

#include "mangoyoke/concurrency_limit.h"

#include <algorithm>

namespace mangoyoke {
namespace {

constexpr double kMinimum = 4;
constexpr double kShrinkFactor = 0.8;
// Latency above this multiple of the best means queueing at the server.
constexpr double kSlowFactor = 8;
// Latencies below this are never called slow.
constexpr double kNeverSlowMs = 50;
// The best latency is forgotten at this rate for each sample.
constexpr double kForget = 1.001;
// One overload lasts about this long; it shrinks the limit once.
constexpr Duration kShrinkInterval = Millis(200);

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(int64_t maximum)
    : maximum_(std::max(kMinimum, static_cast<double>(maximum))),
      limit_(maximum_) {}

void ConcurrencyLimit::SetMaximum(int64_t maximum) {
  double wanted = std::max(kMinimum, static_cast<double>(maximum));
  if (wanted != maximum_) {
    maximum_ = wanted;
    limit_ = wanted;
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
  best_ms_ = best_ms_ == 0 ? millis : std::min(best_ms_ * kForget, millis);
  if (millis > kNeverSlowMs && millis > best_ms_ * kSlowFactor) {
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
  limit_ = std::max(kMinimum, limit_ * kShrinkFactor);
}

}  // namespace mangoyoke
