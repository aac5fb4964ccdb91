// Outlier ejection by smoothed slowness against the pool's median.

#include "mangoyoke/straggler_detector.h"

#include <algorithm>

namespace mangoyoke {
namespace {

constexpr double kSmoothing = 0.4;
constexpr double kEjectFactor = 2.0;    // Times the pool's median.
constexpr double kRestoreFactor = 1.5;  // A probe below this restores.
constexpr double kEjectFloor = 1.8;     // Never ejected below this slowness.
constexpr double kFailedSlowness = 10;
constexpr double kMaxEjectedShare = 0.34;
constexpr Duration kFirstHold = Millis(1000);
constexpr Duration kMaxHold = Millis(8000);

}  // namespace

void StragglerDetector::ObserveSlowness(const BackendId& id,
                                        double slowness,
                                        const std::vector<BackendId>& pool,
                                        TimePoint now) {
  Server& server = servers_[id];
  server.slowness += kSmoothing * (slowness - server.slowness);
  double median = std::max(1.0, MedianOf(pool));
  if (!server.ejected) {
    if (server.slowness > std::max(kEjectFloor, kEjectFactor * median)) {
      Eject(id, pool, now);
    }
    return;
  }
  if (now < server.probe_at) {
    return;  // From work placed before the ejection.
  }
  if (slowness <= kRestoreFactor * median) {
    server.ejected = false;
    server.slowness = slowness;
    server.ejection_duration = Duration{};
  } else {
    server.ejection_duration = std::min(kMaxHold, server.ejection_duration * 2);
    server.probe_at = now + server.ejection_duration;
  }
}

void StragglerDetector::ObserveFailure(const BackendId& id,
                                       const std::vector<BackendId>& pool,
                                       TimePoint now) {
  Server& server = servers_[id];
  server.slowness = std::max(server.slowness, kFailedSlowness);
  if (!server.ejected) {
    Eject(id, pool, now);
  } else if (now >= server.probe_at) {
    server.ejection_duration = std::min(kMaxHold, server.ejection_duration * 2);
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
  // The lower middle: in a pool of two, the faster one is the norm.
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
  // A pool of two may lose one.
  double allowed =
      std::max(1.0, kMaxEjectedShare * static_cast<double>(pool.size()));
  bool last_one = pool.size() < 2;
  if (last_one || static_cast<double>(ejected) + 1 > allowed) {
    return;
  }
  Server& server = servers_[id];
  server.ejected = true;
  server.ejection_duration = kFirstHold;
  server.probe_at = now + server.ejection_duration;
  ++ejections_;
}

}  // namespace mangoyoke
