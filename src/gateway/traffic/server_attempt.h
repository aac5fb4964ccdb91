// One attempt: a request sent to one backend server, with its timeout and its
// load charge. A response that ended with its connection is complete only if
// its server lives on.

#ifndef MANGOYOKE_GATEWAY_TRAFFIC_SERVER_ATTEMPT_H_
#define MANGOYOKE_GATEWAY_TRAFFIC_SERVER_ATTEMPT_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "gateway/net/timed_exchange.h"
#include "gateway/traffic/traffic_context.h"

namespace mangoyoke {

struct AttemptOutcome : ExchangeOutcome {
  BackendResponse response;  // From the response head, if one arrived.
  // What became of the server, if the response ended with its connection. Such
  // a response is kComplete if the server lives, else kIncomplete.
  std::optional<ServerFate> server_fate;

  // Whether the request was certainly not executed and will not be: it was not
  // sent, or the server says so.
  bool NotExecuted() const {
    return result == ExchangeResult::kNotSent ||
           (head && response.not_executed);
  }
  // Whether the body has a length or chunks. Else it ended with the connection.
  bool Framed() const { return !server_fate; }
  // Whether the server, or the network, broke the response off.
  bool BrokenOff() const {
    return result == ExchangeResult::kIncomplete && !timed_out && !aborted &&
           !NotExecuted();
  }
};

struct AttemptCallbacks {
  // Optional: the response head arrived. Returns whether to stream the body to
  // on_data; otherwise it is collected in the outcome.
  std::function<bool(const http::response_header<>&, const BackendResponse&)>
      on_head;
  std::function<void(std::string)> on_data;
  // Optional: the timeout ended; see ExchangeCallbacks.
  std::function<std::optional<Duration>()> on_timeout;
  // The last callback; it may destroy the attempt.
  std::function<void(AttemptOutcome)> on_end;
};

class ServerAttempt {
 public:
  // Adds `charge` to the load of `server` until the attempt ends.
  ServerAttempt(TrafficContext& context,
                BackendServer server,
                const LoadCharge& charge);
  // Cancels the attempt if it is in progress.
  ~ServerAttempt();

  // Sends `request` and calls `callbacks`. Requests that must not be retried
  // avoid stale connections.
  void Start(HttpRequest request,
             const ExpectedResponse& expected,
             const ExchangeOptions& options,
             AttemptCallbacks callbacks);
  // Restarts the timeout with `timeout` from now.
  void SetTimeout(Duration timeout) { exchange_.SetTimeout(timeout); }
  // Ends the attempt as kIncomplete: what the server sends is no response.
  // Calls on_end before it returns.
  void Abort();
  // Replaces the load charge of the attempt.
  void SetCharge(const LoadCharge& charge);
  // Stops or resumes reading the response (backpressure).
  void SetPaused(bool paused) { exchange_.SetPaused(paused); }

 private:
  // Records and counts what the response head says of the server itself.
  void RecordNotice(const std::string& request_id);
  void OnExchangeEnd(ExchangeOutcome exchange_outcome);
  // Finds out whether the server has ended, and ends the attempt with that.
  void CheckServer();
  void OnServerChecked(ServerFate fate);
  // Calls on_end.
  void End(AttemptOutcome outcome);

  TrafficContext& context_;
  BackendServer server_;
  uint64_t charge_id_;
  TimedExchange exchange_;
  BackendResponse response_;
  std::function<void(AttemptOutcome)> on_end_;
  // The outcome while the server is checked.
  std::optional<AttemptOutcome> unconfirmed_;
  // Expires with this object; a check that ends later has no effect.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_TRAFFIC_SERVER_ATTEMPT_H_
