// Rate limit for log lines, by event name, so that a flood of one event neither
// uses up the CPU nor hides other events.

#ifndef MANGOYOKE_BASE_LOG_LIMITER_H_
#define MANGOYOKE_BASE_LOG_LIMITER_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "mangoyoke/clock.h"

namespace mangoyoke {

// One token bucket for each event name. Not thread-safe.
class LogLimiter {
 public:
  // Limits for each event name: `rate` lines per second, `burst` lines at once.
  LogLimiter(double rate, double burst) : rate_(rate), burst_(burst) {}

  // Whether a line of `event` may be written now. If so, sets `suppressed`
  // to the number of lines refused since the last allowed one.
  bool Allow(std::string_view event, TimePoint now, uint64_t& suppressed) {
    auto found = buckets_.find(event);
    if (found == buckets_.end()) {
      found =
          buckets_.emplace(std::string(event), Bucket{burst_, now, 0}).first;
    }
    Bucket& bucket = found->second;
    double refill = rate_ * ToMillis(now - bucket.refilled_at) / 1000;
    bucket.tokens = std::min(burst_, bucket.tokens + refill);
    bucket.refilled_at = now;
    if (bucket.tokens < 1) {
      ++bucket.suppressed;
      return false;
    }
    bucket.tokens -= 1;
    suppressed = std::exchange(bucket.suppressed, 0);
    return true;
  }

 private:
  struct Bucket {
    double tokens = 0;  // Lines that may be written at once.
    TimePoint refilled_at;
    uint64_t suppressed = 0;
  };

  double rate_;
  double burst_;
  std::map<std::string, Bucket, std::less<>> buckets_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_BASE_LOG_LIMITER_H_
