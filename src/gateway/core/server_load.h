// Work in flight at each backend server: the exact load of this instance plus
// the load that its peers reported.

#ifndef MANGOYOKE_GATEWAY_CORE_SERVER_LOAD_H_
#define MANGOYOKE_GATEWAY_CORE_SERVER_LOAD_H_

#include <cstdint>
#include <map>
#include <string>

#include "mangoyoke/clock.h"
#include "mangoyoke/plan.h"

namespace mangoyoke {

// A load charge: work in flight at one server.
struct LoadCharge {
  int64_t requests = 0;
  int64_t prompt_tokens = 0;  // Still to be prefilled.
  int64_t kv_tokens = 0;      // Memory that active requests occupy.

  bool operator==(const LoadCharge&) const = default;
  LoadCharge& operator+=(const LoadCharge& other);
  LoadCharge& operator-=(const LoadCharge& other);
};

// Work in flight by server id.
using LoadByServer = std::map<BackendId, LoadCharge>;

// The work in flight at all backend servers.
class ServerLoad {
 public:
  // `report_ttl`: how long a peer's report counts.
  explicit ServerLoad(Duration report_ttl) : report_ttl_(report_ttl) {}

  // Adds work of this instance at `server`. Returns the id of the charge, for
  // Change() and Release().
  uint64_t Charge(const BackendId& server, const LoadCharge& charge);
  // Replaces charge `id`, for example once its prefill is done. No effect if it
  // was released.
  void Change(uint64_t id, const LoadCharge& charge);
  // Removes charge `id`. No effect if it was released before.
  void Release(uint64_t id);

  // Replaces the last load report of the peer `instance`.
  void UpdatePeerLoad(const InstanceId& instance,
                      LoadByServer load,
                      TimePoint now);

  // All known work in flight at `server`. Drops expired reports.
  LoadCharge At(const BackendId& server, TimePoint now);
  // This instance's own work, for its reports to peers.
  const LoadByServer& local_load() const { return local_load_; }

 private:
  struct ActiveCharge {
    BackendId server;
    LoadCharge charge;
  };
  struct PeerReport {
    LoadByServer load;
    TimePoint received_at;
  };

  void RemoveReport(const InstanceId& instance);
  void RemoveExpiredReports(TimePoint now);

  Duration report_ttl_;
  std::map<uint64_t, ActiveCharge> charges_;
  // Sum of `charges_`; servers without work are absent.
  LoadByServer local_load_;
  std::map<InstanceId, PeerReport> reports_;
  LoadByServer peer_load_;          // Sum of `reports_`.
  TimePoint oldest_report_time_{};  // Lower bound of all `received_at`.
  uint64_t next_id_ = 1;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CORE_SERVER_LOAD_H_
