// How long each backend server takes, learned from the attempts of all
// instances: this instance's own observations, and the sums that peers report,
// each for itself, its cell or its zone.
//
// A server is compared with its pool, that is, all servers of its service in
// its stage. The estimate is drawn towards the pool's by what is not known.

#ifndef MANGOYOKE_GATEWAY_CORE_SERVER_SPEED_H_
#define MANGOYOKE_GATEWAY_CORE_SERVER_SPEED_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "gateway/core/backend_server.h"
#include "gateway/core/server_load.h"
#include "gateway/core/speed_summary.h"

namespace mangoyoke {

// What is known about one server.
struct SpeedEstimate {
  // Expected time for a unit of work, divided by that of the pool's servers
  // when they are idle.
  double relative_time = 1;
  // Standard deviation of the logarithm of `relative_time`.
  double uncertainty = 0;
  // The same for the differences between the servers of the pool.
  double pool_spread = 0;
  double observations = 0;        // Decayed number.
  std::optional<TimePoint> last;  // Time of the last observation.
  // Requests in flight per slot from which the server is markedly slower than
  // when idle.
  std::optional<double> knee;

  bool operator==(const SpeedEstimate&) const = default;
};

// Whose observations a summary states; see ReportScope.
struct SpeedSource {
  ReportScope scope = ReportScope::kInstance;
  std::string name;

  bool operator==(const SpeedSource&) const = default;
  bool operator<(const SpeedSource& other) const {
    return std::tie(scope, name) < std::tie(other.scope, other.name);
  }
};

// The summary of one server, in a report.
struct SpeedRecord {
  uint64_t server = 0;  // Hash of the incarnation.
  SpeedSummary summary;

  bool operator==(const SpeedRecord&) const = default;
};

class ServerSpeeds {
 public:
  // Sets the known servers. Forgets those that are gone, and former
  // incarnations.
  void SetServers(const ServerSnapshot& snapshot);

  // An attempt of this instance at `server` took `ms_per_unit` milliseconds for
  // a unit of work, while `requests` others were in flight there. Ignored
  // unless that is a positive number.
  void Record(const BackendServer& server,
              int64_t requests,
              double ms_per_unit,
              TimePoint now);
  // Replaces what `source` reported about a server, unless that was newer.
  // Returns false if the server is not known.
  bool Apply(const SpeedSource& source,
             const SpeedRecord& record,
             TimePoint now);

  // What to expect of `server` with `requests` others in flight. May update
  // estimates that are due.
  SpeedEstimate Estimate(const BackendServer& server,
                         int64_t requests,
                         TimePoint now);

  // Whether any server has observations that still count.
  bool empty() const { return active_ == 0; }
  // The own summaries that changed since the last call.
  std::vector<SpeedRecord> TakeOwnChanges(size_t limit);
  // The sums of this instance's observations and those in reports of up to
  // `max_scope`: at most `limit` servers, the next ones at each call.
  std::vector<SpeedRecord> Sum(ReportScope max_scope,
                               size_t limit,
                               TimePoint now);
  // All records of peers that still count, by source.
  std::map<SpeedSource, std::vector<SpeedRecord>> BySource(TimePoint now) const;
  // All own summaries that still count.
  std::vector<SpeedRecord> Own(TimePoint now) const;

 private:
  using PoolKey = std::pair<ServiceId, ServerStage>;

  struct ServerRecord {
    uint64_t key = 0;           // Hash of the incarnation.
    int64_t start_time_ms = 0;  // Identifies the incarnation.
    PoolKey pool;
    SpeedSummary own;
    std::map<SpeedSource, SpeedSummary> reports;
    // Sum of `own` and `reports`, unless `changed`.
    SpeedSummary merged;
    bool changed = false;
    // Estimates: deviation of the logarithm of the time from the pool's, in all
    // classes of load and, in addition, in each.
    double deviation = 0;
    std::array<double, kLoadClasses> class_deviations{};
    double weight = 0;  // Decayed number of observations when estimated.
  };

  struct Pool {
    // Usual logarithm of the time, by class of load.
    std::array<double, kLoadClasses> typical{};
    // Classes of which there ever was an observation.
    std::array<bool, kLoadClasses> observed{};
    // Variance of one observation around the estimate for its server.
    double noise = 0.1;
    double spread = 0.1;  // Variance between the servers.

    // Whether there ever was an observation.
    bool Known() const;
    // Takes a class that was never observed to be like the one below it, and
    // those below the first observed one to be like that one. Requires Known().
    void FillUnobserved();
    // Observations that what is known of the pool counts for, in the estimate
    // of one server.
    double PriorWeight() const;
  };

  // Null if this incarnation is not known.
  ServerRecord* Find(const BackendServer& server);
  // The expected logarithm of the time.
  static double ExpectedLog(const ServerRecord& record,
                            const Pool& pool,
                            size_t load_class);
  // Updates all estimates if that is due.
  void Refresh(TimePoint now);
  // Recomputes `record.merged`, without what has faded.
  static void MergeReports(ServerRecord& record, TimePoint now);
  void EstimatePool(Pool& pool,
                    const std::vector<ServerRecord*>& records,
                    TimePoint now);
  static void EstimateServer(ServerRecord& record,
                             const Pool& pool,
                             TimePoint now);

  std::map<BackendId, ServerRecord> records_;
  std::unordered_map<uint64_t, BackendId> by_key_;
  std::map<PoolKey, Pool> pools_;
  std::set<BackendId> own_changes_;
  // Where the next sum goes on, by its scope.
  std::map<ReportScope, BackendId> next_in_sum_;
  TimePoint next_refresh_{};
  size_t active_ = 0;  // Servers with observations at the last refresh.
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CORE_SERVER_SPEED_H_
