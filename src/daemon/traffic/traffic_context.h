// Objects shared by all requests of one traffic thread, and error responses.

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

// Retry budget of one traffic thread: retries that each request adds, and the
// most that can accumulate.
inline constexpr double kRetryShare = 0.2;
inline constexpr double kRetryBurst = 50;

// References to objects that outlive the requests of the thread. `accounts` is
// shared by all traffic threads; `http` and `retries` belong to this one.
struct TrafficContext {
  boost::asio::io_context& io;
  const Settings& settings;
  Metrics& metrics;
  ControlInterface& control;
  AccountRequestLimiter& accounts;
  HttpClient& http;
  RetryBudget& retries;
};

// Sends a JSON error with the HTTP status of `error` and counts it in
// mangoyoke_refusals_total. 429 and 503 carry Retry-After.
void SendErrorResponse(Metrics& metrics,
                       const std::shared_ptr<ResponseStream>& stream,
                       const Error& error);

// Returns an error as a JSON object: code, name, message, whether a backend
// server may have executed the request, detail, and when to retry.
std::string ErrorJson(const Error& error);

}  // namespace mangoyoke

#endif  // MANGOYOKE_DAEMON_TRAFFIC_TRAFFIC_CONTEXT_H_
