// An adaptive limit on concurrent requests (AIMD): it grows while requests
// finish near their best latency and shrinks when they fail or slow down.

#ifndef MANGOYOKE_CONCURRENCY_LIMIT_H_
#define MANGOYOKE_CONCURRENCY_LIMIT_H_

#include <cstdint>

#include "mangoyoke/clock.h"

namespace mangoyoke {

// Counts requests in flight and adapts their limit. Not thread-safe.
class ConcurrencyLimit {
 public:
  // Starts with a limit of `maximum`. A maximum below 4 counts as 4.
  explicit ConcurrencyLimit(int64_t maximum);

  // Changes the maximum and, if it differs, resets the limit to it.
  void SetMaximum(int64_t maximum);
  // Counts one more request in flight. False, without counting it, if the limit
  // is reached.
  bool TryAcquire();
  // Ends a request for which TryAcquire returned true. `succeeded` is false for
  // timeouts and truncated responses.
  void Release(Duration latency, bool succeeded, TimePoint now);

  int64_t limit() const { return static_cast<int64_t>(limit_); }
  int64_t in_use() const { return in_use_; }

 private:
  void Shrink(TimePoint now);

  double maximum_;
  double limit_;  // In [kMinLimit (4), maximum_].
  int64_t in_use_ = 0;
  double best_latency_ms_ = 0;  // Decaying minimum; 0 if unknown.
  TimePoint last_shrink_{};
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_CONCURRENCY_LIMIT_H_
