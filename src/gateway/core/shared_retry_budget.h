// The retry budget that all instances share: in any window, the retries of a
// service number at most a share of its requests plus a fixed number.
//
// Each instance may always use its local part of the budget. The rest is the
// shared part. It is divided among the cells of instances that report to each
// other (report_group.h), by their size: an instance may use its cell's part
// while it has recent reports of all others in the cell and these show that the
// part is not used up.
//
// A process that has just started does not know what its predecessor used, so
// it gets nothing of the fixed number until a window has passed.

#ifndef MANGOYOKE_GATEWAY_CORE_SHARED_RETRY_BUDGET_H_
#define MANGOYOKE_GATEWAY_CORE_SHARED_RETRY_BUDGET_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>

#include "mangoyoke/clock.h"
#include "mangoyoke/plan.h"

namespace mangoyoke {

// Limits of the retry budget of each service, for all instances together.
struct SharedRetryBudgetOptions {
  double share = 0.2;  // Retries per request.
  double fixed = 58;   // Further retries per window.
  Duration window = Seconds(10);
  Duration report_ttl = Seconds(1);  // A peer's older report is outdated.

  bool operator==(const SharedRetryBudgetOptions&) const = default;
};

// Requests and retries of one service in the last window.
struct RetryCounts {
  int64_t requests = 0;
  int64_t retries = 0;

  bool operator==(const RetryCounts&) const = default;
};

// This instance's view of the shared retry budget.
class SharedRetryBudget {
 public:
  // `started`: time at which this process started.
  SharedRetryBudget(SharedRetryBudgetOptions options, TimePoint started)
      : options_(options), started_(started) {}

  // Replaces the options.
  void SetOptions(SharedRetryBudgetOptions options) { options_ = options; }
  // Sets the number of instances that share the budget now, this one included,
  // and the other instances of its cell. A higher earlier number applies for
  // another window, since the retries of the instances that are gone still
  // count.
  void SetInstances(size_t instance_count,
                    std::set<InstanceId> cell_peers,
                    TimePoint now);
  // Counts a request to `service`, which adds to the budget.
  void OnRequest(const ServiceId& service, TimePoint now);
  // Whether there is a retry of `service` in the budget. Takes none.
  bool Allows(const ServiceId& service, TimePoint now);
  // Takes one retry of `service` out of the budget. False if there is none.
  bool TryAcquire(const ServiceId& service, TimePoint now);

  // Replaces the last counts reported by the peer `instance`. `incarnation`
  // identifies its process: the retries of an earlier process still count.
  void UpdatePeerCounts(const InstanceId& instance,
                        uint64_t incarnation,
                        std::map<ServiceId, RetryCounts> counts,
                        TimePoint now);
  // This instance's counts of the last window, for its reports to peers.
  std::map<ServiceId, RetryCounts> LocalCounts(TimePoint now);

 private:
  // Times of the requests and retries of one service, oldest first.
  struct History {
    std::deque<TimePoint> requests;
    std::deque<TimePoint> retries;
  };
  struct PeerReport {
    uint64_t incarnation = 0;
    std::map<ServiceId, RetryCounts> counts;
    TimePoint received_at;
  };

  // Removes times that are older than the window.
  void RemoveExpired(History& history, TimePoint now) const;
  // Whether the shared part permits one more retry of `service`. `local` is
  // the history of this instance.
  bool SharedPartAllows(const ServiceId& service,
                        const History& local,
                        TimePoint now) const;

  // The part of the deployment that is the own cell; 1 if there is but one.
  double CellFraction(TimePoint now) const;
  // The highest number of instances within the last window.
  size_t MaxInstanceCount(TimePoint now) const;
  // Retries per window that all instances have besides the share of requests.
  // 0 until the first window after the start of this process has passed.
  double FixedRetries(TimePoint now) const;
  // Retries of processes that were replaced within the window.
  int64_t RetriesOfReplacedProcesses(const ServiceId& service,
                                     TimePoint now) const;

  SharedRetryBudgetOptions options_;
  TimePoint started_;
  // Instance counts with the time each was set, oldest first.
  std::deque<std::pair<TimePoint, size_t>> instance_counts_;
  std::set<InstanceId> cell_peers_;
  std::map<ServiceId, History> local_history_;
  std::map<InstanceId, PeerReport> reports_;
  // Last reports of replaced processes, oldest first.
  std::deque<PeerReport> replaced_reports_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CORE_SHARED_RETRY_BUDGET_H_
