// One caller's connection: reads requests one after another and writes the
// response to each.

#ifndef MANGOYOKE_GATEWAY_NET_HTTP_SESSION_H_
#define MANGOYOKE_GATEWAY_NET_HTTP_SESSION_H_

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "gateway/net/http_listener.h"
#include "gateway/net/message_reader.h"

namespace mangoyoke {

// Flags that a listener shares with its sessions.
struct ListenerState {
  // Limit of `body_memory`, for instances of the smallest size.
  static constexpr size_t kDefaultBodyMemoryBytes = 22 << 20;

  bool draining = false;  // Responses announce that the connection closes.
  bool stopped = false;   // Idle connections are closed.
  // The memory of requests' bodies, from their first byte to the response.
  MemoryBudget body_memory{kDefaultBodyMemoryBytes};
};

// Why a caller's connection was closed.
enum class CloseReason {
  kCallerLeft,      // The caller closed its side, or the connection failed.
  kLastResponse,    // The response that announced it was written.
  kLingerTimeout,   // The same, and the caller did not close its side in time.
  kIdleTimeout,     // No request arrived in time.
  kHeaderTimeout,   // The header did not arrive in time.
  kBodyTimeout,     // The body did not arrive in time.
  kStopping,        // The instance is stopping and the connection was idle.
  kResponseBroken,  // The response cannot be completed.
  kInternalError,   // A handler of the connection failed.
  kMemory,          // The response is not read, and its memory is needed.
};

// Keeps itself alive while an operation on its socket is in progress. The
// methods of HttpResponder apply to the current request.
class HttpSession : public HttpResponder,
                    public std::enable_shared_from_this<HttpSession> {
 public:
  HttpSession(Tcp::socket socket,
              RequestHandler& handler,
              std::shared_ptr<ListenerState> state);

  // Starts reading requests.
  void Start();
  // Closes the connection if no request is being read or responded to, and none
  // has arrived in the socket.
  void CloseIfIdle();
  // Rejects a request that is being read, since the process stops.
  void RejectUnfinished();
  // Whether a request is being read or responded to, or the last response may
  // not have reached the caller yet. After a stop, a connection that is still
  // open has a request in its socket.
  bool busy() const {
    return !closed_ && (state_ != State::kIdle || listener_state_->stopped);
  }

  using HttpResponder::Reply;
  void Reply(HttpResponse response, MemoryBudget::Share body_memory) override;
  void BeginStream(http::response_header<> head) override;
  void Write(std::string data) override;
  void EndStream() override;
  void Abort() override;
  void SetDisconnectCallback(std::function<void()> callback) override;
  void SetBackpressureCallback(std::function<void(bool)> callback) override;

 private:
  using Reader = MessageReader</*is_request=*/true>;
  // kLingering: the last response is written; incoming bytes are discarded
  // until the caller closes the connection or a timeout expires.
  enum class State { kIdle, kReading, kResponding, kLingering };
  static std::string_view StateName(State state);

  // Runs a handler of this connection. If it throws, the connection is closed.
  template <typename Handler>
  void Run(const Handler& handler);
  void NextRequest();
  // Waits until the socket is readable. Bytes stay in the socket until they are
  // handled, so that UnreadBytes sees them; and no buffer is in use meanwhile.
  void WaitForBytes();
  void OnReadable();
  // The caller closed its side, or the connection failed.
  void OnReadEnd();
  void Parse();
  // The first bytes of a request arrived: the limits in force hold for it.
  void BeginRequest();
  // Returns whether the request is to be read on; else it was rejected.
  bool OnHeadParsed();
  void Dispatch();
  // The request could not be handed to its handler.
  void OnDispatchFailed();
  void RejectRequest(const Error& error);
  // The same, and logs it: the bytes cannot be read or exceed a limit.
  void RejectMalformedRequest(const Error& error);
  // The request did not arrive whole in time.
  void RejectIncompleteRequest();
  // Accounts for the memory of the body read so far. Returns whether there is
  // enough.
  bool HoldBody();
  // There is no memory for the body of the request that is being read.
  void RejectForMemory();
  void OnCallerDisconnected();
  void Enqueue(std::string data, MemoryBudget::Share memory = {});
  void WriteNext();
  void OnWritten(const boost::system::error_code& error);
  void OnResponseWritten();
  void EndResponse();
  // The idle timeout that holds for this connection: the longest that was in
  // force while it was open, since its caller may know no other one.
  Duration IdleTimeout();
  void ArmTimer(Duration timeout);
  void OnTimeout();
  // Closes the connection, unless a limit that was raised allows it to rest on.
  void CloseIfIdleTooLong();
  // Closes the connection. Logs it if bytes of a request are lost, or if a
  // request ends without a complete response.
  void Close(CloseReason reason);
  void LogClose(CloseReason reason) const;
  // Why the connection closes if the timer expires now.
  CloseReason TimeoutReason() const;
  // Bytes that arrived and were not read from the socket yet.
  size_t UnreadBytes() const;

  Tcp::socket socket_;
  RequestHandler& handler_;
  std::shared_ptr<ListenerState> listener_state_;
  boost::asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_;
  // Empty until the first byte of a request has arrived.
  std::optional<Reader> reader_;
  MemoryBudget::Share body_memory_;  // Of the current request.
  State state_ = State::kIdle;
  Duration longest_idle_timeout_{};
  TimePoint idle_since_{};  // Of the current or last rest.
  bool head_parsed_ = false;
  uint64_t requests_ = 0;         // Requests read whole on this connection.
  size_t request_bytes_ = 0;      // Bytes read of the request in reader_.
  bool keep_alive_ = true;        // Stay open after the response.
  bool is_head_request_ = false;  // HEAD request: the response has no body.
  bool chunked_ = false;          // Streamed responses use chunked encoding.
  bool response_begun_ = false;   // Bytes of it are in the queue or written.
  bool response_ended_ = false;   // The complete response is in the queue.
  bool waiting_ = false;          // A wait for bytes is in progress.
  bool closed_ = false;
  bool backpressure_ = false;
  struct QueuedBytes {
    std::string data;
    MemoryBudget::Share memory;
  };
  std::deque<QueuedBytes> write_queue_;  // The front is being written.
  size_t queued_bytes_ = 0;
  bool writing_ = false;
  std::function<void()> on_disconnect_;
  std::function<void(bool)> on_backpressure_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_NET_HTTP_SESSION_H_
