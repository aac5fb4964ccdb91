// One request and its answer.

#include "caller.h"

#include <sys/socket.h>
#include <sys/time.h>

#include <array>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <optional>

#include "http_server.h"
#include "record.h"

namespace mangoyoke::review {
namespace {

constexpr int64_t kPatienceMs = 1000;

// The value of header `name`; empty if absent.
std::string FieldOf(const http::response_header<>& head, const char* name) {
  auto found = head.find(name);
  return found == head.end()
             ? ""
             : std::string(found->value().data(), found->value().size());
}

// Reads the answer until it or its connection ends.
void ReadAnswer(Tcp::socket& socket, int64_t end_ms, CallerAnswer& answer) {
  http::response_parser<http::string_body> parser;
  parser.eager(true);
  boost::beast::flat_buffer buffer;
  while (!parser.is_done()) {
    int64_t left = end_ms - SteadyMillis();
    if (left <= 0) {
      break;
    }
    timeval timeout{left / 1000, (left % 1000) * 1000};
    setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &timeout,
               sizeof(timeout));
    std::array<char, 8192> bytes;
    ssize_t size = recv(socket.native_handle(), bytes.data(), bytes.size(), 0);
    boost::system::error_code error;
    if (size <= 0) {
      // The end of the connection may be that of the answer.
      if (size == 0 && parser.is_header_done()) {
        parser.put_eof(error);
      }
      break;
    }
    buffer.commit(boost::asio::buffer_copy(
        buffer.prepare(static_cast<size_t>(size)),
        boost::asio::buffer(bytes.data(), static_cast<size_t>(size))));
    size_t used = parser.put(buffer.data(), error);
    buffer.consume(used);
    if (error && error != http::error::need_more) {
      break;
    }
  }
  if (parser.is_header_done()) {
    const auto& head = parser.get();
    answer.status = static_cast<int>(head.result_int());
    answer.stamp = FieldOf(head, "X-Mangoyoke-Response-Stamp");
    answer.served_by = FieldOf(head, "X-Mangoyoke-Served-By");
    if (std::string seconds = FieldOf(head, "Retry-After"); !seconds.empty()) {
      answer.retry_after_ms = static_cast<int64_t>(1000 * std::stod(seconds));
    }
    answer.body = head.body();
    answer.complete = parser.is_done();
  }
}

}  // namespace

CallerAnswer Call(const std::string& ip,
                  uint16_t port,
                  const CallerRequest& request) {
  int64_t began = SteadyMillis();
  CallerAnswer answer;
  boost::asio::io_context io;
  Tcp::socket socket(io);
  boost::system::error_code error;
  socket.connect(Tcp::endpoint(boost::asio::ip::make_address(ip), port), error);
  if (error) {
    return answer;
  }
  std::string bytes =
      request.method + " " + request.path +
      " HTTP/1.1\r\nHost: " + request.host +
      "\r\nX-Mangoyoke-Request-Id: " + request.id +
      "\r\nX-Mangoyoke-Deadline-Ms: " + std::to_string(request.deadline_ms) +
      "\r\n" + request.headers;
  if (!request.body.empty()) {
    bytes += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  }
  if (WriteAll(socket, bytes + "\r\n" + request.body)) {
    ReadAnswer(socket, began + request.deadline_ms + kPatienceMs, answer);
  }
  answer.elapsed_ms = SteadyMillis() - began;
  return answer;
}

int StatusOf(const std::string& ip, uint16_t port, const std::string& path) {
  CallerRequest request;
  request.id = "check";
  request.method = "GET";
  request.host = "check";
  request.path = path;
  request.deadline_ms = 1000;
  return Call(ip, port, request).status;
}

}  // namespace mangoyoke::review
