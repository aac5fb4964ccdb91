// Implementation of the response writer.

#include "http/response_stream.h"

#include <sys/socket.h>

#include <cerrno>
#include <charconv>

namespace mangoyoke {
namespace {

// Sent data is erased from the front of the buffer once it exceeds this size.
constexpr size_t kCompactBytes = 64 << 10;

std::string_view ReasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 409:
      return "Conflict";
    case 410:
      return "Gone";
    case 413:
      return "Payload Too Large";
    case 429:
      return "Too Many Requests";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

// The status line and headers, without the empty line that ends them.
std::string FormatHead(int status,
                       std::string_view content_type,
                       const HttpHeaders& headers) {
  std::string head = "HTTP/1.1 " + std::to_string(status) + " ";
  head.append(ReasonPhrase(status));
  head.append("\r\nContent-Type: ").append(content_type).append("\r\n");
  for (const auto& [name, value] : headers) {
    head.append(name).append(": ").append(value).append("\r\n");
  }
  return head;
}

}  // namespace

ResponseStream::ResponseStream(boost::asio::io_context& io,
                               ServerConnection connection)
    : socket_(io), state_(std::move(connection.state)) {
  boost::system::error_code error;
  socket_.assign(boost::asio::ip::tcp::v4(), connection.fd.Release(), error);
  failed_ = error.failed();
}

ResponseStream::~ResponseStream() {
  if (!finished_ && socket_.is_open()) {
    // Closes the connection, so that the caller does not take an unfinished
    // response for a complete one.
    Abort();
  }
}

void ResponseStream::Send(int status,
                          std::string_view content_type,
                          std::string_view body,
                          const HttpHeaders& headers) {
  if (started_) {
    return;
  }
  started_ = true;
  std::string head = FormatHead(status, content_type, headers);
  head.append("Content-Length: ")
      .append(std::to_string(body.size()))
      .append("\r\n\r\n");
  finished_ = true;
  Append(head.append(body));
}

void ResponseStream::StartChunks(int status,
                                 std::string_view content_type,
                                 const HttpHeaders& headers) {
  if (started_) {
    return;
  }
  started_ = true;
  Append(FormatHead(status, content_type, headers)
             .append("Cache-Control: no-cache\r\n")
             .append("Transfer-Encoding: chunked\r\n\r\n"));
}

void ResponseStream::WriteChunk(std::string_view data) {
  if (data.empty() || finished_) {
    return;
  }
  constexpr size_t kHexDigits = 16;
  char size[kHexDigits];
  auto [end, error] = std::to_chars(size, size + kHexDigits, data.size(), 16);
  std::string chunk(size, end);
  chunk.append("\r\n").append(data).append("\r\n");
  Append(chunk);
}

void ResponseStream::FinishChunks() {
  if (finished_) {
    return;
  }
  finished_ = true;
  Append("0\r\n\r\n");
}

void ResponseStream::Abort() {
  failed_ = true;
  finished_ = true;
  if (socket_.is_open()) {
    ::shutdown(socket_.native_handle(), SHUT_RDWR);
    boost::system::error_code ignored;
    socket_.close(ignored);
  }
}

void ResponseStream::Append(std::string_view data) {
  if (failed_) {
    return;
  }
  buffer_.append(data);
  if (!waiting_for_writable_) {
    Flush();
  }
}

void ResponseStream::Flush() {
  while (sent_bytes_ < buffer_.size()) {
    if (finished_) {
      // Cleared before the last bytes are sent: the caller may send its next
      // request as soon as it has received them.
      state_->busy = false;
    }
    ssize_t sent =
        ::send(socket_.native_handle(), buffer_.data() + sent_bytes_,
               buffer_.size() - sent_bytes_, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent > 0) {
      sent_bytes_ += static_cast<size_t>(sent);
      continue;
    }
    if (errno == EINTR) {
      continue;
    }
    if (errno != EAGAIN && errno != EWOULDBLOCK) {
      Abort();
      return;
    }
    state_->busy = true;
    waiting_for_writable_ = true;
    socket_.async_wait(
        boost::asio::ip::tcp::socket::wait_write,
        [self = shared_from_this()](const boost::system::error_code& error) {
          self->waiting_for_writable_ = false;
          if (!error) {
            self->Flush();
          }
        });
    break;
  }
  if (sent_bytes_ == buffer_.size()) {
    buffer_.clear();
    sent_bytes_ = 0;
  } else if (sent_bytes_ > kCompactBytes) {
    buffer_.erase(0, sent_bytes_);
    sent_bytes_ = 0;
  }
}

void SendJson(const std::shared_ptr<ResponseStream>& stream,
              int status,
              std::string_view json,
              const HttpHeaders& headers) {
  stream->Send(status, "application/json", json, headers);
}

}  // namespace mangoyoke
