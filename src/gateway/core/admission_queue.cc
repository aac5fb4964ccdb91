// Ordering and expiry of the requests in the admission queue.

#include "gateway/core/admission_queue.h"

#include <algorithm>
#include <cmath>

namespace mangoyoke {
namespace {

// One turn in so many does not go by the use of accounts.
constexpr unsigned kPlainTurnInterval = 4;

// The use levels of the accounts in a queue, each asked for once.
class UseLevels {
 public:
  // If `relative_use` is null, all levels are 0.
  explicit UseLevels(const RelativeUseFunction* relative_use)
      : relative_use_(relative_use) {}

  int Of(const QueuedRequest& request) {
    // The work of a request in progress would be lost, whoever sent it.
    if (relative_use_ == nullptr || request.account.empty() ||
        request.rank == QueueRank::kInProgress) {
      return 0;
    }
    auto [level, added] = levels_.try_emplace(request.account, 0);
    if (added) {
      level->second = UseLevel((*relative_use_)(request.account));
    }
    return level->second;
  }

 private:
  const RelativeUseFunction* relative_use_;
  std::map<AccountId, int> levels_;
};

// Whether `newer` is admitted before `older`, which arrived earlier. On-time
// requests go newest first; requests of other ranks go by earliest deadline.
bool NewerGoesBeforeOlder(const QueuedRequest& newer,
                          const QueuedRequest& older,
                          UseLevels& levels) {
  if (newer.priority != older.priority) {
    return newer.priority < older.priority;
  }
  if (newer.rank != older.rank) {
    return newer.rank < older.rank;
  }
  int newer_level = levels.Of(newer);
  int older_level = levels.Of(older);
  if (newer_level != older_level) {
    return newer_level < older_level;
  }
  return newer.rank == QueueRank::kOnTime ||
         newer.wait_deadline < older.wait_deadline;
}

}  // namespace

int UseLevel(double relative_use) {
  if (std::isnan(relative_use)) {
    return 0;
  }
  double doublings = std::log2(std::max(relative_use, 0.0));
  return static_cast<int>(
      std::round(std::clamp<double>(doublings, -kMaxUseLevel, kMaxUseLevel)));
}

void AdmissionQueue::Add(uint64_t id, const QueuedRequest& request) {
  waiting_[id] = request;
}

void AdmissionQueue::Remove(uint64_t id) {
  waiting_.erase(id);
}

void AdmissionQueue::RemoveNext(uint64_t id) {
  ++turns_;
  Remove(id);
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
  auto next = FindNext(nullptr);
  return next ? std::optional(next->id) : std::nullopt;
}

std::optional<NextRequest> AdmissionQueue::NextByUse(
    const RelativeUseFunction& relative_use) const {
  bool plain_turn = turns_ % kPlainTurnInterval == kPlainTurnInterval - 1;
  return FindNext(plain_turn ? nullptr : &relative_use);
}

std::optional<NextRequest> AdmissionQueue::FindNext(
    const RelativeUseFunction* relative_use) const {
  UseLevels levels(relative_use);
  auto best = waiting_.end();
  for (auto it = waiting_.begin(); it != waiting_.end(); ++it) {
    if (best == waiting_.end() ||
        NewerGoesBeforeOlder(it->second, best->second, levels)) {
      best = it;
    }
  }
  if (best == waiting_.end()) {
    return std::nullopt;
  }
  return NextRequest{best->first, levels.Of(best->second)};
}

}  // namespace mangoyoke
