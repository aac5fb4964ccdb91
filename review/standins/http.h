// Blocking HTTP/1.1 for the stand-ins of the review: connections whose bytes
// the test controls, a parser for messages, and a server with one thread for
// each connection.

#ifndef MANGOYOKE_REVIEW_STANDINS_HTTP_H_
#define MANGOYOKE_REVIEW_STANDINS_HTTP_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

// An IPv4 address of the loopback network and a port.
struct Address {
  std::string ip = "127.0.0.1";
  uint16_t port = 0;

  std::string ToString() const { return ip + ":" + std::to_string(port); }
};

// How reading from a connection ended.
enum class ReadEnd {
  kDone,       // What was waited for has arrived.
  kClosed,     // The peer closed or reset the connection.
  kTimeout,    // Nothing arrived in time.
  kMalformed,  // The bytes are no HTTP message.
};

std::string_view ReadEndName(ReadEnd end);

// A TCP connection. Owns its socket.
class TcpStream {
 public:
  explicit TcpStream(int socket) : socket_(socket) {}
  TcpStream(TcpStream&& other) noexcept;
  TcpStream& operator=(TcpStream&& other) noexcept;
  ~TcpStream() { Close(); }

  // Nothing if the peer does not accept the connection within `timeout`.
  static std::optional<TcpStream> Connect(const Address& address,
                                          Millis timeout);

  // Sends `bytes` as one segment, if the socket has room. False if the peer
  // closed the connection.
  bool Send(std::string_view bytes);
  // Waits until the buffer holds more bytes than before, or until `deadline`.
  ReadEnd ReadMore(Clock::time_point deadline);
  void Close();

  // Bytes received and not yet consumed.
  std::string& buffer() { return buffer_; }

 private:
  int socket_ = -1;
  std::string buffer_;
};

// A request or a response.
struct HttpMessage {
  std::string start_line;
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;

  // The value of the first field `name` (any case); empty if there is none.
  std::string Field(std::string_view name) const;
  // Word `index` of the start line; empty if there is none.
  std::string Word(size_t index) const;
  // The status of a response; 0 if there is none.
  int Status() const;
};

// Reads one message. A message with neither a length nor chunks has no body if
// `ends_with_connection` is false, else all bytes until the peer closes. With
// `head_only`, the response is one to HEAD.
ReadEnd ReadMessage(TcpStream& stream,
                    HttpMessage& message,
                    Millis timeout,
                    bool ends_with_connection = false,
                    bool head_only = false);

// A response with a Content-Length.
std::string MakeResponse(
    int status,
    const std::vector<std::pair<std::string, std::string>>& fields,
    std::string_view body);

// Listens on a free loopback port and calls `handler` for each request, on a
// thread of the request's connection. The handler sends the response itself and
// returns whether the connection stays open. Runs until the process ends.
class HttpServer {
 public:
  using Handler = std::function<bool(TcpStream&, const HttpMessage&)>;

  // Throws std::runtime_error if no port can be opened.
  explicit HttpServer(Handler handler);

  const Address& address() const { return address_; }

 private:
  void Accept(int listener);

  Handler handler_;
  Address address_;
};

// A port of `ip` that was free a moment ago, from a range that the kernel does
// not use for outgoing connections. Throws std::runtime_error if there is none.
uint16_t FindFreePort(const std::string& ip);

}  // namespace review

#endif  // MANGOYOKE_REVIEW_STANDINS_HTTP_H_
