// Polling of waiting requests.

#include "gateway/traffic/engine_admission.h"

namespace mangoyoke {
namespace {

// Entries look for room at times of their own, so that they seldom reach for
// the same room at once.
constexpr double kShortestPollMs = 8;
constexpr double kLongestPollMs = 28;

}  // namespace

EngineAdmission::EngineAdmission(boost::asio::io_context& io,
                                 Callbacks callbacks)
    : timer_(io), callbacks_(std::move(callbacks)) {}

void EngineAdmission::Wait(const ServiceId& service,
                           uint64_t id,
                           const QueuedRequest& request) {
  queues_[service].Add(id, request);
  Arm();
}

void EngineAdmission::Remove(const ServiceId& service, uint64_t id) {
  queues_[service].Remove(id);
}

size_t EngineAdmission::Waiting(const ServiceId& service) const {
  auto found = queues_.find(service);
  return found == queues_.end() ? 0 : found->second.size();
}

void EngineAdmission::Arm() {
  if (armed_) {
    return;
  }
  armed_ = true;
  double pause = std::uniform_real_distribution<double>(
      kShortestPollMs, kLongestPollMs)(random_);
  timer_.expires_after(FromMillis(pause));
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      armed_ = false;
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
    Arm();
  }
}

void EngineAdmission::PollQueue(AdmissionQueue& queue) {
  for (uint64_t id : queue.TakeExpired(SteadyClock::now())) {
    callbacks_.give_up(id);
  }
  while (auto id = queue.Next()) {
    if (!callbacks_.try_admit(*id)) {
      return;
    }
    queue.Remove(*id);
  }
}

}  // namespace mangoyoke
