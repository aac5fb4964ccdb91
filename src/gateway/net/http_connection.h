// One HTTP/1.1 connection to a server, for one exchange at a time.
//
// It never repeats a request by itself, tells exactly whether any byte of a
// request may have reached the server, and hands out only the answer whose id
// is the request's: answers to earlier requests that come late are skipped.

#ifndef MANGOYOKE_GATEWAY_NET_HTTP_CONNECTION_H_
#define MANGOYOKE_GATEWAY_NET_HTTP_CONNECTION_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "gateway/core/codecs.h"
#include "gateway/net/sockets.h"

namespace mangoyoke {

// How an exchange ended.
enum class ExchangeResult {
  kComplete,    // The whole answer came.
  kNotSent,     // No byte of the request left; the server cannot have run it.
  kIncomplete,  // The request left; the answer is missing or incomplete.
};

// Receives one answer, on the event loop's thread.
class ExchangeObserver {
 public:
  virtual ~ExchangeObserver() = default;
  virtual void OnHead(const http::response_header<>& head) = 0;
  virtual void OnData(std::string data) = 0;
  // Last call of an exchange.
  virtual void OnEnd(ExchangeResult result) = 0;
};

class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
 public:
  // The request id that an answer's head echoes; empty if it has none.
  using RequestIdExtractor =
      std::function<std::string(const http::response_header<>&)>;

  HttpConnection(boost::asio::io_context& io,
                 Tcp::endpoint endpoint,
                 RequestIdExtractor answer_id);

  // Connects if necessary and sends `request`. `observer` must live until
  // OnEnd or Close. `request_id` empty: any answer is taken.
  void Send(HttpRequest request,
            const std::string& request_id,
            ExchangeObserver& observer);
  // Ends everything; the observer hears no more.
  void Close();
  // While paused nothing is read, so that the server is slowed down.
  void SetPaused(bool paused);

  // Whether another exchange may follow: connected, idle and in step.
  bool Reusable() const;
  // For how long the connection has been idle.
  Duration IdleTime(TimePoint now) const { return now - idle_since_; }
  // How long the server keeps an idle connection, if it said so.
  std::optional<Duration> idle_limit() const { return idle_limit_; }
  // Whether the connection was made for the current or last exchange.
  bool fresh() const { return exchanges_ <= 1; }
  // Fired once when the connection closes while idle.
  void SetIdleCloseCallback(std::function<void()> callback) {
    on_idle_close_ = std::move(callback);
  }

 private:
  using Parser = http::response_parser<http::string_body>;

  void Connect();
  void Write();
  void Read();
  void OnRead(const boost::system::error_code& error, size_t size);
  void Parse();
  void OnHeadParsed();
  void Deliver();
  void NewParser();
  void OnEof(const boost::system::error_code& error);
  void Finish(ExchangeResult result);
  void Drop();

  boost::asio::io_context& io_;
  Tcp::socket socket_;
  Tcp::endpoint endpoint_;
  RequestIdExtractor answer_id_;
  boost::asio::steady_timer connect_timer_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  std::optional<HttpRequest> request_;
  std::string request_id_;
  ExchangeObserver* observer_ = nullptr;  // Set during an exchange.
  std::function<void()> on_idle_close_;
  TimePoint idle_since_{};
  std::optional<Duration> idle_limit_;
  int exchanges_ = 0;
  bool connected_ = false;
  bool closed_ = false;
  bool writing_ = false;  // A write is outstanding; it uses request_.
  bool sent_ = false;     // Bytes of the current request may have left.
  bool reading_ = false;  // A read is outstanding.
  bool paused_ = false;
  bool head_done_ = false;  // Of the answer that parser_ reads.
  bool foreign_ = false;    // That answer belongs to another request.
  bool keep_ = true;        // The server keeps the connection.
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_NET_HTTP_CONNECTION_H_
