// The budget of repeats that all entries share: in any window, each service
// gets at most a share of its requests plus a fixed number of extra sends.
//
// Each entry may always use its own part. The rest is common: it may be used
// while recent reports of all other entries show that little of it is gone.
//
// A process that has just started does not know what its predecessor used, so
// the fixed number is not shared out again until a window has passed.

#ifndef MANGOYOKE_GATEWAY_CORE_REPEAT_BUDGET_H_
#define MANGOYOKE_GATEWAY_CORE_REPEAT_BUDGET_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "mangoyoke/clock.h"
#include "mangoyoke/plan.h"

namespace mangoyoke {

struct RepeatBudgetOptions {
  double share = 0.2;  // Repeats for each request.
  double fixed = 58;   // Repeats in a window besides.
  Duration window = Seconds(10);
  Duration report_life = Seconds(1);  // Older reports do not count.

  bool operator==(const RepeatBudgetOptions&) const = default;
};

// Requests and repeats of one service in the last window.
struct RepeatCounts {
  int64_t requests = 0;
  int64_t repeats = 0;

  bool operator==(const RepeatCounts&) const = default;
};

class RepeatBudget {
 public:
  // `started`: when this process started.
  RepeatBudget(RepeatBudgetOptions options, TimePoint started)
      : options_(options), started_(started) {}

  void SetOptions(RepeatBudgetOptions options) { options_ = options; }
  // How many entries share the budget now, this one included. Those that went
  // count for another window, since what they used still does.
  void SetEntries(size_t entries, TimePoint now);
  void NoteRequest(const ServiceId& service, TimePoint now);
  // Takes one repeat, if there is one.
  bool TryRepeat(const ServiceId& service, TimePoint now);

  // Another entry's counts, in place of its last report. `incarnation` tells
  // its processes apart: what an earlier one used still counts.
  void Report(const InstanceId& entry,
              uint64_t incarnation,
              std::map<ServiceId, RepeatCounts> counts,
              TimePoint now);
  // This entry's counts of the last window, for reports.
  std::map<ServiceId, RepeatCounts> Own(TimePoint now);

 private:
  struct History {
    std::deque<TimePoint> requests;
    std::deque<TimePoint> repeats;
  };
  struct Reported {
    uint64_t incarnation = 0;
    std::map<ServiceId, RepeatCounts> counts;
    TimePoint at;
  };

  void Expire(History& history, TimePoint now) const;
  bool CommonAllows(const ServiceId& service,
                    const History& own,
                    TimePoint now) const;

  size_t Entries(TimePoint now) const;
  // Repeats besides the share of requests that all entries have now.
  double Fixed(TimePoint now) const;
  // Repeats of processes that were replaced within the window.
  int64_t RepeatsOfReplaced(const ServiceId& service, TimePoint now) const;

  RepeatBudgetOptions options_;
  TimePoint started_;
  std::deque<std::pair<TimePoint, size_t>> entries_;  // Counts, as they came.
  std::map<ServiceId, History> own_;
  std::map<InstanceId, Reported> reports_;
  std::deque<Reported> replaced_;  // Last reports of replaced processes.
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CORE_REPEAT_BUDGET_H_
