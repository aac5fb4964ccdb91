// Outlier ejection: compares the smoothed slowness of a server with the median
// of its pool.

#include "mangoyoke/straggler_detector.h"

#include <algorithm>

namespace mangoyoke {
namespace {

constexpr double kSmoothing = 0.4;  // Weight of a new sample.
// Multiples of the pool's median slowness: above the first a server is ejected,
// by a probe up to the second it is restored.
constexpr double kEjectFactor = 2.0;
constexpr double kRestoreFactor = 1.5;
// A smoothed slowness up to this does not eject, whatever the median is.
constexpr double kMinEjectSlowness = 1.8;
// A failure raises the slowness to at least this.
constexpr double kSlownessAfterFailure = 10;
constexpr double kMaxEjectedShare = 0.34;  // Of the servers of a pool.
// Length of the first ejection; it doubles with each failed probe up to the
// maximum.
constexpr Duration kInitialEjection = Millis(1000);
constexpr Duration kMaxEjection = Millis(8000);

}  // namespace

void StragglerDetector::ObserveSlowness(const BackendId& id,
                                        double slowness,
                                        const std::vector<BackendId>& pool,
                                        TimePoint now) {
  Server& server = servers_[id];
  server.slowness += kSmoothing * (slowness - server.slowness);
  double median = std::max(1.0, MedianOf(pool));
  if (!server.ejected) {
    if (server.slowness > std::max(kMinEjectSlowness, kEjectFactor * median)) {
      Eject(id, pool, now);
    }
    return;
  }
  if (now < server.probe_at) {
    return;  // The sample belongs to a request placed before the ejection.
  }
  if (slowness <= kRestoreFactor * median) {
    server.ejected = false;
    server.slowness = slowness;
    server.ejection_duration = Duration{};
  } else {
    server.ejection_duration =
        std::min(kMaxEjection, server.ejection_duration * 2);
    server.probe_at = now + server.ejection_duration;
  }
}

void StragglerDetector::ObserveFailure(const BackendId& id,
                                       const std::vector<BackendId>& pool,
                                       TimePoint now) {
  Server& server = servers_[id];
  server.slowness = std::max(server.slowness, kSlownessAfterFailure);
  if (!server.ejected) {
    Eject(id, pool, now);
  } else if (now >= server.probe_at) {
    server.ejection_duration =
        std::min(kMaxEjection, server.ejection_duration * 2);
    server.probe_at = now + server.ejection_duration;
  }
}

StragglerDetector::Health StragglerDetector::HealthOf(const BackendId& id,
                                                      TimePoint now) const {
  auto it = servers_.find(id);
  if (it == servers_.end() || !it->second.ejected) {
    return Health::kNormal;
  }
  return now >= it->second.probe_at ? Health::kProbing : Health::kEjected;
}

double StragglerDetector::SlownessOf(const BackendId& id) const {
  auto it = servers_.find(id);
  return it == servers_.end() ? 1 : std::max(1.0, it->second.slowness);
}

double StragglerDetector::MedianOf(const std::vector<BackendId>& pool) const {
  std::vector<double> values;
  for (const BackendId& id : pool) {
    values.push_back(SlownessOf(id));
  }
  if (values.empty()) {
    return 1;
  }
  // Lower median, so that in a pool of two the faster server is the reference.
  auto middle =
      values.begin() + static_cast<ptrdiff_t>((values.size() - 1) / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

void StragglerDetector::Eject(const BackendId& id,
                              const std::vector<BackendId>& pool,
                              TimePoint now) {
  auto ejected =
      std::count_if(pool.begin(), pool.end(), [this](const BackendId& other) {
        auto it = servers_.find(other);
        return it != servers_.end() && it->second.ejected;
      });
  // At least 1, so that one server of a pool of two may be ejected.
  double allowed =
      std::max(1.0, kMaxEjectedShare * static_cast<double>(pool.size()));
  bool single_server = pool.size() < 2;
  if (single_server || static_cast<double>(ejected) + 1 > allowed) {
    return;
  }
  Server& server = servers_[id];
  server.ejected = true;
  server.ejection_duration = kInitialEjection;
  server.probe_at = now + server.ejection_duration;
  ++ejections_;
}

}  // namespace mangoyoke
