// A small HTTP/1.1 server with a thread for each connection. Its handlers write
// their answers to the socket themselves, so that they can break the protocol.

#ifndef MANGOYOKE_REVIEW_STANDINS_3_HTTP_SERVER_H_
#define MANGOYOKE_REVIEW_STANDINS_3_HTTP_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>

namespace mangoyoke::review {

using Tcp = boost::asio::ip::tcp;
namespace http = boost::beast::http;
using Request = http::request<http::string_body>;

// The value of header `name`; empty if absent.
std::string HeaderOf(const Request& request, const char* name);
// The value of parameter `name` in the query; empty if absent.
std::string QueryOf(const Request& request, const std::string& name);
// The path without the query.
std::string PathOf(const Request& request);

// Writes all of `bytes`. Returns false if the connection is broken.
bool WriteAll(Tcp::socket& socket, const std::string& bytes);
// Writes an answer with a length. `headers`: lines that end with CR LF.
bool WriteAnswer(Tcp::socket& socket,
                 const std::string& status_line,
                 const std::string& headers,
                 const std::string& body);

// Accepts connections from its construction to its destruction.
class HttpServer {
 public:
  // Answers one request. Returns whether the connection stays open.
  using Handler = std::function<bool(Tcp::socket&, const Request&)>;

  // Throws boost::system::system_error if it can't listen.
  HttpServer(const std::string& ip, uint16_t port, Handler handler);
  ~HttpServer();

  // Accepts no more connections and shuts all connections down, as the end of
  // the process does. May be called by a handler.
  void Break();

 private:
  struct Connection {
    explicit Connection(Tcp::socket accepted) : socket(std::move(accepted)) {}
    Tcp::socket socket;
    std::thread thread;
  };

  void AcceptAll();
  void Serve(Connection& connection);

  boost::asio::io_context io_;
  Tcp::acceptor acceptor_;
  Handler handler_;
  std::mutex mutex_;
  bool stopping_ = false;              // Guarded by mutex_.
  std::list<Connection> connections_;  // Guarded by mutex_.
  std::thread thread_;
};

}  // namespace mangoyoke::review

#endif  // MANGOYOKE_REVIEW_STANDINS_3_HTTP_SERVER_H_
