// What the requests of one traffic thread share.

#ifndef MANGOYOKE_DAEMON_TRAFFIC_TRAFFIC_CONTEXT_H_
#define MANGOYOKE_DAEMON_TRAFFIC_TRAFFIC_CONTEXT_H_

#include <boost/asio/io_context.hpp>
#include <memory>

#include "base/metrics.h"
#include "daemon/control_interface.h"
#include "daemon/settings.h"
#include "daemon/traffic/account_request_limiter.h"
#include "http/http_client.h"
#include "http/response_stream.h"
#include "mangoyoke/retry_budget.h"

namespace mangoyoke {

// Retries earned by each request, and most retries saved up, in one thread.
inline constexpr double kRetryShare = 0.2;
inline constexpr double kRetryBurst = 50;

struct TrafficContext {
  boost::asio::io_context& io;
  const Settings& settings;
  Metrics& metrics;
  ControlInterface& control;
  AccountRequestLimiter& accounts;
  HttpClient& http;
  RetryBudget& retries;
};

// Refuses a request with a JSON error: number, name, whether it ran, and when
// to come back. Counts the refusal.
void SendErrorResponse(Metrics& metrics,
                       const std::shared_ptr<ResponseStream>& stream,
                       const Error& error);

// The JSON object of an error.
std::string ErrorJson(const Error& error);

}  // namespace mangoyoke

#endif  // MANGOYOKE_DAEMON_TRAFFIC_TRAFFIC_CONTEXT_H_
