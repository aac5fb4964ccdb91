// Calls to the store, and whether it answers.

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

class StoreClient {
 public:
  using Callback = std::function<void(ExchangeOutcome)>;

  StoreClient(boost::asio::io_context& io,
              std::string address,
              Metrics& metrics);
  ~StoreClient();

  // Sends `request` once. `callback` is called once, unless the call is
  // cancelled or the client destroyed first. Returns the call's id.
  uint64_t Call(HttpRequest request, Duration limit, Callback callback);
  // Ends the call without an answer.
  void Cancel(uint64_t id) { calls_.erase(id); }
  // Calls go to `address` from now on.
  void SetAddress(const std::string& address) { address_ = address; }

  // Whether the last call was answered.
  bool reachable() const { return reachable_; }
  // Fired at every answer, and at every call without one.
  Observers<> on_answer;
  Observers<> on_failure;
  // Fired when the store answers after a call without an answer.
  Observers<> on_regained;

 private:
  void Ended(uint64_t id, ExchangeOutcome outcome, const Callback& callback);
  // Returns whether that changed.
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
