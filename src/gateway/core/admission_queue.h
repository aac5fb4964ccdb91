// The admission queue: requests that wait for capacity at an LLM server.
//
// The queue is ordered by priority, then by rank:
// - Requests whose prefill is done or whose stream is to be resumed go first,
//   since that work is lost if they get no capacity.
// - Requests that can still meet their target latency follow, newest first:
//   under overload some miss it in any order, and oldest first would bring all
//   of them close to missing it.
// - Requests that missed their target latency on an earlier try of their
//   caller go last and may wait for longer.
// In the first and last rank the earliest deadline goes first.

#ifndef MANGOYOKE_GATEWAY_CORE_ADMISSION_QUEUE_H_
#define MANGOYOKE_GATEWAY_CORE_ADMISSION_QUEUE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "mangoyoke/clock.h"

namespace mangoyoke {

// Order of requests of the same priority; the first value is admitted first.
enum class QueueRank {
  kInProgress,  // Its prefill or its stream so far would be lost.
  kOnTime,      // It can still meet its target latency.
  kLate,        // It missed its target on an earlier try of its caller.
};

// The properties of a request that determine its position in the queue.
struct QueuedRequest {
  int priority = 0;  // 0 is the most urgent.
  QueueRank rank = QueueRank::kOnTime;
  TimePoint wait_deadline;  // At this time the request expires.

  bool operator==(const QueuedRequest&) const = default;
};

// The waiting requests of one queue, by request id.
class AdmissionQueue {
 public:
  // Adds request `id`. Ids must increase in order of arrival.
  void Add(uint64_t id, const QueuedRequest& request);
  // Removes request `id`, if it is in the queue.
  void Remove(uint64_t id);
  // Removes the requests whose `wait_deadline` has been reached and returns
  // their ids, oldest first.
  std::vector<uint64_t> TakeExpired(TimePoint now);
  // Id of the request to admit next, which stays in the queue. Nothing if the
  // queue is empty.
  std::optional<uint64_t> Next() const;
  // Number of waiting requests.
  size_t size() const { return waiting_.size(); }

 private:
  std::map<uint64_t, QueuedRequest> waiting_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CORE_ADMISSION_QUEUE_H_
