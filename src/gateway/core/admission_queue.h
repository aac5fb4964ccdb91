// Requests that wait for room at an engine before anything was done for them.
//
// Requests whose prompt was read already go first, since that work is lost
// without room. Of those that can still meet their target, the newest goes
// first: under overload some miss it whatever the order, and with the oldest
// first all of them come close to it. Requests that missed it on an earlier try
// wait behind them for longer.

#ifndef MANGOYOKE_GATEWAY_CORE_ADMISSION_QUEUE_H_
#define MANGOYOKE_GATEWAY_CORE_ADMISSION_QUEUE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "mangoyoke/clock.h"

namespace mangoyoke {

enum class QueueRank {
  kInProgress,  // Work was done for it that would be lost.
  kOnTime,      // It can meet its target.
  kLate,        // It missed its target on an earlier try.
};

// What decides on the place of a request in the queue.
struct QueuedRequest {
  int priority = 0;  // 0 is the most urgent.
  QueueRank rank = QueueRank::kOnTime;
  TimePoint wait_deadline;  // From then on the request waits no longer.

  bool operator==(const QueuedRequest&) const = default;
};

class AdmissionQueue {
 public:
  // Ids rise with arrival.
  void Add(uint64_t id, const QueuedRequest& request);
  void Remove(uint64_t id);
  // Takes out the requests that have to leave, oldest first.
  std::vector<uint64_t> TakeExpired(TimePoint now);
  // The request to admit next.
  std::optional<uint64_t> Next() const;
  size_t size() const { return waiting_.size(); }

 private:
  std::map<uint64_t, QueuedRequest> waiting_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CORE_ADMISSION_QUEUE_H_
