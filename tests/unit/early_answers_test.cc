// Servers that answer before they have read the whole request. An answer
// without length or chunks is whole only if the server read the request to its
// end.

#include <gtest/gtest.h>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <string>
#include <thread>

#include "tests/support/single_exchange.h"

namespace mangoyoke {
namespace {

constexpr uint16_t kPort = 19151;
constexpr char kUnframed[] = "HTTP/1.1 200 OK\r\n\r\npart";
constexpr Millis kPause{50};
constexpr size_t kBlankLineBytes = 4;

// What a server does after the beginning of a request has come.
using Serve = std::function<void(Tcp::socket&)>;

struct Case {
  const char* name;
  size_t body_bytes;  // Of the request.
  Serve serve;
};

void Write(Tcp::socket& socket, const std::string& bytes) {
  boost::system::error_code error;
  boost::asio::write(socket, boost::asio::buffer(bytes), error);
  std::this_thread::sleep_for(kPause);
}

// Reads `bytes` more of the request.
void Read(Tcp::socket& socket, size_t bytes) {
  std::string received(bytes, '\0');
  boost::system::error_code error;
  boost::asio::read(socket, boost::asio::buffer(received), error);
}

void Reset(Tcp::socket& socket) {
  socket.set_option(boost::asio::socket_base::linger(true, 0));
  socket.close();
}

void EndSending(Tcp::socket& socket) {
  socket.shutdown(Tcp::socket::shutdown_send);
  std::this_thread::sleep_for(kPause);
}

class EarlyAnswersTest : public ::testing::TestWithParam<Case> {
 protected:
  ExchangeOutcome Exchange(const Case& test) {
    return RunSingleExchange(kPort, std::string(test.body_bytes, 'x'),
                             Seconds(5), [&test](Tcp::socket& socket) {
                               Read(socket, 1);
                               test.serve(socket);
                             });
  }
};

constexpr size_t kLong = 32 << 20;   // Fits no socket's buffers.
constexpr size_t kShort = 64 << 10;  // Is sent before the answer comes.

class UnreadRequestTest : public EarlyAnswersTest {};

// The part that had come arrived as a whole answer.
TEST_P(UnreadRequestTest, AnswerIsNotWhole) {
  ExchangeOutcome outcome = Exchange(GetParam());
  EXPECT_EQ(outcome.result, ExchangeResult::kIncomplete);
  EXPECT_FALSE(outcome.timed_out);
}

const Case kUnread[] = {
    {"LongIsReset", kLong,
     [](Tcp::socket& socket) {
       Write(socket, kUnframed);
       Reset(socket);
     }},
    {"LongIsClosed", kLong,
     [](Tcp::socket& socket) {
       Write(socket, kUnframed);
       socket.close();
     }},
    {"LongEndsAndIsReset", kLong,
     [](Tcp::socket& socket) {
       Write(socket, kUnframed);
       EndSending(socket);
       Reset(socket);
     }},
    {"LongIsResetWhileItIsRead", kLong,
     [](Tcp::socket& socket) {
       Write(socket, kUnframed);
       Read(socket, kLong / 2);
       Reset(socket);
     }},
    {"ShortIsReset", kShort,
     [](Tcp::socket& socket) {
       Write(socket, kUnframed);
       Reset(socket);
     }},
};

INSTANTIATE_TEST_SUITE_P(Ends,
                         UnreadRequestTest,
                         ::testing::ValuesIn(kUnread),
                         [](const auto& info) { return info.param.name; });

class ReadRequestTest : public EarlyAnswersTest {};

TEST_P(ReadRequestTest, AnswerIsWhole) {
  ExchangeOutcome outcome = Exchange(GetParam());
  EXPECT_EQ(outcome.result, ExchangeResult::kEndedByClose);
  EXPECT_EQ(outcome.body, "part");
}

// Reads the rest of a request with a long body, of which one byte was read.
void ReadRest(Tcp::socket& socket) {
  std::string received;
  boost::system::error_code error;
  size_t head_end = std::string::npos;
  while (!error && (head_end == std::string::npos ||
                    received.size() < head_end + kBlankLineBytes + kLong)) {
    boost::asio::read(socket, boost::asio::dynamic_buffer(received),
                      boost::asio::transfer_at_least(1), error);
    head_end = received.find("\r\n\r\n");
  }
}

const Case kRead[] = {
    {"LongIsReadAfterTheAnswer", kLong,
     [](Tcp::socket& socket) {
       Write(socket, kUnframed);
       ReadRest(socket);
       socket.close();
     }},
    {"LongIsReadAfterTheAnswerEnded", kLong,
     [](Tcp::socket& socket) {
       Write(socket, kUnframed);
       EndSending(socket);
       ReadRest(socket);
       socket.close();
     }},
};

INSTANTIATE_TEST_SUITE_P(Ends,
                         ReadRequestTest,
                         ::testing::ValuesIn(kRead),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace mangoyoke
