// Holds model requests back until an engine has room for them, and tries them
// again while they wait.

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

class EngineAdmission {
 public:
  // What a waiting request can be told, by its id.
  struct Callbacks {
    // Returns whether the request found room and went on.
    std::function<bool(uint64_t)> try_admit;
    // The request waited too long.
    std::function<void(uint64_t)> give_up;
  };

  EngineAdmission(boost::asio::io_context& io, Callbacks callbacks);

  void Wait(const ServiceId& service,
            uint64_t id,
            const QueuedRequest& request);
  void Remove(const ServiceId& service, uint64_t id);
  size_t Waiting(const ServiceId& service) const;

 private:
  void Arm();
  void Poll();
  void PollQueue(AdmissionQueue& queue);

  boost::asio::steady_timer timer_;
  Callbacks callbacks_;
  std::minstd_rand random_{std::random_device{}()};
  std::map<ServiceId, AdmissionQueue> queues_;
  bool armed_ = false;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_TRAFFIC_ENGINE_ADMISSION_H_
