// Polling of the queues of plain services.

#include "gateway/traffic/plain_admission.h"

#include <vector>

namespace mangoyoke {
namespace {

// The poll interval is random, so that instances seldom send to the same server
// at the same moment.
constexpr double kShortestPollMs = 8;
constexpr double kLongestPollMs = 28;

}  // namespace

PlainAdmission::PlainAdmission(boost::asio::io_context& io, Callbacks callbacks)
    : timer_(io), callbacks_(std::move(callbacks)) {}

void PlainAdmission::Enqueue(const ServiceId& service,
                             uint64_t id,
                             const PlainPlace& place) {
  queues_[service].Add(id, place);
  SchedulePoll();
}

void PlainAdmission::Remove(const ServiceId& service, uint64_t id) {
  if (auto found = queues_.find(service); found != queues_.end()) {
    found->second.Remove(id);
  }
}

void PlainAdmission::SchedulePoll() {
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

void PlainAdmission::Poll() {
  std::vector<ServiceId> services;
  for (const auto& [service, queue] : queues_) {
    services.push_back(service);
  }
  for (const ServiceId& service : services) {
    PollQueue(service);
  }
  std::erase_if(queues_,
                [](const auto& entry) { return entry.second.size() == 0; });
  if (!queues_.empty()) {
    SchedulePoll();
  }
}

void PlainAdmission::PollQueue(const ServiceId& service) {
  for (uint64_t id : queues_[service].TakeExpired(SteadyClock::now())) {
    callbacks_.on_expired(id);
  }
  for (uint64_t id : queues_[service].InOrder()) {
    if (callbacks_.try_again(id) == QueuedAttempt::kNoRoom) {
      return;
    }
  }
}

}  // namespace mangoyoke
