// A timer that fires repeatedly until it is destroyed.

#ifndef MANGOYOKE_BASE_PERIODIC_TIMER_H_
#define MANGOYOKE_BASE_PERIODIC_TIMER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

#include "mangoyoke/clock.h"

namespace mangoyoke {

// Runs `action` on the io_context's thread every `interval`, first after one
// interval. Destroy it on that thread.
class PeriodicTimer {
 public:
  PeriodicTimer(boost::asio::io_context& io,
                Duration interval,
                std::function<void()> action)
      : timer_(io), interval_(interval), action_(std::move(action)) {
    ScheduleNext();
  }

 private:
  void ScheduleNext() {
    timer_.expires_after(interval_);
    // A handler may already be queued when the timer is destroyed. It finds
    // alive_ expired and does nothing.
    timer_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](
                          const boost::system::error_code& error) {
      if (error || alive.expired()) {
        return;
      }
      ScheduleNext();
      action_();
    });
  }

  boost::asio::steady_timer timer_;
  Duration interval_;
  std::function<void()> action_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_BASE_PERIODIC_TIMER_H_
