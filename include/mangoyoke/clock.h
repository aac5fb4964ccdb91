// Time types and conversions. The classes of this library take the current time
// as an argument, so that tests need not wait for real time to pass.

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

// Returns `duration` in milliseconds, including the fraction.
inline double ToMillis(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

// Returns `millis` as a duration. The fraction is kept to the resolution of the
// clock.
inline Duration FromMillis(double millis) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(millis));
}

// Returns the wall-clock time in seconds since the Unix epoch.
inline int64_t WallSeconds() {
  return std::chrono::duration_cast<Seconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// Returns the wall-clock time in milliseconds since the Unix epoch.
inline int64_t WallMillis() {
  return std::chrono::duration_cast<Millis>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace mangoyoke

#endif  // MANGOYOKE_CLOCK_H_
