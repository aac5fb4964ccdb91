// Dependencies shared by the services of the control thread.

#ifndef MANGOYOKE_DAEMON_CONTROL_CONTROL_CONTEXT_H_
#define MANGOYOKE_DAEMON_CONTROL_CONTROL_CONTEXT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <vector>

#include "base/metrics.h"
#include "base/observers.h"
#include "base/periodic_timer.h"
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

}  // namespace mangoyoke

#endif  // MANGOYOKE_DAEMON_CONTROL_CONTROL_CONTEXT_H_
