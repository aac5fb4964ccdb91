// Client of the store's HTTP interface that also tracks whether the store is
// reachable.

#ifndef MANGOYOKE_GATEWAY_CONTROL_STORE_CLIENT_H_
#define MANGOYOKE_GATEWAY_CONTROL_STORE_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/metrics.h"
#include "base/observers.h"
#include "gateway/net/timed_exchange.h"

namespace mangoyoke {

// Sends calls to the store over a connection pool, without retries. A call
// fails if no complete response came in time, or if the status is
// 429 or 5xx: the store then refuses this instance. The last call decides
// whether the store counts as reachable.
class StoreClient {
 public:
  // Receives the outcome of a call, also of a failed one.
  using Callback = std::function<void(ExchangeOutcome)>;

  // `address` is "IP:port". `io` and `metrics` must outlive the client.
  StoreClient(boost::asio::io_context& io,
              std::string address,
              Metrics& metrics);
  ~StoreClient();

  // Sends `request` once. `timeout` holds until the head of the response; its
  // body may take as long as it makes progress. `callback` is called once,
  // unless the call is cancelled or the client is destroyed first. Returns the
  // id of the call, which is never 0.
  uint64_t Call(HttpRequest request, Duration timeout, Callback callback);
  // Ends the call; its callback is not called.
  void Cancel(uint64_t id) { calls_.erase(id); }
  // Sets the address ("IP:port") that later calls go to.
  void SetAddress(const std::string& address) { address_ = address; }

  // Whether the last call succeeded; true before the first one.
  bool reachable() const { return reachable_; }
  // Notified when a call succeeded, before its callback.
  Observers<> on_success;
  // Notified when a call failed, before its callback.
  Observers<> on_failure;
  // Notified when a call succeeded after a failed one, after its callback, with
  // the time of the response.
  Observers<TimePoint> on_recovered;

 private:
  void OnCallEnd(uint64_t id,
                 ExchangeOutcome outcome,
                 const Callback& callback);
  // Returns whether reachable() changed.
  bool SetReachable(bool reachable, const ExchangeOutcome& outcome);

  boost::asio::io_context& io_;
  std::string address_;
  Metrics& metrics_;
  ConnectionPool pool_;
  std::map<uint64_t, std::unique_ptr<TimedExchange>> calls_;
  uint64_t next_id_ = 1;
  bool reachable_ = true;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CONTROL_STORE_CLIENT_H_
