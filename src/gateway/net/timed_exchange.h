// One request and its answer on a pooled connection, within a time limit.

#ifndef MANGOYOKE_GATEWAY_NET_TIMED_EXCHANGE_H_
#define MANGOYOKE_GATEWAY_NET_TIMED_EXCHANGE_H_

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "gateway/net/connection_pool.h"

namespace mangoyoke {

struct ExchangeOutcome {
  ExchangeResult result = ExchangeResult::kNotSent;
  bool timed_out = false;
  std::optional<http::response_header<>> head;  // If it came.
  std::string body;  // Unless the data was handed out as it came.
  Duration elapsed{};

  // A whole answer with a status that means success.
  bool Succeeded() const {
    return result == ExchangeResult::kComplete && head->result_int() / 100 == 2;
  }
};

struct ExchangeCallbacks {
  // Optional: the head of the answer came. Returns whether on_data gets the
  // body as it comes.
  std::function<bool(const http::response_header<>&)> on_head;
  std::function<void(std::string)> on_data;
  // Last call; the exchange may be destroyed in it.
  std::function<void(ExchangeOutcome)> on_end;
};

class TimedExchange : public ExchangeObserver {
 public:
  TimedExchange(boost::asio::io_context& io, ConnectionPool& pool);
  // Cancels what is under way.
  ~TimedExchange() override;

  // `careful`: connections that the server may be about to close are avoided.
  void Start(const std::string& address,
             HttpRequest request,
             const std::string& request_id,
             bool careful,
             Duration limit,
             ExchangeCallbacks callbacks);
  // Moves the time limit to `limit` from now.
  void SetTimeout(Duration limit);
  void SetPaused(bool paused);

  void OnHead(const http::response_header<>& head) override;
  void OnData(std::string data) override;
  void OnEnd(ExchangeResult result) override;

 private:
  boost::asio::io_context& io_;
  ConnectionPool& pool_;
  boost::asio::steady_timer timer_;
  std::string address_;
  std::shared_ptr<HttpConnection> connection_;  // Null when not under way.
  ExchangeCallbacks callbacks_;
  ExchangeOutcome outcome_;
  bool hand_out_ = false;
  TimePoint started_{};
  // Expires with this object; queued timer handlers look at it.
  std::shared_ptr<bool> life_ = std::make_shared<bool>(true);
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_NET_TIMED_EXCHANGE_H_
