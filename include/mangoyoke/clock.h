// Time types. Decisions take the current time as an argument, so that tests
// drive them without waiting.

#ifndef MANGOYOKE_CLOCK_H_
#define MANGOYOKE_CLOCK_H_

#include <chrono>
#include <cstdint>

namespace mangoyoke {

using SteadyClock = std::chrono::steady_clock;
using TimePoint = SteadyClock::time_point;
using Duration = SteadyClock::duration;
using Millis = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

// Milliseconds in `duration`, with fraction.
inline double ToMillis(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

// `millis` as a duration; the fraction is kept to the clock's resolution.
inline Duration FromMillis(double millis) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(millis));
}

// Seconds since 1970 by the wall clock.
inline int64_t WallSeconds() {
  return std::chrono::duration_cast<Seconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// Milliseconds since 1970 by the wall clock.
inline int64_t WallMillis() {
  return std::chrono::duration_cast<Millis>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace mangoyoke

#endif  // MANGOYOKE_CLOCK_H_
