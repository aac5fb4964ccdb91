// Detects backend servers that are much slower than their pool (outlier
// ejection). It uses the time per token that instances measure on their own
// requests, since the load reports of servers lag.
//
// An ejected server is to get no new requests. After a while its health is
// kProbing: it is to be probed, and it is restored by a fast probe. At most a
// share of the pool is ejected, so that the other servers are not overloaded.

#ifndef MANGOYOKE_STRAGGLER_DETECTOR_H_
#define MANGOYOKE_STRAGGLER_DETECTOR_H_

#include <map>
#include <string>
#include <vector>

#include "mangoyoke/clock.h"
#include "mangoyoke/plan.h"

namespace mangoyoke {

// Tracks the slowness of servers and ejects outliers. Not thread-safe.
class StragglerDetector {
 public:
  // kProbing: ejected, and to be probed now.
  enum class Health { kNormal, kProbing, kEjected };

  // Records a sample. `slowness` is the observed time divided by the expected
  // time, so 1 is normal. `pool` lists all servers of the same role and model.
  void ObserveSlowness(const BackendId& id,
                       double slowness,
                       const std::vector<BackendId>& pool,
                       TimePoint now);
  // Records that a connection to the server failed or that its response was
  // truncated.
  void ObserveFailure(const BackendId& id,
                      const std::vector<BackendId>& pool,
                      TimePoint now);

  // Returns the health of the server; kNormal if it is unknown.
  Health HealthOf(const BackendId& id, TimePoint now) const;
  // Returns the smoothed slowness, at least 1; 1 if unknown.
  double SlownessOf(const BackendId& id) const;
  // Number of ejections so far.
  uint64_t ejections() const { return ejections_; }
  // Deletes all that is known of the server.
  void Forget(const BackendId& id) { servers_.erase(id); }

 private:
  struct Server {
    double slowness = 1;
    bool ejected = false;
    TimePoint probe_at{};          // If ejected: start of kProbing.
    Duration ejection_duration{};  // Length of the last ejection.
  };

  // Lower median of the smoothed slowness; 1 for an empty pool.
  double MedianOf(const std::vector<BackendId>& pool) const;
  // Ejects the server, unless too many of `pool` are ejected or it is alone.
  void Eject(const BackendId& id,
             const std::vector<BackendId>& pool,
             TimePoint now);

  std::map<BackendId, Server> servers_;
  uint64_t ejections_ = 0;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_STRAGGLER_DETECTOR_H_
