// Bounds the lines of each kind of event, so that a flood of one kind neither
// costs the processor nor hides the others.

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

class LogLimiter {
 public:
  // Lines of one kind: `rate` a second, and `burst` at once.
  LogLimiter(double rate, double burst) : rate_(rate), burst_(burst) {}

  // Whether a line of `event` may be written now. If so, `left_out` is how
  // many were not since the last one.
  bool Allow(std::string_view event, TimePoint now, uint64_t& left_out) {
    auto found = buckets_.find(event);
    if (found == buckets_.end()) {
      found =
          buckets_.emplace(std::string(event), Bucket{burst_, now, 0}).first;
    }
    Bucket& bucket = found->second;
    double earned = rate_ * ToMillis(now - bucket.filled) / 1000;
    bucket.lines = std::min(burst_, bucket.lines + earned);
    bucket.filled = now;
    if (bucket.lines < 1) {
      ++bucket.left_out;
      return false;
    }
    bucket.lines -= 1;
    left_out = std::exchange(bucket.left_out, 0);
    return true;
  }

 private:
  struct Bucket {
    double lines = 0;  // That may be written at once.
    TimePoint filled;
    uint64_t left_out = 0;
  };

  double rate_;
  double burst_;
  std::map<std::string, Bucket, std::less<>> buckets_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_BASE_LOG_LIMITER_H_
