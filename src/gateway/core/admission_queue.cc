// Order of waiting requests.

#include "gateway/core/admission_queue.h"

namespace mangoyoke {
namespace {

// Whether `a` goes before `b`, which arrived earlier.
bool NewerGoesFirst(const QueuedRequest& a, const QueuedRequest& b) {
  if (a.priority != b.priority) {
    return a.priority < b.priority;
  }
  if (a.rank != b.rank) {
    return a.rank < b.rank;
  }
  return a.rank == QueueRank::kOnTime || a.leave_at < b.leave_at;
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
  auto best = waiting_.end();
  for (auto it = waiting_.begin(); it != waiting_.end(); ++it) {
    if (best == waiting_.end() || NewerGoesFirst(it->second, best->second)) {
      best = it;
    }
  }
  if (best == waiting_.end()) {
    return std::nullopt;
  }
  return best->first;
}

}  // namespace mangoyoke
