// The budget of repeats that all entries share: in any window, each service
// gets at most a share of its requests plus a fixed number of extra sends.
//
// Each entry may always use its own part. The rest is common: it may be used
// while recent reports of all other entries show that little of it is gone.
//
// A process that has just started does not know what its predecessor used, so
// the fixed number is not shared out again until a window has passed.

#ifndef MANGOYOKE_GATEWAY_CORE_SHARED_RETRY_BUDGET_H_
#define MANGOYOKE_GATEWAY_CORE_SHARED_RETRY_BUDGET_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "mangoyoke/clock.h"
#include "mangoyoke/plan.h"

namespace mangoyoke {

struct SharedRetryBudgetOptions {
  double share = 0.2;  // Repeats for each request.
  double fixed = 58;   // Repeats in a window besides.
  Duration window = Seconds(10);
  Duration report_ttl = Seconds(1);  // Older reports do not count.

  bool operator==(const SharedRetryBudgetOptions&) const = default;
};

// Requests and repeats of one service in the last window.
struct RetryCounts {
  int64_t requests = 0;
  int64_t retries = 0;

  bool operator==(const RetryCounts&) const = default;
};

class SharedRetryBudget {
 public:
  // `started`: when this process started.
  SharedRetryBudget(SharedRetryBudgetOptions options, TimePoint started)
      : options_(options), started_(started) {}

  void SetOptions(SharedRetryBudgetOptions options) { options_ = options; }
  // How many entries share the budget now, this one included. Those that went
  // count for another window, since what they used still does.
  void SetInstanceCount(size_t instance_count, TimePoint now);
  void OnRequest(const ServiceId& service, TimePoint now);
  // Takes one repeat, if there is one.
  bool TryAcquire(const ServiceId& service, TimePoint now);

  // Another entry's counts, in place of its last report. `incarnation` tells
  // its processes apart: what an earlier one used still counts.
  void UpdatePeerCounts(const InstanceId& instance,
                        uint64_t incarnation,
                        std::map<ServiceId, RetryCounts> counts,
                        TimePoint now);
  // This entry's counts of the last window, for reports.
  std::map<ServiceId, RetryCounts> LocalCounts(TimePoint now);

 private:
  struct History {
    std::deque<TimePoint> requests;
    std::deque<TimePoint> retries;
  };
  struct Reported {
    uint64_t incarnation = 0;
    std::map<ServiceId, RetryCounts> counts;
    TimePoint at;
  };

  void Expire(History& history, TimePoint now) const;
  bool CommonAllows(const ServiceId& service,
                    const History& own,
                    TimePoint now) const;

  size_t InstanceCount(TimePoint now) const;
  // Repeats besides the share of requests that all entries have now.
  double Fixed(TimePoint now) const;
  // Repeats of processes that were replaced within the window.
  int64_t RetriesOfReplaced(const ServiceId& service, TimePoint now) const;

  SharedRetryBudgetOptions options_;
  TimePoint started_;
  std::deque<std::pair<TimePoint, size_t>>
      instance_counts_;  // Counts, as they came.
  std::map<ServiceId, History> own_;
  std::map<InstanceId, Reported> reports_;
  std::deque<Reported> replaced_;  // Last reports of replaced processes.
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CORE_SHARED_RETRY_BUDGET_H_
