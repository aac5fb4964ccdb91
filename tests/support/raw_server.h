// A backend server that answers each request with scripted bytes, on threads of
// its own, so that tests decide on every byte that the gateway reads.

#ifndef MANGOYOKE_TESTS_SUPPORT_RAW_SERVER_H_
#define MANGOYOKE_TESTS_SUPPORT_RAW_SERVER_H_

#include <sys/socket.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cstdlib>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>

#include "mangoyoke/clock.h"

namespace mangoyoke {

// One request as a RawServer received it.
struct RawRequest {
  std::string head;       // With the blank line.
  int connection = 0;     // Counts the server's connections, from 1.
  int on_connection = 0;  // Counts the requests on this connection, from 1.
  int number = 0;         // Counts all requests of the server, from 1.

  // The value of header `name`, which is compared as written.
  std::string Header(const std::string& name) const {
    size_t at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos) {
      return "";
    }
    at += name.size() + 4;
    return head.substr(at, head.find("\r\n", at) - at);
  }
  std::string id() const { return Header("X-Mangoyoke-Request-Id"); }
};

// What a RawServer sends.
struct RawAnswer {
  // What follows after the bytes.
  // kEndServer: the process ends, so that nobody listens any more and the
  // connection ends in order.
  enum class End { kKeep, kClose, kReset, kEndServer };

  std::string bytes;
  End end = End::kKeep;
  std::string late;  // Sent some time after `bytes`.
  // Sent after `bytes` again and again, until the other side closes, with a
  // pause of `pace` each time.
  std::string without_end;
  Millis pace{0};
};

class RawServer {
 public:
  using Script = std::function<RawAnswer(const RawRequest&)>;

  // Listens on 127.0.0.1:`port`; 0: any port. `greeting` is sent at the start
  // of each connection, before any request.
  RawServer(uint16_t port, Script script, std::string greeting = "")
      : script_(std::move(script)),
        greeting_(std::move(greeting)),
        acceptor_(io_,
                  Tcp::endpoint(boost::asio::ip::address_v4::loopback(), port)),
        accepting_([this] { Accept(); }) {}
  ~RawServer() {
    stopped_ = true;
    shutdown(acceptor_.native_handle(), SHUT_RDWR);
    accepting_.join();
    for (Connection& connection : connections_) {
      shutdown(connection.socket.native_handle(), SHUT_RDWR);
      connection.thread.join();
    }
  }

  // Answers requests before their bodies were read, which stay unread.
  void AnswerBeforeBodies() { reads_bodies_ = false; }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  int connections() const { return accepted_; }
  int requests() const { return requests_; }

 private:
  using Tcp = boost::asio::ip::tcp;
  static constexpr Millis kLatePause{30};

  struct Connection {
    explicit Connection(Tcp::socket accepted) : socket(std::move(accepted)) {}
    Tcp::socket socket;
    std::thread thread;
  };

  void Accept() {
    while (!stopped_) {
      boost::system::error_code error;
      Tcp::socket socket(io_);
      acceptor_.accept(socket, error);
      if (error) {
        return;
      }
      socket.set_option(Tcp::no_delay(true), error);
      boost::asio::write(socket, boost::asio::buffer(greeting_), error);
      Connection& connection = connections_.emplace_back(std::move(socket));
      connection.thread =
          std::thread([this, &connection, number = ++accepted_] {
            Serve(connection.socket, number);
          });
    }
  }

  void Serve(Tcp::socket& socket, int connection) {
    std::string received;
    int on_connection = 0;
    while (ReadHead(socket, received)) {
      size_t end = received.find("\r\n\r\n") + 4;
      RawRequest request{received.substr(0, end), connection, ++on_connection,
                         ++requests_};
      received.erase(0, end);
      if (reads_bodies_ && !DropBody(socket, request, received)) {
        return;
      }
      if (!Send(socket, script_(request))) {
        return;
      }
    }
  }

  // Returns false when the other side closed the connection.
  static bool ReadHead(Tcp::socket& socket, std::string& received) {
    while (received.find("\r\n\r\n") == std::string::npos) {
      char bytes[4096];
      boost::system::error_code error;
      received.append(bytes,
                      socket.read_some(boost::asio::buffer(bytes), error));
      if (error) {
        return false;
      }
    }
    return true;
  }

  // Removes the body of `request` from what was received. Returns false when
  // the other side closed the connection.
  static bool DropBody(Tcp::socket& socket,
                       const RawRequest& request,
                       std::string& received) {
    size_t length =
        std::strtoul(request.Header("Content-Length").c_str(), nullptr, 10);
    boost::system::error_code error;
    while (received.size() < length && !error) {
      char bytes[4096];
      received.append(bytes,
                      socket.read_some(boost::asio::buffer(bytes), error));
    }
    received.erase(0, length);
    return !error;
  }

  // Returns whether further requests may follow.
  bool Send(Tcp::socket& socket, const RawAnswer& answer) {
    boost::system::error_code error;
    boost::asio::write(socket, boost::asio::buffer(answer.bytes), error);
    while (!answer.without_end.empty() && !error) {
      boost::asio::write(socket, boost::asio::buffer(answer.without_end),
                         error);
      std::this_thread::sleep_for(answer.pace);
    }
    if (!answer.late.empty()) {
      std::this_thread::sleep_for(kLatePause);
      boost::asio::write(socket, boost::asio::buffer(answer.late), error);
    }
    if (answer.end == RawAnswer::End::kKeep) {
      return !error;
    }
    if (answer.end == RawAnswer::End::kReset) {
      // The bytes have to arrive before the reset.
      std::this_thread::sleep_for(kLatePause);
      socket.set_option(boost::asio::socket_base::linger(true, 0), error);
    }
    if (answer.end == RawAnswer::End::kEndServer) {
      shutdown(acceptor_.native_handle(), SHUT_RDWR);
    }
    socket.close(error);
    return false;
  }

  Script script_;
  std::string greeting_;
  boost::asio::io_context io_;
  Tcp::acceptor acceptor_;
  std::atomic<bool> stopped_{false};
  std::atomic<bool> reads_bodies_{true};
  std::atomic<int> accepted_{0};
  std::atomic<int> requests_{0};
  std::list<Connection> connections_;  // Added to by accepting_ only.
  std::thread accepting_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_TESTS_SUPPORT_RAW_SERVER_H_
