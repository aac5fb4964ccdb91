// One request sent to one backend server: the connection, the time limit and
// the bookkeeping of work in flight.

#ifndef MANGOYOKE_GATEWAY_TRAFFIC_SERVER_ATTEMPT_H_
#define MANGOYOKE_GATEWAY_TRAFFIC_SERVER_ATTEMPT_H_

#include <functional>
#include <memory>
#include <string>

#include "gateway/net/timed_exchange.h"
#include "gateway/traffic/traffic_context.h"

namespace mangoyoke {

struct AttemptOutcome : ExchangeOutcome {
  BackendResponse response;  // Of the head, if it came.

  // Whether the server vouches that it did not and will not run the request.
  bool NotExecuted() const {
    return result == ExchangeResult::kNotSent ||
           (head && response.not_executed);
  }
};

struct AttemptCallbacks {
  // Optional: the head of the answer came. Returns whether on_data gets the
  // body as it comes.
  std::function<bool(const http::response_header<>&, const BackendResponse&)>
      on_head;
  std::function<void(std::string)> on_data;
  // Last call; the attempt may be destroyed in it.
  std::function<void(AttemptOutcome)> on_end;
};

class ServerAttempt {
 public:
  ServerAttempt(TrafficContext& context,
                BackendServer server,
                const LoadCharge& charge);
  // Cancels what is under way.
  ~ServerAttempt();

  // `careful`: the request may not be repeated, so connections that the
  // server may be about to close are avoided.
  void Start(HttpRequest request,
             const std::string& request_id,
             bool careful,
             Duration limit,
             AttemptCallbacks callbacks);
  // Moves the time limit to `limit` from now.
  void SetTimeout(Duration limit) { exchange_.SetTimeout(limit); }
  // Changes the work in flight that the attempt stands for.
  void SetCharge(const LoadCharge& charge);
  void SetPaused(bool paused) { exchange_.SetPaused(paused); }

 private:
  TrafficContext& context_;
  BackendServer server_;
  uint64_t charge_id_;
  TimedExchange exchange_;
  BackendResponse answer_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_TRAFFIC_SERVER_ATTEMPT_H_
