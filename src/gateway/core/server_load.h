// Work in flight at each backend server: this entry's own, exactly, and what
// other entries reported of theirs.

#ifndef MANGOYOKE_GATEWAY_CORE_SERVER_LOAD_H_
#define MANGOYOKE_GATEWAY_CORE_SERVER_LOAD_H_

#include <cstdint>
#include <map>
#include <string>

#include "mangoyoke/clock.h"
#include "mangoyoke/plan.h"

namespace mangoyoke {

// Work in flight at one server.
struct LoadCharge {
  int64_t requests = 0;
  int64_t prompt_tokens = 0;  // Still to be read.
  int64_t kv_tokens = 0;      // Memory that running requests occupy.

  bool operator==(const LoadCharge&) const = default;
  LoadCharge& operator+=(const LoadCharge& other);
  LoadCharge& operator-=(const LoadCharge& other);
};

using LoadByServer = std::map<BackendId, LoadCharge>;

class ServerLoad {
 public:
  // `report_ttl`: how long a report of another entry counts.
  explicit ServerLoad(Duration report_ttl) : report_ttl_(report_ttl) {}

  // Adds work of this entry; the id takes it off again.
  uint64_t Charge(const BackendId& server, const LoadCharge& charge);
  // Changes the work behind `id`, for example once a prompt is read.
  void Change(uint64_t id, const LoadCharge& charge);
  void Release(uint64_t id);

  // Another entry's work in flight, in place of its last report.
  void UpdatePeerLoad(const InstanceId& instance,
                      LoadByServer load,
                      TimePoint now);

  // All known work in flight at `server`.
  LoadCharge At(const BackendId& server, TimePoint now);
  // This entry's own work, for reports.
  const LoadByServer& local_load() const { return own_; }

 private:
  struct Charged {
    BackendId server;
    LoadCharge charge;
  };
  struct Reported {
    LoadByServer load;
    TimePoint at;
  };

  void DropReport(const InstanceId& instance);
  void DropOldReports(TimePoint now);

  Duration report_ttl_;
  std::map<uint64_t, Charged> charges_;
  LoadByServer own_;  // Sum of charges_; servers without work are absent.
  std::map<InstanceId, Reported> reports_;
  LoadByServer reported_;      // Sum of reports_.
  TimePoint oldest_report_{};  // No report is older.
  uint64_t next_id_ = 1;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CORE_SERVER_LOAD_H_
