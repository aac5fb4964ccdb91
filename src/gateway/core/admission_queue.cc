// Order of waiting requests.

#include "gateway/core/admission_queue.h"

namespace mangoyoke {

void AdmissionQueue::Add(uint64_t id, int priority, TimePoint leave_at) {
  waiting_[id] = Waiting{priority, leave_at};
}

void AdmissionQueue::Remove(uint64_t id) {
  waiting_.erase(id);
}

std::vector<uint64_t> AdmissionQueue::TakeExpired(TimePoint now) {
  std::vector<uint64_t> expired;
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    if (now < it->second.leave_at) {
      ++it;
      continue;
    }
    expired.push_back(it->first);
    it = waiting_.erase(it);
  }
  return expired;
}

std::optional<uint64_t> AdmissionQueue::Next() const {
  std::optional<uint64_t> best;
  int best_priority = 0;
  for (auto it = waiting_.rbegin(); it != waiting_.rend(); ++it) {
    if (!best || it->second.priority < best_priority) {
      best = it->first;
      best_priority = it->second.priority;
    }
  }
  return best;
}

}  // namespace mangoyoke
