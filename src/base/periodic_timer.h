// A timer that fires at an interval until destroyed.

#ifndef MANGOYOKE_BASE_PERIODIC_TIMER_H_
#define MANGOYOKE_BASE_PERIODIC_TIMER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

#include "mangoyoke/clock.h"

namespace mangoyoke {

class PeriodicTimer {
 public:
  PeriodicTimer(boost::asio::io_context& io,
                Duration interval,
                std::function<void()> action)
      : timer_(io), interval_(interval), action_(std::move(action)) {
    Arm();
  }

 private:
  void Arm() {
    timer_.expires_after(interval_);
    // A handler that is queued while the timer is destroyed finds no life.
    timer_.async_wait([this, life = std::weak_ptr<bool>(life_)](
                          const boost::system::error_code& error) {
      if (error || life.expired()) {
        return;
      }
      Arm();
      action_();
    });
  }

  boost::asio::steady_timer timer_;
  Duration interval_;
  std::function<void()> action_;
  std::shared_ptr<bool> life_ = std::make_shared<bool>(true);
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_BASE_PERIODIC_TIMER_H_
