// Sockets and HTTP/1.1 messages.

#include "net.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <sstream>
#include <thread>
#include <utility>

namespace review {
namespace {

sockaddr_in AddressOf(const std::string& ip, uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

// Makes `buffer` hold at least `size` bytes. Returns what Socket::Read did
// last.
ssize_t Fill(Socket& socket,
             std::string& buffer,
             size_t size,
             int64_t deadline_ms) {
  ssize_t read = 1;
  while (buffer.size() < size && read > 0) {
    read = socket.Read(buffer, deadline_ms);
  }
  return read;
}

BodyEnd ReadChunks(Socket& socket,
                   std::string& buffer,
                   std::string& body,
                   int64_t deadline_ms) {
  constexpr size_t kLineEnd = 2;
  while (true) {
    size_t end = buffer.find("\r\n");
    if (end == std::string::npos) {
      if (socket.Read(buffer, deadline_ms) <= 0) {
        return BodyEnd::kCut;
      }
      continue;
    }
    size_t size = std::strtoul(buffer.c_str(), nullptr, 16);
    size_t whole = end + kLineEnd + size + kLineEnd;
    if (Fill(socket, buffer, whole, deadline_ms) <= 0 &&
        buffer.size() < whole) {
      // What came of the chunk belongs to the body all the same.
      body += buffer.substr(std::min(buffer.size(), end + kLineEnd), size);
      return BodyEnd::kCut;
    }
    body += buffer.substr(end + kLineEnd, size);
    buffer.erase(0, whole);
    if (size == 0) {
      return BodyEnd::kMarked;
    }
  }
}

}  // namespace

int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

void SleepMs(int64_t ms) {
  std::this_thread::sleep_for(
      std::chrono::milliseconds(std::max<int64_t>(0, ms)));
}

void SleepUntilMs(int64_t time_ms) {
  SleepMs(time_ms - NowMs());
}

Socket::Socket(Socket&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}

Socket& Socket::operator=(Socket&& other) noexcept {
  std::swap(fd_, other.fd_);
  return *this;
}

Socket::~Socket() {
  Close();
}

void Socket::Close() {
  if (fd_ >= 0) {
    close(std::exchange(fd_, -1));
  }
}

bool Socket::Write(const std::string& bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    ssize_t count =
        send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<size_t>(count);
  }
  return true;
}

ssize_t Socket::Read(std::string& buffer, int64_t deadline_ms) {
  constexpr int kForever = -1;
  int wait = kForever;
  if (deadline_ms > 0) {
    wait = static_cast<int>(std::max<int64_t>(0, deadline_ms - NowMs()));
  }
  pollfd poll_entry{fd_, POLLIN, 0};
  if (poll(&poll_entry, 1, wait) <= 0) {
    return -1;
  }
  char bytes[16 << 10];
  ssize_t count = recv(fd_, bytes, sizeof(bytes), 0);
  if (count > 0) {
    buffer.append(bytes, static_cast<size_t>(count));
  }
  return count;
}

Socket Listen(const std::string& ip, uint16_t port) {
  constexpr int kBacklog = 512;
  Socket listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  int on = 1;
  setsockopt(listener.fd(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = AddressOf(ip, port);
  if (bind(listener.fd(), reinterpret_cast<sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(listener.fd(), kBacklog) != 0) {
    listener.Close();
  }
  return listener;
}

bool IsUdpPortFree(const std::string& ip, uint16_t port) {
  Socket probe(socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0));
  sockaddr_in address = AddressOf(ip, port);
  return bind(probe.fd(), reinterpret_cast<sockaddr*>(&address),
              sizeof(address)) == 0;
}

uint16_t PortOf(const Socket& socket) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(socket.fd(), reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

Socket Accept(const Socket& listener) {
  Socket accepted(accept4(listener.fd(), nullptr, nullptr, SOCK_CLOEXEC));
  if (accepted.valid()) {
    int on = 1;
    setsockopt(accepted.fd(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  return accepted;
}

Socket Connect(const std::string& ip, uint16_t port, int timeout_ms) {
  Socket connected(
      socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  sockaddr_in address = AddressOf(ip, port);
  int result = connect(connected.fd(), reinterpret_cast<sockaddr*>(&address),
                       sizeof(address));
  if (result != 0) {
    pollfd poll_entry{connected.fd(), POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof(error);
    if (poll(&poll_entry, 1, timeout_ms) <= 0 ||
        getsockopt(connected.fd(), SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
        error != 0) {
      connected.Close();
      return connected;
    }
  }
  fcntl(connected.fd(), F_SETFL, fcntl(connected.fd(), F_GETFL) & ~O_NONBLOCK);
  int on = 1;
  setsockopt(connected.fd(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return connected;
}

std::string Head::Field(const std::string& name) const {
  auto found = fields.find(name);
  return found == fields.end() ? "" : found->second;
}

std::string Head::Word(size_t index) const {
  std::vector<std::string> words = Split(first_line, ' ');
  return index < words.size() ? words[index] : "";
}

std::optional<Head> ReadHead(Socket& socket,
                             std::string& buffer,
                             int64_t deadline_ms) {
  constexpr const char* kBlankLine = "\r\n\r\n";
  size_t end = 0;
  while ((end = buffer.find(kBlankLine)) == std::string::npos) {
    if (socket.Read(buffer, deadline_ms) <= 0) {
      return std::nullopt;
    }
  }
  std::istringstream lines(buffer.substr(0, end));
  buffer.erase(0, end + std::strlen(kBlankLine));
  Head head;
  std::string line;
  while (std::getline(lines, line)) {
    if (line.ends_with('\r')) {
      line.pop_back();
    }
    if (head.first_line.empty()) {
      head.first_line = line;
      continue;
    }
    size_t colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    size_t value = line.find_first_not_of(' ', colon + 1);
    head.fields[name] = value == std::string::npos ? "" : line.substr(value);
  }
  return head;
}

BodyEnd ReadBody(Socket& socket,
                 std::string& buffer,
                 const Head& head,
                 bool until_close,
                 std::string& body,
                 int64_t deadline_ms) {
  if (head.Field("transfer-encoding") == "chunked") {
    return ReadChunks(socket, buffer, body, deadline_ms);
  }
  if (head.fields.contains("content-length") || !until_close) {
    size_t size =
        std::strtoul(head.Field("content-length").c_str(), nullptr, 10);
    Fill(socket, buffer, size, deadline_ms);
    bool whole = buffer.size() >= size;
    body = buffer.substr(0, size);
    buffer.erase(0, size);
    return whole ? BodyEnd::kMarked : BodyEnd::kCut;
  }
  ssize_t read = 1;
  while (read > 0) {
    read = socket.Read(buffer, deadline_ms);
  }
  body = std::exchange(buffer, std::string());
  return read == 0 ? BodyEnd::kConnection : BodyEnd::kCut;
}

std::string Chunk(const std::string& data) {
  char size[32];
  std::snprintf(size, sizeof(size), "%zx\r\n", data.size());
  return size + data + "\r\n";
}

std::vector<std::string> Split(const std::string& text, char separator) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  std::string part;
  while (std::getline(stream, part, separator)) {
    parts.push_back(part);
  }
  return parts;
}

}  // namespace review
