// HTTP/1.1 client connection to a backend server, one exchange (request and
// response) at a time.
//
// - Never retries a request.
// - Reports whether any byte of the request may have reached the server, which
//   decides whether the caller of this class may retry safely.
// - Delivers only what its check takes for the response to the request. Late
//   responses to earlier requests on the connection are skipped; other bytes
//   end the exchange.
// - Carries one exchange at most for a request id, so that a response repeated
//   by the server never matches a later try of the same request.
// - Bounds what it keeps and skips, so that a server that sends bytes without
//   end occupies neither memory nor the thread.

#ifndef MANGOYOKE_GATEWAY_NET_HTTP_CONNECTION_H_
#define MANGOYOKE_GATEWAY_NET_HTTP_CONNECTION_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/core/codecs.h"
#include "gateway/core/response_check.h"
#include "gateway/net/message_reader.h"
#include "gateway/net/sockets.h"

namespace mangoyoke {

// How an exchange ended.
enum class ExchangeResult {
  // The complete response was received.
  kComplete,
  // The response has neither a length nor chunks, and its connection ended in
  // order. That is how such a response ends; the connections of a server that
  // was killed end in the same way.
  kEndedByClose,
  // No byte of the request was sent, so the server cannot have executed it.
  kNotSent,
  // The request may have been sent, at least in part; the response is missing
  // or incomplete.
  kIncomplete,
};

// Receives one response, on the event loop's thread.
class ExchangeObserver {
 public:
  virtual ~ExchangeObserver() = default;
  // The response head arrived. Not called for interim (1xx) responses.
  // `body_length`: see MessageReader.
  virtual void OnHead(const http::response_header<>& head,
                      std::optional<uint64_t> body_length) = 0;
  // The next part of the response body, with the chunked encoding removed.
  virtual void OnData(std::string data) = 0;
  // Last call of an exchange.
  virtual void OnEnd(ExchangeResult result) = 0;
};

// Not thread-safe: used on the event loop's thread only.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
 public:
  // Returns what is wrong with the head of a final response.
  using ResponseCheck =
      std::function<ResponseFault(const http::response_header<>& head,
                                  const ExpectedResponse& expected)>;

  HttpConnection(boost::asio::io_context& io,
                 Tcp::endpoint endpoint,
                 ResponseCheck check_response);

  // Connects if necessary and sends `request`. `observer` must outlive the
  // exchange, i.e. live until OnEnd or Close.
  void Send(HttpRequest request,
            const ExpectedResponse& expected,
            ExchangeObserver& observer);
  // Closes the connection. No further observer or idle-close callback is
  // called.
  void Close();
  // While paused, nothing is read from the socket, so that TCP flow control
  // slows the server down.
  void SetPaused(bool paused);

  // Whether another exchange may follow: connected, idle, not paused, and the
  // server keeps the connection open.
  bool Reusable() const;
  // Whether an exchange for `request_id` was started on this connection. Always
  // false for the empty id.
  bool HasCarried(const std::string& request_id) const;
  // Whether the connection is open and nothing lies in the socket. Bytes that
  // are there before a request was written are no response to it.
  bool SocketIsQuiet();
  // Time since the last exchange completed.
  Duration IdleTime(TimePoint now) const { return now - idle_since_; }
  // The server's idle timeout, if its Keep-Alive header announced one.
  std::optional<Duration> server_idle_timeout() const {
    return server_idle_timeout_;
  }
  // Whether the connection was opened for the current or last exchange.
  bool fresh() const { return exchanges_ <= 1; }
  // `callback` is called once if the connection breaks while idle.
  void SetIdleCloseCallback(std::function<void()> callback) {
    on_idle_close_ = std::move(callback);
  }

 private:
  using Reader = MessageReader</*is_request=*/false>;

  // Runs a handler of this connection. If it throws, the exchange fails and the
  // connection is closed.
  template <typename Handler>
  void Run(const Handler& handler);
  void Connect();
  void OnConnect(const boost::system::error_code& error);
  void Write();
  void OnWritten(const boost::system::error_code& error, size_t size);
  void Read();
  void OnRead(const boost::system::error_code& error, size_t size);
  void Parse();
  void OnHeadParsed();
  void DeliverBody();
  // The response whose head was parsed is not the one waited for.
  void SkipResponse();
  // The same, and it belongs to no exchange in progress. The connection is not
  // used again after this exchange.
  void SkipForeignResponse(ResponseFault fault);
  // What came instead of the response. Ends the exchange.
  void RejectResponse(ResponseFault fault);
  void LogFault(std::string_view event, ResponseFault fault) const;
  // Whether the one that has `fault` may be a late response to an earlier
  // exchange on this connection.
  bool MayBeLate(ResponseFault fault) const;
  // Logs that the connection is closed because bytes came for which no request
  // was waiting.
  void LogUnsolicited(std::string_view when) const;
  // Whether more bytes came that are no response than a sound server sends.
  bool SendsWithoutEnd() const;
  // Begins to read another response.
  void ResetReader();
  void OnReadError(const boost::system::error_code& error);
  void Finish(ExchangeResult result);
  void CloseSocket();

  boost::asio::io_context& io_;
  Tcp::socket socket_;
  Tcp::endpoint endpoint_;
  ResponseCheck check_response_;
  boost::asio::steady_timer connect_timer_;
  boost::beast::flat_buffer buffer_;
  std::optional<Reader> reader_;
  std::optional<HttpRequest> request_;
  ExpectedResponse expected_;
  ExchangeObserver* observer_ = nullptr;  // Non-null during an exchange.
  std::function<void()> on_idle_close_;
  TimePoint idle_since_{};
  std::optional<Duration> server_idle_timeout_;
  int exchanges_ = 0;
  // Hashes of the request ids of all exchanges. Two ids with the same hash only
  // cost a new connection.
  std::vector<size_t> carried_ids_;
  bool connected_ = false;
  bool closed_ = false;
  bool is_head_request_ = false;  // Responses have no body.
  bool writing_ = false;          // A write is in progress; it reads request_.
  // The response ended with the connection before the request was written. It
  // is whole if the server reads the rest, and not if it resets the connection.
  bool ended_early_ = false;
  bool maybe_sent_ = false;  // Bytes of the current request may have been sent.
  bool reading_ = false;     // A read is in progress.
  bool paused_ = false;
  // The head of the response in reader_ was passed on or is to be skipped.
  bool head_done_ = false;
  // The response in reader_ is interim or for another request.
  bool skip_response_ = false;
  // Interim and other responses skipped in this exchange, and their bodies.
  int skipped_responses_ = 0;
  size_t skipped_bytes_ = 0;
  bool keep_alive_ = true;  // The server keeps the connection open.
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_NET_HTTP_CONNECTION_H_
