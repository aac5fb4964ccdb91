// Keeps model requests in an admission queue per service until an engine has
// capacity for them. Polls: the first request of each queue is tried again at
// short random intervals. If its account uses more than the others, it is tried
// less often, so that requests that wait at other instances go before it.

#ifndef MANGOYOKE_GATEWAY_TRAFFIC_ENGINE_ADMISSION_H_
#define MANGOYOKE_GATEWAY_TRAFFIC_ENGINE_ADMISSION_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <random>

#include "gateway/core/admission_queue.h"
#include "mangoyoke/plan.h"

namespace mangoyoke {

// Used on the traffic thread only.
class EngineAdmission {
 public:
  // Calls to a queued request; the argument is its id.
  struct Callbacks {
    // Tries to admit the request. Returns whether it needs to wait no longer:
    // it was admitted, failed or has ended already.
    std::function<bool(uint64_t)> try_admit;
    // The request passed its wait deadline; it was taken from the queue.
    std::function<void(uint64_t)> on_expired;
    // Use of an account relative to all accounts.
    RelativeUseFunction relative_use;
  };

  EngineAdmission(boost::asio::io_context& io, Callbacks callbacks);

  // Adds the request to the queue of `service`.
  void Enqueue(const ServiceId& service,
               uint64_t id,
               const QueuedRequest& request);
  // Does nothing if the request is not queued.
  void Remove(const ServiceId& service, uint64_t id);
  // Whether a new request of `account` has to wait for its turn: its account
  // uses more than the others and others wait for `service`.
  bool HasToQueue(const ServiceId& service, const AccountId& account) const;
  // Number of requests queued for `service`.
  size_t Waiting(const ServiceId& service) const;

 private:
  // Starts the timer for the next poll unless it is running.
  void SchedulePoll();
  void Poll();
  // Removes expired requests, then admits requests in the order of the queue
  // until one has to go on waiting.
  void PollQueue(AdmissionQueue& queue);
  // Whether a request of an account with this use level is tried in this poll.
  bool TakesPart(int use_level);

  boost::asio::steady_timer timer_;
  Callbacks callbacks_;
  std::minstd_rand random_{std::random_device{}()};
  std::map<ServiceId, AdmissionQueue> queues_;
  bool poll_scheduled_ = false;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_TRAFFIC_ENGINE_ADMISSION_H_
