// Keeps requests to plain services in a queue per service while no server has
// room for them, and tries them again at short random intervals.

#ifndef MANGOYOKE_GATEWAY_TRAFFIC_PLAIN_ADMISSION_H_
#define MANGOYOKE_GATEWAY_TRAFFIC_PLAIN_ADMISSION_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <random>

#include "gateway/core/plain_queue.h"
#include "mangoyoke/plan.h"

namespace mangoyoke {

// What became of a queued request that was tried again.
enum class QueuedAttempt {
  kDone,     // It has left the queue.
  kNoRoom,   // No server has room; those behind it are not tried.
  kBlocked,  // It has to wait longer; others may go.
};

// Used on the traffic thread only.
class PlainAdmission {
 public:
  // Calls to a queued request; the argument is its id.
  struct Callbacks {
    // Sends the request, which leaves the queue then, if a server has room.
    std::function<QueuedAttempt(uint64_t)> try_again;
    // The request passed its wait deadline; it was taken from the queue.
    std::function<void(uint64_t)> on_expired;
  };

  PlainAdmission(boost::asio::io_context& io, Callbacks callbacks);

  // Adds the request to the queue of `service`.
  void Enqueue(const ServiceId& service, uint64_t id, const PlainPlace& place);
  // Does nothing if the request is not queued.
  void Remove(const ServiceId& service, uint64_t id);

 private:
  // Starts the timer for the next poll unless it is running.
  void SchedulePoll();
  void Poll();
  void PollQueue(const ServiceId& service);

  boost::asio::steady_timer timer_;
  Callbacks callbacks_;
  std::minstd_rand random_{std::random_device{}()};
  std::map<ServiceId, PlainQueue> queues_;
  bool poll_scheduled_ = false;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_TRAFFIC_PLAIN_ADMISSION_H_
