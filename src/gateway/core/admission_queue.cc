// Ordering and expiry of the requests in the admission queue.

#include "gateway/core/admission_queue.h"

namespace mangoyoke {
namespace {

// Whether `newer` is admitted before `older`, which arrived earlier. On-time
// requests go newest first; requests of other ranks go by earliest deadline.
bool NewerGoesBeforeOlder(const QueuedRequest& newer,
                          const QueuedRequest& older) {
  if (newer.priority != older.priority) {
    return newer.priority < older.priority;
  }
  if (newer.rank != older.rank) {
    return newer.rank < older.rank;
  }
  return newer.rank == QueueRank::kOnTime ||
         newer.wait_deadline < older.wait_deadline;
}

}  // namespace

void AdmissionQueue::Add(uint64_t id, const QueuedRequest& request) {
  waiting_[id] = request;
}

void AdmissionQueue::Remove(uint64_t id) {
  waiting_.erase(id);
}

std::vector<uint64_t> AdmissionQueue::TakeExpired(TimePoint now) {
  std::vector<uint64_t> expired;
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    if (now < it->second.wait_deadline) {
      ++it;
      continue;
    }
    expired.push_back(it->first);
    it = waiting_.erase(it);
  }
  return expired;
}

std::optional<uint64_t> AdmissionQueue::Next() const {
  auto best = waiting_.end();
  for (auto it = waiting_.begin(); it != waiting_.end(); ++it) {
    if (best == waiting_.end() ||
        NewerGoesBeforeOlder(it->second, best->second)) {
      best = it;
    }
  }
  if (best == waiting_.end()) {
    return std::nullopt;
  }
  return best->first;
}

}  // namespace mangoyoke
