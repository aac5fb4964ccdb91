// Requests that wait for room at an engine before anything was done for them.
//
// The newest goes first: under overload some requests miss their target
// whatever the order, and with the oldest first all of them come close to it.
// A request that can no longer meet its target leaves the queue.

#ifndef MANGOYOKE_GATEWAY_CORE_ADMISSION_QUEUE_H_
#define MANGOYOKE_GATEWAY_CORE_ADMISSION_QUEUE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "mangoyoke/clock.h"

namespace mangoyoke {

class AdmissionQueue {
 public:
  // `leave_at`: from then on the request cannot meet its target.
  void Add(uint64_t id, int priority, TimePoint leave_at);
  void Remove(uint64_t id);
  // Takes out the requests that have to leave, oldest first.
  std::vector<uint64_t> TakeExpired(TimePoint now);
  // The request to admit next: the most urgent, then the newest.
  std::optional<uint64_t> Next() const;
  size_t size() const { return waiting_.size(); }

 private:
  struct Waiting {
    int priority = 0;  // 0 is the most urgent.
    TimePoint leave_at;
  };

  std::map<uint64_t, Waiting> waiting_;  // Ids rise with arrival.
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CORE_ADMISSION_QUEUE_H_
