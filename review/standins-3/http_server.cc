// Blocking reads and writes on the connections of a server.

#include "http_server.h"

#include <sys/socket.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>

namespace mangoyoke::review {
namespace {

constexpr uint64_t kMaxBodyBytes = 8 << 20;

std::string ToString(boost::beast::string_view view) {
  return {view.data(), view.size()};
}

}  // namespace

std::string HeaderOf(const Request& request, const char* name) {
  auto found = request.find(name);
  return found == request.end() ? "" : ToString(found->value());
}

std::string QueryOf(const Request& request, const std::string& name) {
  std::string target = ToString(request.target());
  size_t start = target.find('?');
  while (start != std::string::npos) {
    size_t end = target.find('&', start + 1);
    std::string parameter = target.substr(
        start + 1, end == std::string::npos ? end : end - start - 1);
    if (parameter.starts_with(name + "=")) {
      return parameter.substr(name.size() + 1);
    }
    start = end;
  }
  return "";
}

std::string PathOf(const Request& request) {
  std::string target = ToString(request.target());
  return target.substr(0, target.find('?'));
}

bool WriteAll(Tcp::socket& socket, const std::string& bytes) {
  boost::system::error_code error;
  boost::asio::write(socket, boost::asio::buffer(bytes), error);
  return !error;
}

bool WriteAnswer(Tcp::socket& socket,
                 const std::string& status_line,
                 const std::string& headers,
                 const std::string& body) {
  return WriteAll(socket, "HTTP/1.1 " + status_line + "\r\n" + headers +
                              "Content-Length: " + std::to_string(body.size()) +
                              "\r\n\r\n" + body);
}

HttpServer::HttpServer(const std::string& ip, uint16_t port, Handler handler)
    : acceptor_(io_), handler_(std::move(handler)) {
  Tcp::endpoint endpoint(boost::asio::ip::make_address(ip), port);
  acceptor_.open(endpoint.protocol());
  acceptor_.set_option(Tcp::acceptor::reuse_address(true));
  acceptor_.bind(endpoint);
  acceptor_.listen();
  thread_ = std::thread([this] { AcceptAll(); });
}

HttpServer::~HttpServer() {
  Break();
  thread_.join();
  for (Connection& connection : connections_) {
    connection.thread.join();
  }
}

void HttpServer::Break() {
  std::lock_guard lock(mutex_);
  stopping_ = true;
  shutdown(acceptor_.native_handle(), SHUT_RDWR);  // Ends the accept.
  for (Connection& connection : connections_) {
    shutdown(connection.socket.native_handle(), SHUT_RDWR);
  }
}

void HttpServer::AcceptAll() {
  while (true) {
    boost::system::error_code error;
    Tcp::socket socket = acceptor_.accept(error);
    std::lock_guard lock(mutex_);
    if (stopping_ || error) {
      return;
    }
    Connection& connection = connections_.emplace_back(std::move(socket));
    connection.thread = std::thread([this, &connection] { Serve(connection); });
  }
}

void HttpServer::Serve(Connection& connection) {
  boost::system::error_code ignored;
  connection.socket.set_option(Tcp::no_delay(true), ignored);
  boost::beast::flat_buffer buffer;
  while (true) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(kMaxBodyBytes);
    boost::system::error_code error;
    http::read(connection.socket, buffer, parser, error);
    if (error || !handler_(connection.socket, parser.get())) {
      break;
    }
  }
  // The descriptor stays open until the destructor, so that it isn't reused.
  shutdown(connection.socket.native_handle(), SHUT_RDWR);
}

}  // namespace mangoyoke::review
