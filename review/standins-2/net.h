// Blocking sockets and HTTP/1.1 messages for the stand-ins of the second
// review. Times are milliseconds of the steady clock, which all processes of a
// machine share.

#ifndef MANGOYOKE_REVIEW_NET_H_
#define MANGOYOKE_REVIEW_NET_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace review {

// Milliseconds of the steady clock.
int64_t NowMs();
void SleepMs(int64_t ms);
void SleepUntilMs(int64_t time_ms);

// Owns a socket.
class Socket {
 public:
  Socket() = default;
  explicit Socket(int fd) : fd_(fd) {}
  Socket(Socket&& other) noexcept;
  Socket& operator=(Socket&& other) noexcept;
  ~Socket();

  int fd() const { return fd_; }
  bool valid() const { return fd_ >= 0; }
  void Close();
  // False if the peer has closed the connection.
  bool Write(const std::string& bytes);
  // Appends what arrives to `buffer`. Returns the number of bytes; 0 at the end
  // of the connection, -1 after an error or once `deadline_ms` has passed.
  // `deadline_ms`: 0 for none.
  ssize_t Read(std::string& buffer, int64_t deadline_ms = 0);

 private:
  int fd_ = -1;
};

// Port 0 stands for any free one. Not valid if the address cannot be used.
Socket Listen(const std::string& ip, uint16_t port);
// Whether a UDP port can be used.
bool IsUdpPortFree(const std::string& ip, uint16_t port);
uint16_t PortOf(const Socket& socket);
Socket Accept(const Socket& listener);
// Not valid if no connection is established within `timeout_ms`.
Socket Connect(const std::string& ip, uint16_t port, int timeout_ms);

// The head of a request or of a response; names of fields in lower case.
struct Head {
  std::string first_line;
  std::map<std::string, std::string> fields;

  std::string Field(const std::string& name) const;
  // The word of the first line with this index, from 0 on.
  std::string Word(size_t index) const;
};

// Removes a head from the front of `buffer`, reading more if needed. Nothing if
// the connection ends before.
std::optional<Head> ReadHead(Socket& socket,
                             std::string& buffer,
                             int64_t deadline_ms = 0);

// How a body ended.
enum class BodyEnd {
  kMarked,      // By its length, or by the last chunk.
  kConnection,  // With its connection, in order; it has no other mark.
  kCut,         // Before its mark, by a reset, or not in time.
};

// Reads the body of a message with `head`. `until_close`: a body without a
// length ends with the connection, as in responses.
BodyEnd ReadBody(Socket& socket,
                 std::string& buffer,
                 const Head& head,
                 bool until_close,
                 std::string& body,
                 int64_t deadline_ms = 0);

// One chunk of a chunked body; the last one if `data` is empty.
std::string Chunk(const std::string& data);

std::vector<std::string> Split(const std::string& text, char separator);

}  // namespace review

#endif  // MANGOYOKE_REVIEW_NET_H_
