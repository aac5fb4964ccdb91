// Finds backend servers that are slower than their pool, from what entries
// see themselves (time for each token), not from lagged load reports.
//
// An ejected server gets no new work. After a while it is to be probed, and it
// returns when a probe is fast. At most a share of the pool is ejected, so
// that the rest is never overrun.

#ifndef MANGOYOKE_STRAGGLER_DETECTOR_H_
#define MANGOYOKE_STRAGGLER_DETECTOR_H_

#include <map>
#include <string>
#include <vector>

#include "mangoyoke/clock.h"
#include "mangoyoke/plan.h"

namespace mangoyoke {

class StragglerDetector {
 public:
  enum class Health { kNormal, kProbing, kEjected };

  // `slowness` is observed time divided by expected time, 1 when as planned.
  // `pool` holds all servers that do the same work.
  void ObserveSlowness(const BackendId& id,
                       double slowness,
                       const std::vector<BackendId>& pool,
                       TimePoint now);
  // A connection to the server failed, or its answer broke off.
  void ObserveFailure(const BackendId& id,
                      const std::vector<BackendId>& pool,
                      TimePoint now);

  Health HealthOf(const BackendId& id, TimePoint now) const;
  // Smoothed slowness; 1 if unknown.
  double SlownessOf(const BackendId& id) const;
  uint64_t ejections() const { return ejections_; }
  void Forget(const BackendId& id) { servers_.erase(id); }

 private:
  struct Server {
    double slowness = 1;
    bool ejected = false;
    TimePoint probe_at{};          // When probing starts, if ejected.
    Duration ejection_duration{};  // Length of the last ejection.
  };

  double MedianOf(const std::vector<BackendId>& pool) const;
  void Eject(const BackendId& id,
             const std::vector<BackendId>& pool,
             TimePoint now);

  std::map<BackendId, Server> servers_;
  uint64_t ejections_ = 0;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_STRAGGLER_DETECTOR_H_
