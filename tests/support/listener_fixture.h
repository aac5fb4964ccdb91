// An HttpListener on a thread of its own, with a handler that tests replace,
// and callers that send it bytes.

#ifndef MANGOYOKE_TESTS_SUPPORT_LISTENER_FIXTURE_H_
#define MANGOYOKE_TESTS_SUPPORT_LISTENER_FIXTURE_H_

#include <gtest/gtest.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "gateway/net/http_listener.h"

namespace mangoyoke {

inline constexpr int kPort = 18931;
inline constexpr char kAddress[] = "127.0.0.1:18931";

// Sends `bytes` to `port` and returns everything received until the connection
// closes.
inline std::string SendToPort(int port,
                              const std::string& bytes,
                              bool half_close = false) {
  boost::asio::io_context io;
  Tcp::socket socket(io);
  socket.connect(Tcp::endpoint(boost::asio::ip::address_v4::loopback(),
                               static_cast<uint16_t>(port)));
  boost::asio::write(socket, boost::asio::buffer(bytes));
  if (half_close) {
    socket.shutdown(Tcp::socket::shutdown_send);
  }
  std::string received;
  boost::system::error_code error;
  boost::asio::read(socket, boost::asio::dynamic_buffer(received), error);
  return received;
}

class TestHandler : public RequestHandler {
 public:
  std::function<void(const HttpRequest&, std::shared_ptr<HttpResponder>)>
      action;
  CallerLimits limits;

  void OnRequest(HttpRequest request,
                 std::shared_ptr<HttpResponder> responder) override {
    action(request, std::move(responder));
  }
  CallerLimits Limits() const override { return limits; }
  HttpResponse MakeParseErrorResponse(const Error& error) const override {
    return HttpResponse(
        static_cast<http::status>(GetErrorInfo(error.code).http_status), 11);
  }
};

class ListenerTest : public ::testing::Test {
 protected:
  ListenerTest() : listener_(loop_io_, handler_) {
    handler_.action = [](const HttpRequest& request,
                         std::shared_ptr<HttpResponder> responder) {
      HttpResponse response(http::status::ok, 11);
      response.body() = std::string(request.target());
      responder->Reply(std::move(response));
    };
  }

  void SetUp() override {
    ASSERT_TRUE(Ok(listener_.Listen(kAddress)));
    thread_ = std::thread([this] { loop_io_.run(); });
  }
  void TearDown() override {
    loop_io_.stop();
    thread_.join();
  }

  // Sends `bytes` and returns everything received until the connection closes.
  std::string SendAndReceive(const std::string& bytes,
                             bool half_close = false) {
    return SendToPort(kPort, bytes, half_close);
  }

  boost::asio::io_context loop_io_{1};
  TestHandler handler_;
  HttpListener listener_;
  std::thread thread_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_TESTS_SUPPORT_LISTENER_FIXTURE_H_
