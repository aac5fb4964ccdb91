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

// What is known of the store. Only the end of a call tells, so nothing is known
// from the time on at which calls stopped.
enum class StoreReachability {
  kUnknown,      // No call ended since the calls began or began again.
  kReachable,    // The last call succeeded.
  kUnreachable,  // The last call failed.
};

// Sends calls to the store over a connection pool, without retries. A call
// fails if no complete response came in time, or if the status is
// 429 or 5xx: the store then refuses this instance.
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
  // No calls are sent for the time being, and none is in progress.
  void OnCallsStopped() { reachability_ = StoreReachability::kUnknown; }

  StoreReachability reachability() const { return reachability_; }
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
  // Returns the reachability before.
  StoreReachability SetReachability(StoreReachability reachability,
                                    const ExchangeOutcome& outcome);

  boost::asio::io_context& io_;
  std::string address_;
  Metrics& metrics_;
  ConnectionPool pool_;
  std::map<uint64_t, std::unique_ptr<TimedExchange>> calls_;
  uint64_t next_id_ = 1;
  StoreReachability reachability_ = StoreReachability::kUnknown;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CONTROL_STORE_CLIENT_H_
