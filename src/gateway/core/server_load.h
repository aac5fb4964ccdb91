// Work in flight at each backend server: the exact load of this instance plus
// the load that its peers reported, each for itself, its cell or its zone.

#ifndef MANGOYOKE_GATEWAY_CORE_SERVER_LOAD_H_
#define MANGOYOKE_GATEWAY_CORE_SERVER_LOAD_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>

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

// The servers whose charge differs, with their charge in `after`; empty charges
// for those that are not in it.
LoadByServer ChangedCharges(const LoadByServer& before,
                            const LoadByServer& after);

// Whose work a load report states. Reports of a wider scope come less often.
enum class ReportScope {
  kInstance = 0,  // One instance's.
  kCell = 1,      // That of all instances of a cell (see report_group.h).
  kZone = 2,      // That of all instances of an availability zone.
};

// How long reports count, by scope.
struct ReportTtls {
  Duration instance = Millis(1000);
  Duration cell = Millis(1500);
  Duration zone = Millis(4000);

  bool operator==(const ReportTtls&) const = default;

  Duration Of(ReportScope scope) const {
    switch (scope) {
      case ReportScope::kInstance:
        return instance;
      case ReportScope::kCell:
        return cell;
      case ReportScope::kZone:
        return zone;
    }
    return instance;
  }
};

// The work in flight at all backend servers.
class ServerLoad {
 public:
  explicit ServerLoad(ReportTtls report_ttls) : report_ttls_(report_ttls) {}

  // Adds work of this instance at `server`. Returns the id of the charge, for
  // Change() and Release().
  uint64_t Charge(const BackendId& server, const LoadCharge& charge);
  // Replaces charge `id`, for example once its prefill is done. No effect if it
  // was released.
  void Change(uint64_t id, const LoadCharge& charge);
  // Removes charge `id`. No effect if it was released before.
  void Release(uint64_t id);

  // Replaces the last load report about `source`: the id of an instance or the
  // name of a cell or zone, by `scope`.
  void UpdatePeerLoad(ReportScope scope,
                      const std::string& source,
                      LoadByServer load,
                      TimePoint now);

  // Replaces the charges of the servers in `changes` in the last load report
  // about `source`; an empty charge removes the server.
  void PatchPeerLoad(ReportScope scope,
                     const std::string& source,
                     const LoadByServer& changes,
                     TimePoint now);

  // Whether some of the load is known only from sums of other cells and zones,
  // which are late.
  bool HasSums() const {
    return !reports_.empty() &&
           reports_.rbegin()->first.first > ReportScope::kInstance;
  }
  // All known work in flight at `server`. Drops expired reports.
  LoadCharge At(const BackendId& server, TimePoint now);
  // This instance's own work, for its reports to peers.
  const LoadByServer& local_load() const { return local_load_; }
  // This instance's work and that in reports of up to `max_scope`, for a report
  // on its cell (kInstance) or zone (kCell).
  LoadByServer Sum(ReportScope max_scope, TimePoint now);

 private:
  struct ActiveCharge {
    BackendId server;
    LoadCharge charge;
  };
  using ReportKey = std::pair<ReportScope, std::string>;
  struct PeerReport {
    LoadByServer load;
    TimePoint expires_at;
  };

  void RemoveReport(const ReportKey& key);
  void RemoveExpiredReports(TimePoint now);

  ReportTtls report_ttls_;
  std::map<uint64_t, ActiveCharge> charges_;
  // Sum of `charges_`; servers without work are absent.
  LoadByServer local_load_;
  std::map<ReportKey, PeerReport> reports_;
  LoadByServer peer_load_;   // Sum of `reports_`.
  TimePoint next_expiry_{};  // Lower bound of all `expires_at`.
  uint64_t next_id_ = 1;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CORE_SERVER_LOAD_H_
