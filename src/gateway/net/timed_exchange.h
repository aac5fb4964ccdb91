// One request and its response on a pooled connection, with a timeout.

#ifndef MANGOYOKE_GATEWAY_NET_TIMED_EXCHANGE_H_
#define MANGOYOKE_GATEWAY_NET_TIMED_EXCHANGE_H_

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "gateway/net/connection_pool.h"

namespace mangoyoke {

// How an exchange ended and what was received.
struct ExchangeOutcome {
  ExchangeResult result = ExchangeResult::kNotSent;
  bool timed_out = false;
  bool aborted = false;                         // By this side, through Abort.
  std::optional<http::response_header<>> head;  // If it was received.
  std::string body;  // Empty if the body was passed to on_data.
  MemoryBudget::Share body_memory;
  Duration elapsed{};  // Since Start.

  // Whether the response is complete and has a 2xx status.
  bool Succeeded() const {
    return result == ExchangeResult::kComplete && head->result_int() / 100 == 2;
  }
};

struct ExchangeOptions {
  // Maximum size of a body that is collected. A larger one ends the exchange as
  // kIncomplete, as does one for which there is no memory.
  static constexpr size_t kMaxBodyBytes = 16 << 20;
  // The same for responses to requests of this instance itself.
  static constexpr size_t kMaxOwnBodyBytes = 64 << 10;

  // Avoids pooled connections that the server may be about to close.
  bool avoid_stale = false;
  // After this the exchange ends as kIncomplete with `timed_out` set, unless
  // on_timeout prolongs it.
  Duration timeout{};
  // If not 0: once the head has come, the exchange goes on after its timeout as
  // long as at least kMinProgressBytes of the body come in each such time.
  Duration body_timeout{};
  static constexpr size_t kMinProgressBytes = 8 << 10;
  size_t max_body_bytes = kMaxBodyBytes;
};

// Called on the event loop's thread.
struct ExchangeCallbacks {
  // Optional: the response head was received. Returns true to stream the body
  // to on_data, false to collect it in ExchangeOutcome::body.
  std::function<bool(const http::response_header<>&)> on_head;
  std::function<void(std::string)> on_data;
  // Optional: the timeout ended. Returns how long to wait on for the server;
  // nothing to end the exchange. Must not destroy the exchange.
  std::function<std::optional<Duration>()> on_timeout;
  // Last call of the exchange, which may be destroyed in it.
  std::function<void(ExchangeOutcome)> on_end;
};

// Runs one exchange. Not thread-safe: used on the event loop's thread only.
class TimedExchange : public ExchangeObserver {
 public:
  TimedExchange(boost::asio::io_context& io, ConnectionPool& pool);
  // Cancels the exchange by closing its connection; no callback is called.
  ~TimedExchange() override;

  // Sends `request` to `address` ("IP:port"). Only a response without a fault
  // compared with `expected` is accepted.
  void Start(const std::string& address,
             HttpRequest request,
             const ExpectedResponse& expected,
             const ExchangeOptions& options,
             ExchangeCallbacks callbacks);
  // Restarts the timeout: the exchange now times out `timeout` from now.
  void SetTimeout(Duration timeout);
  // Ends the exchange as kIncomplete. Calls on_end before it returns.
  void Abort();
  // Pauses or resumes reading of the response, to apply backpressure. The
  // timeout does not run while paused.
  void SetPaused(bool paused);

  void OnHead(const http::response_header<>& head,
              std::optional<uint64_t> body_length) override;
  void OnData(std::string data) override;
  void OnEnd(ExchangeResult result) override;

 private:
  void StartTimer();
  void OnTimeout();
  // Whether enough of the body came since the last call. Only for exchanges
  // with a timeout of the body.
  bool BodyProgresses();
  // Calls Abort after the current handler.
  void AbortLater();

  boost::asio::io_context& io_;
  ConnectionPool& pool_;
  boost::asio::steady_timer timer_;
  std::string address_;
  std::shared_ptr<HttpConnection> connection_;  // Null outside an exchange.
  ExchangeCallbacks callbacks_;
  ExchangeOutcome outcome_;
  size_t max_body_bytes_ = 0;
  Duration body_timeout_{};
  size_t body_bytes_before_ = 0;  // At the last check of progress.
  bool stream_body_ = false;      // The body goes to on_data.
  bool paused_ = false;
  Duration timeout_{};  // Set last.
  TimePoint started_{};
  // Expires with this object; queued handlers check it before they access the
  // object.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_NET_TIMED_EXCHANGE_H_
