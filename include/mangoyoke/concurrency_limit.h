// A concurrency limit that follows completions: it grows while calls finish
// near their best latency and shrinks when they time out or slow down.

#ifndef MANGOYOKE_CONCURRENCY_LIMIT_H_
#define MANGOYOKE_CONCURRENCY_LIMIT_H_

#include <cstdint>

#include "mangoyoke/clock.h"

namespace mangoyoke {

class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(int64_t maximum);

  void SetMaximum(int64_t maximum);
  // Takes a place, if there is one.
  bool TryAcquire();
  // Returns a place. `succeeded` is false for timeouts and broken answers.
  void Release(Duration latency, bool succeeded, TimePoint now);

  int64_t limit() const { return static_cast<int64_t>(limit_); }
  int64_t in_use() const { return in_use_; }

 private:
  void Shrink(TimePoint now);

  double maximum_;
  double limit_;  // In [kMinimum, maximum_].
  int64_t in_use_ = 0;
  double best_ms_ = 0;  // Slowly forgetting minimum latency; 0 if unknown.
  TimePoint last_shrink_{};
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_CONCURRENCY_LIMIT_H_
