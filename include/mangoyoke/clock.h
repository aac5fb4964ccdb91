// Time types and conversions. The classes of this library take the current time
// as an argument, so that tests need not wait for real time to pass.

#ifndef MANGOYOKE_CLOCK_H_
#define MANGOYOKE_CLOCK_H_

#include <algorithm>
#include <chrono>
#include <cmath>
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
// clock. Longer times than 73 years become as long, so that they can be added
// up; a value that is no number becomes 0.
inline Duration FromMillis(double millis) {
  constexpr Duration kLongest = Duration::max() / 4;
  if (std::isnan(millis)) {
    return Duration::zero();
  }
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(
          std::clamp(millis, -ToMillis(kLongest), ToMillis(kLongest))));
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
