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
//
// If requests belong to accounts, those of accounts that use more than the
// others (UseLevel) go after the others of their rank, so that an account that
// sends many times its usual does not take the others' service. Every fourth
// turn goes by the order above alone: no account gets less than a quarter of
// the service that its requests would get without this.

#ifndef MANGOYOKE_GATEWAY_CORE_ADMISSION_QUEUE_H_
#define MANGOYOKE_GATEWAY_CORE_ADMISSION_QUEUE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "mangoyoke/clock.h"
#include "mangoyoke/plan.h"

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
  AccountId account;        // Empty if there are no accounts.

  bool operator==(const QueuedRequest&) const = default;
};

// Use of an account relative to all accounts; see AccountQuotas::RelativeUse.
using RelativeUseFunction = std::function<double(const AccountId&)>;

// 0 for an account that uses about as much as the others, and 1 more or less
// for each doubling or halving, up to kMaxUseLevel either way. In steps, so
// that small differences do not change the order of requests.
int UseLevel(double relative_use);
inline constexpr int kMaxUseLevel = 2;

// The request to admit next.
struct NextRequest {
  uint64_t id = 0;
  int use_level = 0;  // Of its account; 0 in turns that do not go by it.

  bool operator==(const NextRequest&) const = default;
};

// The waiting requests of one queue, by request id.
class AdmissionQueue {
 public:
  // Adds request `id`. Ids must increase in order of arrival.
  void Add(uint64_t id, const QueuedRequest& request);
  // Removes request `id`, if it is in the queue.
  void Remove(uint64_t id);
  // Removes request `id`, which was its queue's next one and waits no longer.
  // Ends the turn.
  void RemoveNext(uint64_t id);
  // Removes the requests whose `wait_deadline` has been reached and returns
  // their ids, oldest first.
  std::vector<uint64_t> TakeExpired(TimePoint now);
  // Id of the request that is next by priority and rank, which stays in the
  // queue. Nothing if the queue is empty.
  std::optional<uint64_t> Next() const;
  // The request to admit next, by the use of accounts too. It stays in the
  // queue.
  std::optional<NextRequest> NextByUse(
      const RelativeUseFunction& relative_use) const;
  // Number of waiting requests.
  size_t size() const { return waiting_.size(); }

 private:
  // `relative_use`: null if the order does not go by it.
  std::optional<NextRequest> FindNext(
      const RelativeUseFunction* relative_use) const;

  std::map<uint64_t, QueuedRequest> waiting_;
  unsigned turns_ = 0;  // Since this queue exists.
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CORE_ADMISSION_QUEUE_H_
