// Sockets and message parsing.

#include "review/standins/http.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <charconv>
#include <stdexcept>

namespace review {
namespace {

constexpr int kBacklog = 256;
constexpr size_t kReadBytes = 64 << 10;
// How long a server waits for the next request of a connection.
constexpr Millis kServerIdleTimeout{60'000};
constexpr uint16_t kFirstPort = 20'000;
constexpr uint16_t kLastPort = 30'000;
constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeadEnd = "\r\n\r\n";

sockaddr_in ToSocketAddress(const Address& address) {
  sockaddr_in socket_address{};
  socket_address.sin_family = AF_INET;
  socket_address.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &socket_address.sin_addr);
  return socket_address;
}

bool EqualsIgnoringCase(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](unsigned char a, unsigned char b) {
                      return std::tolower(a) == std::tolower(b);
                    });
}

int MillisUntil(Clock::time_point deadline) {
  auto left = std::chrono::ceil<Millis>(deadline - Clock::now()).count();
  return static_cast<int>(std::max<int64_t>(left, 0));
}

// Reads until `text` is in the buffer from `from` on; its position in `found`.
ReadEnd ReadUntil(TcpStream& stream,
                  std::string_view text,
                  size_t from,
                  Clock::time_point deadline,
                  size_t& found) {
  while ((found = stream.buffer().find(text, from)) == std::string::npos) {
    if (ReadEnd end = stream.ReadMore(deadline); end != ReadEnd::kDone) {
      return end;
    }
  }
  return ReadEnd::kDone;
}

ReadEnd ReadBytes(TcpStream& stream, size_t size, Clock::time_point deadline) {
  while (stream.buffer().size() < size) {
    if (ReadEnd end = stream.ReadMore(deadline); end != ReadEnd::kDone) {
      return end;
    }
  }
  return ReadEnd::kDone;
}

// Removes the first `size` bytes from the buffer and returns them.
std::string Consume(TcpStream& stream, size_t size) {
  std::string bytes = stream.buffer().substr(0, size);
  stream.buffer().erase(0, size);
  return bytes;
}

std::optional<size_t> ParseNumber(std::string_view text, int base) {
  size_t value = 0;
  auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value, base);
  if (error != std::errc() || end == text.data()) {
    return std::nullopt;
  }
  return value;
}

ReadEnd ReadLine(TcpStream& stream,
                 std::string& line,
                 Clock::time_point deadline) {
  size_t end_of_line = 0;
  if (ReadEnd end = ReadUntil(stream, kLineEnd, 0, deadline, end_of_line);
      end != ReadEnd::kDone) {
    return end;
  }
  line = Consume(stream, end_of_line + kLineEnd.size());
  line.resize(end_of_line);
  return ReadEnd::kDone;
}

ReadEnd ReadChunks(TcpStream& stream,
                   std::string& body,
                   Clock::time_point deadline) {
  std::string line;
  while (true) {
    if (ReadEnd end = ReadLine(stream, line, deadline); end != ReadEnd::kDone) {
      return end;
    }
    auto size = ParseNumber(line, 16);
    if (!size) {
      return ReadEnd::kMalformed;
    }
    if (*size == 0) {
      break;
    }
    if (ReadEnd end = ReadBytes(stream, *size + kLineEnd.size(), deadline);
        end != ReadEnd::kDone) {
      return end;
    }
    body += Consume(stream, *size);
    Consume(stream, kLineEnd.size());
  }
  do {  // The trailer fields.
    if (ReadEnd end = ReadLine(stream, line, deadline); end != ReadEnd::kDone) {
      return end;
    }
  } while (!line.empty());
  return ReadEnd::kDone;
}

bool ParseHead(std::string_view head, HttpMessage& message) {
  size_t start = 0;
  while (start < head.size()) {
    size_t end = std::min(head.find(kLineEnd, start), head.size());
    std::string_view line = head.substr(start, end - start);
    start = end + kLineEnd.size();
    if (message.start_line.empty()) {
      message.start_line = line;
      continue;
    }
    size_t colon = line.find(':');
    if (colon == std::string_view::npos) {
      return false;
    }
    std::string_view value = line.substr(colon + 1);
    value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
    message.fields.emplace_back(line.substr(0, colon), value);
  }
  return message.start_line.find("HTTP/1.") != std::string::npos;
}

}  // namespace

std::string_view ReadEndName(ReadEnd end) {
  switch (end) {
    case ReadEnd::kDone:
      return "done";
    case ReadEnd::kClosed:
      return "connection closed";
    case ReadEnd::kTimeout:
      return "timeout";
    case ReadEnd::kMalformed:
      return "not HTTP";
  }
  return "";
}

TcpStream::TcpStream(TcpStream&& other) noexcept
    : socket_(std::exchange(other.socket_, -1)),
      buffer_(std::move(other.buffer_)) {}

TcpStream& TcpStream::operator=(TcpStream&& other) noexcept {
  Close();
  socket_ = std::exchange(other.socket_, -1);
  buffer_ = std::move(other.buffer_);
  return *this;
}

std::optional<TcpStream> TcpStream::Connect(const Address& address,
                                            Millis timeout) {
  TcpStream stream(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  timeval limit{timeout.count() / 1000, timeout.count() % 1000 * 1000};
  setsockopt(stream.socket_, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  int on = 1;
  setsockopt(stream.socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  sockaddr_in target = ToSocketAddress(address);
  if (connect(stream.socket_, reinterpret_cast<sockaddr*>(&target),
              sizeof(target)) != 0) {
    return std::nullopt;
  }
  return stream;
}

bool TcpStream::Send(std::string_view bytes) {
  while (!bytes.empty()) {
    ssize_t sent = send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<size_t>(sent));
  }
  return true;
}

ReadEnd TcpStream::ReadMore(Clock::time_point deadline) {
  pollfd readable{socket_, POLLIN, 0};
  if (poll(&readable, 1, MillisUntil(deadline)) <= 0) {
    return ReadEnd::kTimeout;
  }
  size_t size = buffer_.size();
  buffer_.resize(size + kReadBytes);
  ssize_t received = recv(socket_, buffer_.data() + size, kReadBytes, 0);
  buffer_.resize(size + static_cast<size_t>(std::max<ssize_t>(received, 0)));
  return received > 0 ? ReadEnd::kDone : ReadEnd::kClosed;
}

void TcpStream::Close() {
  if (socket_ >= 0) {
    close(std::exchange(socket_, -1));
  }
}

std::string HttpMessage::Field(std::string_view name) const {
  auto found =
      std::find_if(fields.begin(), fields.end(), [name](const auto& field) {
        return EqualsIgnoringCase(field.first, name);
      });
  return found == fields.end() ? std::string() : found->second;
}

std::string HttpMessage::Word(size_t index) const {
  size_t start = 0;
  for (size_t i = 0; i < index; ++i) {
    size_t space = start_line.find(' ', start);
    if (space == std::string::npos) {
      return {};
    }
    start = space + 1;
  }
  return start_line.substr(start, start_line.find(' ', start) - start);
}

int HttpMessage::Status() const {
  return static_cast<int>(ParseNumber(Word(1), 10).value_or(0));
}

ReadEnd ReadMessage(TcpStream& stream,
                    HttpMessage& message,
                    Millis timeout,
                    bool ends_with_connection,
                    bool head_only) {
  Clock::time_point deadline = Clock::now() + timeout;
  message = HttpMessage{};
  size_t head_size = 0;
  if (ReadEnd end = ReadUntil(stream, kHeadEnd, 0, deadline, head_size);
      end != ReadEnd::kDone) {
    return end;
  }
  std::string head = Consume(stream, head_size + kHeadEnd.size());
  head.resize(head_size);
  if (!ParseHead(head, message)) {
    return ReadEnd::kMalformed;
  }
  if (head_only) {
    return ReadEnd::kDone;
  }
  if (EqualsIgnoringCase(message.Field("Transfer-Encoding"), "chunked")) {
    return ReadChunks(stream, message.body, deadline);
  }
  if (auto size = ParseNumber(message.Field("Content-Length"), 10)) {
    ReadEnd end = ReadBytes(stream, *size, deadline);
    if (end == ReadEnd::kDone) {
      message.body = Consume(stream, *size);
    }
    return end;
  }
  if (!ends_with_connection) {
    return ReadEnd::kDone;
  }
  ReadEnd end = ReadEnd::kDone;
  while (end == ReadEnd::kDone) {
    end = stream.ReadMore(deadline);
  }
  message.body = Consume(stream, stream.buffer().size());
  return end == ReadEnd::kClosed ? ReadEnd::kDone : end;
}

std::string MakeResponse(
    int status,
    const std::vector<std::pair<std::string, std::string>>& fields,
    std::string_view body) {
  std::string response =
      "HTTP/1.1 " + std::to_string(status) +
      " Status\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
  for (const auto& [name, value] : fields) {
    response += name + ": " + value + "\r\n";
  }
  return response.append(kLineEnd).append(body);
}

HttpServer::HttpServer(Handler handler) : handler_(std::move(handler)) {
  int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in own = ToSocketAddress(address_);
  socklen_t size = sizeof(own);
  if (bind(listener, reinterpret_cast<sockaddr*>(&own), size) != 0 ||
      listen(listener, kBacklog) != 0 ||
      getsockname(listener, reinterpret_cast<sockaddr*>(&own), &size) != 0) {
    throw std::runtime_error("cannot listen on " + address_.ip);
  }
  address_.port = ntohs(own.sin_port);
  std::thread([this, listener] { Accept(listener); }).detach();
}

void HttpServer::Accept(int listener) {
  while (true) {
    int socket = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) {
      continue;
    }
    int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    std::thread([this, socket] {
      TcpStream stream(socket);
      HttpMessage request;
      while (ReadMessage(stream, request, kServerIdleTimeout) ==
                 ReadEnd::kDone &&
             handler_(stream, request)) {
      }
    }).detach();
  }
}

uint16_t FindFreePort(const std::string& ip) {
  static std::atomic<uint16_t> next{kFirstPort};
  for (int tries = kFirstPort; tries < kLastPort; ++tries) {
    uint16_t port = next++;
    if (port >= kLastPort) {
      next = kFirstPort;
      continue;
    }
    int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = ToSocketAddress(Address{ip, port});
    bool is_free = bind(descriptor, reinterpret_cast<sockaddr*>(&address),
                        sizeof(address)) == 0;
    close(descriptor);
    if (is_free) {
      return port;
    }
  }
  throw std::runtime_error("no free port on " + ip);
}

}  // namespace review
