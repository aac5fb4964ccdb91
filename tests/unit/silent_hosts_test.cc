// Exchanges with a server whose host, or whose socket, is silent for a while.

#include <gtest/gtest.h>
#include <linux/filter.h>
#include <sys/socket.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <string>
#include <thread>

#include "tests/support/single_exchange.h"

namespace mangoyoke {
namespace {

constexpr uint16_t kPort = 19150;
constexpr char kResponse[] = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";

// While it exists, the kernel drops all that arrives at `socket` and confirms
// none of it, as if the socket's host were silent.
class SilentHost {
 public:
  explicit SilentHost(Tcp::socket& socket) : socket_(socket) {
    sock_filter drop_all{BPF_RET | BPF_K, 0, 0, 0};
    sock_fprog program{1, &drop_all};
    EXPECT_EQ(setsockopt(socket_.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER,
                         &program, sizeof(program)),
              0);
  }
  ~SilentHost() {
    int unused = 0;
    setsockopt(socket_.native_handle(), SOL_SOCKET, SO_DETACH_FILTER, &unused,
               sizeof(unused));
  }

 private:
  Tcp::socket& socket_;
};

class SilentHostsTest : public ::testing::Test {
 protected:
  ExchangeOutcome Exchange(const std::string& body,
                           const std::function<void(Tcp::socket&)>& serve) {
    return RunSingleExchange(kPort, body, Seconds(20), serve);
  }
};

void ReadRequest(Tcp::socket& socket, size_t body_bytes) {
  std::string received;
  boost::system::error_code error;
  while (!error && (received.find("\r\n\r\n") == std::string::npos ||
                    received.size() < body_bytes)) {
    boost::asio::read(socket, boost::asio::dynamic_buffer(received),
                      boost::asio::transfer_at_least(1), error);
  }
}

void Respond(Tcp::socket& socket) {
  boost::system::error_code error;
  boost::asio::write(socket, boost::asio::buffer(std::string(kResponse)),
                     error);
}

TEST_F(SilentHostsTest, AnswerArrivesThoughTheHostWasSilentMeanwhile) {
  ExchangeOutcome outcome = Exchange("", [](Tcp::socket& socket) {
    ReadRequest(socket, 0);
    {
      SilentHost silent(socket);
      std::this_thread::sleep_for(Millis(1400));
    }
    std::this_thread::sleep_for(Millis(1200));
    Respond(socket);
  });
  EXPECT_EQ(outcome.result, ExchangeResult::kComplete);
  EXPECT_EQ(outcome.body, "done");
}

TEST_F(SilentHostsTest, AnswerArrivesThoughTheServerReadsItsRequestLate) {
  constexpr size_t kBodyBytes = 16 << 20;
  ExchangeOutcome outcome =
      Exchange(std::string(kBodyBytes, 'x'), [](Tcp::socket& socket) {
        std::this_thread::sleep_for(Millis(2000));
        ReadRequest(socket, kBodyBytes);
        Respond(socket);
      });
  EXPECT_EQ(outcome.result, ExchangeResult::kComplete);
  EXPECT_EQ(outcome.body, "done");
}

TEST_F(SilentHostsTest, HostThatIsGoneIsNoticedInAFewSeconds) {
  ExchangeOutcome outcome = Exchange("", [](Tcp::socket& socket) {
    ReadRequest(socket, 0);
    SilentHost silent(socket);
    std::this_thread::sleep_for(Millis(6000));
  });
  EXPECT_EQ(outcome.result, ExchangeResult::kIncomplete);
  EXPECT_FALSE(outcome.timed_out);
  EXPECT_LT(outcome.elapsed, Millis(5500));
}

}  // namespace
}  // namespace mangoyoke
