// What all children of the control thread share, and how they announce
// changes to each other.

#ifndef MANGOYOKE_DAEMON_CONTROL_CONTROL_CONTEXT_H_
#define MANGOYOKE_DAEMON_CONTROL_CONTROL_CONTEXT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <vector>

#include "base/metrics.h"
#include "daemon/settings.h"
#include "http/http_client.h"
#include "mangoyoke/membership.h"
#include "peer/peer_transport.h"

namespace mangoyoke {

struct ControlContext {
  boost::asio::io_context& io;
  const Settings& settings;
  Metrics& metrics;
  PeerClient& peers;
  HttpClient& http;
  Membership& membership;
};

// A timer that fires at an interval until destroyed.
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
    timer_.async_wait([this](const boost::system::error_code& error) {
      if (error) {
        return;
      }
      Arm();
      action_();
    });
  }

  boost::asio::steady_timer timer_;
  Duration interval_;
  std::function<void()> action_;
};

// Callbacks for one kind of event.
template <typename... Arguments>
class Observers {
 public:
  using Callback = std::function<void(Arguments...)>;

  void Add(Callback callback) { callbacks_.push_back(std::move(callback)); }
  void Notify(Arguments... arguments) const {
    for (const Callback& callback : callbacks_) {
      callback(arguments...);
    }
  }

 private:
  std::vector<Callback> callbacks_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_DAEMON_CONTROL_CONTROL_CONTEXT_H_
