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
  return a.rank == QueueRank::kOnTime || a.wait_deadline < b.wait_deadline;
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
