// A mergeable summary of how long one backend server takes for a unit of work,
// by how busy it is.

#ifndef MANGOYOKE_GATEWAY_CORE_SPEED_SUMMARY_H_
#define MANGOYOKE_GATEWAY_CORE_SPEED_SUMMARY_H_

#include <array>
#include <cstddef>

#include "mangoyoke/clock.h"

namespace mangoyoke {

// Number of classes of load, each a range of requests in flight per slot.
inline constexpr size_t kLoadClasses = 4;

// The class of a server with `requests` other requests in flight.
size_t LoadClassOf(double requests, int slots);

// Observations at one class of load.
struct SpeedSums {
  double weight = 0;   // Decayed number of observations.
  double log_sum = 0;  // Decayed sum of the logarithms of their times.

  bool operator==(const SpeedSums&) const = default;
};

// Summaries of the same server add up.
struct SpeedSummary {
  // Observations lose half of their weight in this time.
  static constexpr Duration kHalfLife = Seconds(4);

  std::array<SpeedSums, kLoadClasses> classes;
  TimePoint as_of{};  // The sums are decayed to this time.

  bool operator==(const SpeedSummary&) const = default;

  // All observations together.
  double Weight() const;
  // The factor by which the sums have decayed at `now`.
  double Decay(TimePoint now) const;
  // Adds one observation. `log_time`: the logarithm of the time.
  void Add(size_t load_class, double log_time, TimePoint now);
  // Adds the observations of `other`. The result is as of the later of both.
  void Merge(const SpeedSummary& other);

 private:
  void DecayTo(TimePoint now);
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CORE_SPEED_SUMMARY_H_
