// Polling of the admission queues.

#include "gateway/traffic/engine_admission.h"

namespace mangoyoke {
namespace {

// The poll interval is random, so that instances seldom compete for the same
// engine capacity at the same moment.
constexpr double kShortestPollMs = 8;
constexpr double kLongestPollMs = 28;

}  // namespace

EngineAdmission::EngineAdmission(boost::asio::io_context& io,
                                 Callbacks callbacks)
    : timer_(io), callbacks_(std::move(callbacks)) {}

void EngineAdmission::Enqueue(const ServiceId& service,
                              uint64_t id,
                              const QueuedRequest& request) {
  queues_[service].Add(id, request);
  SchedulePoll();
}

void EngineAdmission::Remove(const ServiceId& service, uint64_t id) {
  queues_[service].Remove(id);
}

bool EngineAdmission::HasToQueue(const ServiceId& service,
                                 const AccountId& account) const {
  return !account.empty() && Waiting(service) > 0 &&
         UseLevel(callbacks_.relative_use(account)) > 0;
}

size_t EngineAdmission::Waiting(const ServiceId& service) const {
  auto found = queues_.find(service);
  return found == queues_.end() ? 0 : found->second.size();
}

void EngineAdmission::SchedulePoll() {
  if (poll_scheduled_) {
    return;
  }
  poll_scheduled_ = true;
  double delay_ms = std::uniform_real_distribution<double>(
      kShortestPollMs, kLongestPollMs)(random_);
  timer_.expires_after(FromMillis(delay_ms));
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      poll_scheduled_ = false;
      Poll();
    }
  });
}

void EngineAdmission::Poll() {
  bool waiting = false;
  for (auto& [service, queue] : queues_) {
    PollQueue(queue);
    waiting = waiting || queue.size() > 0;
  }
  if (waiting) {
    SchedulePoll();
  }
}

void EngineAdmission::PollQueue(AdmissionQueue& queue) {
  for (uint64_t id : queue.TakeExpired(SteadyClock::now())) {
    callbacks_.on_expired(id);
  }
  while (auto next = queue.NextByUse(callbacks_.relative_use)) {
    if (!TakesPart(next->use_level) || !callbacks_.try_admit(next->id)) {
      return;
    }
    queue.RemoveNext(next->id);
  }
}

bool EngineAdmission::TakesPart(int use_level) {
  // Half as often for each level.
  return use_level <= 0 || std::uniform_int_distribution<int>(
                               0, (1 << use_level) - 1)(random_) == 0;
}

}  // namespace mangoyoke
