// Callers' connections around timeouts, changed limits and a stop: a request
// that was sent is answered or rejected, never cut without a response.

#include <gtest/gtest.h>

#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <future>

#include "tests/support/listener_fixture.h"

namespace mangoyoke {
namespace {

constexpr char kRequest[] = "GET /one HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr char kLastRequest[] =
    "GET /last HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";

class CallerConnectionTest : public ListenerTest {
 protected:
  void Connect() {
    socket_.connect(
        Tcp::endpoint(boost::asio::ip::address_v4::loopback(), kPort));
  }
  void Send(std::string_view bytes) {
    boost::asio::write(socket_, boost::asio::buffer(bytes.data(), bytes.size()),
                       error_);
  }
  // Sends a request and reads its response, which must be the whole of what is
  // received; the connection stays open.
  void SendAndExpectResponse() {
    Send(kRequest);
    std::string received;
    boost::asio::read_until(socket_, boost::asio::dynamic_buffer(received),
                            "/one", error_);
    ASSERT_TRUE(received.starts_with("HTTP/1.1 200")) << received;
  }
  // Returns everything received until the connection closes.
  std::string ReceiveAll() {
    std::string received;
    boost::asio::read(socket_, boost::asio::dynamic_buffer(received), error_);
    return received;
  }
  // Runs `action` on the listener's loop and waits for it.
  void RunOnLoop(std::function<void()> action) {
    std::promise<void> done;
    boost::asio::post(loop_io_, [&] {
      action();
      done.set_value();
    });
    done.get_future().wait();
  }
  // Keeps the loop busy until `actions` have run here; `then` runs on the loop
  // before it handles anything else.
  void WhileLoopIsBusy(const std::function<void()>& actions,
                       std::function<void()> then) {
    std::promise<void> busy;
    std::promise<void> release;
    boost::asio::post(loop_io_, [&busy, released = release.get_future().share(),
                                 then = std::move(then)] {
      busy.set_value();
      released.wait();
      then();
    });
    busy.get_future().wait();
    actions();
    release.set_value();
  }

  boost::asio::io_context io_;
  Tcp::socket socket_{io_};
  boost::system::error_code error_;
};

TEST_F(CallerConnectionTest, SlowBodyIsNotCutWhileItsBytesArrive) {
  handler_.limits.idle_timeout = Millis(300);
  constexpr int kParts = 6;
  constexpr Millis kPause{100};
  Connect();
  Send(
      "POST /slow HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
      "Content-Length: 6\r\n\r\n");
  for (int i = 0; i < kParts; ++i) {
    std::this_thread::sleep_for(kPause);
    Send("x");
  }
  std::string received = ReceiveAll();
  EXPECT_TRUE(received.starts_with("HTTP/1.1 200")) << received;
}

TEST_F(CallerConnectionTest, RequestThatStopsArrivingIsRejected) {
  handler_.limits.header_timeout = Millis(100);
  handler_.limits.idle_timeout = Millis(100);
  int handled = 0;
  handler_.action = [&handled](const HttpRequest&, auto) { ++handled; };
  std::string body = SendAndReceive(
      "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\n\r\nab");
  EXPECT_TRUE(body.starts_with("HTTP/1.1 408")) << body;
  std::string header = SendAndReceive("POST /p HTTP/1.1\r\nHost: h");
  EXPECT_TRUE(header.starts_with("HTTP/1.1 408")) << header;
  EXPECT_EQ(handled, 0);
}

TEST_F(CallerConnectionTest, ExpiredIdleTimerDoesNotCutARequestThatArrived) {
  handler_.limits.idle_timeout = Millis(150);
  constexpr Millis kPastTimeout{250};
  // Longer than what is read at once, so that it is still being read when the
  // expired timer is handled.
  std::string request =
      "POST /long HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
      "Content-Length: 30000\r\n\r\n" +
      std::string(30000, 'x');
  Connect();
  SendAndExpectResponse();
  WhileLoopIsBusy(
      [&] {
        Send(request);
        std::this_thread::sleep_for(kPastTimeout);
      },
      [] {});
  std::string received = ReceiveAll();
  EXPECT_TRUE(received.starts_with("HTTP/1.1 200")) << received;
}

TEST_F(CallerConnectionTest, RequestThatArrivedIsAnsweredWhenTheListenerStops) {
  Connect();
  SendAndExpectResponse();
  size_t busy_connections = 0;
  WhileLoopIsBusy([this] { Send(kRequest); },
                  [&] {
                    listener_.Stop();
                    busy_connections = listener_.busy_connections();
                  });
  std::string received = ReceiveAll();
  EXPECT_EQ(busy_connections, 1U);
  EXPECT_TRUE(received.starts_with("HTTP/1.1 200")) << received;
  EXPECT_NE(received.find("Connection: close"), std::string::npos) << received;
}

TEST_F(CallerConnectionTest, ConnectionInTheBacklogIsServedWhenStopping) {
  size_t busy_connections = 0;
  WhileLoopIsBusy(
      [this] {
        Connect();
        Send(kRequest);
      },
      [&] {
        listener_.Stop();
        busy_connections = listener_.busy_connections();
      });
  std::string received = ReceiveAll();
  EXPECT_EQ(busy_connections, 1U);
  EXPECT_TRUE(received.starts_with("HTTP/1.1 200")) << received;
}

TEST_F(CallerConnectionTest, LoweredIdleLimitDoesNotCutKeptConnections) {
  constexpr Millis kWithinOldLimit{400};
  handler_.limits.idle_timeout = Millis(1000);
  Connect();
  SendAndExpectResponse();
  RunOnLoop([this] { handler_.limits.idle_timeout = Millis(100); });
  SendAndExpectResponse();
  std::this_thread::sleep_for(kWithinOldLimit);
  Send(kLastRequest);
  std::string received = ReceiveAll();
  EXPECT_TRUE(received.starts_with("HTTP/1.1 200")) << received;
}

TEST_F(CallerConnectionTest, RaisedIdleLimitHoldsForConnectionsThatRest) {
  constexpr Millis kWithinNewLimit{400};
  handler_.limits.idle_timeout = Millis(150);
  Connect();
  SendAndExpectResponse();
  RunOnLoop([this] { handler_.limits.idle_timeout = Millis(2000); });
  std::this_thread::sleep_for(kWithinNewLimit);
  Send(kLastRequest);
  std::string received = ReceiveAll();
  EXPECT_TRUE(received.starts_with("HTTP/1.1 200")) << received;
}

TEST_F(CallerConnectionTest, RaisedBodyLimitHoldsForConnectionsThatRest) {
  handler_.limits.body_bytes = 4;
  Connect();
  SendAndExpectResponse();
  RunOnLoop([this] { handler_.limits.body_bytes = 100; });
  Send(
      "POST /p HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
      "Content-Length: 6\r\n\r\nabcdef");
  std::string received = ReceiveAll();
  EXPECT_TRUE(received.starts_with("HTTP/1.1 200")) << received;
}

TEST_F(CallerConnectionTest, IdleConnectionIsStillClosedInTime) {
  handler_.limits.idle_timeout = Millis(100);
  Connect();
  SendAndExpectResponse();
  EXPECT_EQ(ReceiveAll(), "");
  EXPECT_EQ(error_, boost::asio::error::eof);
}

TEST_F(CallerConnectionTest, CallerThatLeavesAfterASecondRequestIsNoticed) {
  constexpr Duration kNoticeBound = Millis(500);
  std::promise<void> started;
  std::promise<void> left;
  handler_.action = [&](const HttpRequest&,
                        std::shared_ptr<HttpResponder> responder) {
    responder->SetDisconnectCallback([&left] { left.set_value(); });
    started.set_value();
  };
  Connect();
  Send(std::string(kRequest) + "GET /two HTTP/1.1\r\n");
  started.get_future().wait();
  Send("Host: h\r\n\r\n");
  socket_.close();
  EXPECT_EQ(left.get_future().wait_for(kNoticeBound),
            std::future_status::ready);
}

}  // namespace
}  // namespace mangoyoke
