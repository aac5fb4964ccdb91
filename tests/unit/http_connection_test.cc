// HttpConnection over loopback: what is sent and received, byte for byte.

#include <gtest/gtest.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <functional>
#include <thread>

#include "gateway/net/http_connection.h"
#include "gateway/net/timed_exchange.h"
#include "tests/support/check_id.h"
#include "tests/support/split_messages.h"

namespace mangoyoke {
namespace {

// A server that accepts one connection and responds to each request on it with
// the next of `scripts`, in the parts between '|'. A script that ends with "!"
// (not sent) closes the connection. Without a script left, it does not respond.
class ScriptedServer {
 public:
  explicit ScriptedServer(std::deque<std::string> scripts)
      : scripts_(std::move(scripts)),
        acceptor_(io_,
                  Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {
    thread_ = std::thread([this] { Serve(); });
  }
  ~ScriptedServer() { thread_.join(); }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

 private:
  void Serve() {
    Tcp::socket socket(io_);
    acceptor_.accept(socket);
    std::string request;
    boost::system::error_code error;
    while (!error) {
      char bytes[4096];
      size_t size = socket.read_some(boost::asio::buffer(bytes), error);
      request.append(bytes, size);
      bool complete = request.find("\r\n\r\n") != std::string::npos;
      if (!complete || scripts_.empty()) {
        continue;
      }
      request.clear();
      std::string script = scripts_.front();
      scripts_.pop_front();
      bool close = script.ends_with('!');
      if (close) {
        script.pop_back();
      }
      WriteInParts(socket, script, error);
      if (close) {
        return;
      }
    }
  }

  std::deque<std::string> scripts_;
  boost::asio::io_context io_;
  Tcp::acceptor acceptor_;
  std::thread thread_;
};

std::string MakeResponse(const std::string& id, const std::string& body) {
  return "HTTP/1.1 200 OK\r\nId: " + id +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

// Sends requests with the given ids one after another on pooled connections and
// returns their outcomes.
std::vector<ExchangeOutcome> Send(const std::string& address,
                                  const std::vector<std::string>& ids) {
  boost::asio::io_context io;
  ConnectionPool pool(io, CheckId);
  std::vector<ExchangeOutcome> outcomes;
  for (const std::string& id : ids) {
    TimedExchange exchange(io, pool);
    bool ended = false;
    ExchangeCallbacks callbacks;
    callbacks.on_end = [&](ExchangeOutcome outcome) {
      outcomes.push_back(std::move(outcome));
      ended = true;
    };
    HttpRequest request(http::verb::get, "/", 11);
    exchange.Start(address, std::move(request), {id}, {.timeout = Millis(500)},
                   std::move(callbacks));
    while (!ended) {
      io.run_one();
    }
  }
  return outcomes;
}

TEST(HttpConnectionTest, LateExtraAnswerIsSkipped) {
  ScriptedServer server(
      {MakeResponse("a", "first"),
       MakeResponse("a", "again") + MakeResponse("b", "second") + "!"});
  auto outcomes = Send(server.address(), {"a", "b"});
  EXPECT_EQ(outcomes[0].body, "first");
  EXPECT_EQ(outcomes[1].result, ExchangeResult::kComplete);
  EXPECT_EQ(outcomes[1].body, "second");
}

TEST(HttpConnectionTest, ChunkedResponsesMayBeSplitAnywhere) {
  for (const char* body : kSplitChunkedBodies) {
    ScriptedServer server(
        {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n" +
         std::string(body) + "!"});
    auto outcomes = Send(server.address(), {"a"});
    EXPECT_EQ(outcomes[0].result, ExchangeResult::kComplete) << body;
  }
}

// Case 1 of the review: a process ended when it read these bytes.
TEST(HttpConnectionTest, BadLastChunkEndsNoProcess) {
  for (const char* body : kBadLastChunks) {
    ScriptedServer server(
        {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n" +
         std::string(body) + "!"});
    auto outcomes = Send(server.address(), {"a"});
    EXPECT_EQ(outcomes[0].result, ExchangeResult::kIncomplete) << body;
  }
}

// A response that breaks off anywhere must not look complete.
TEST(HttpConnectionTest, ChunkedResponseCutAnywhereIsIncomplete) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string body = "5\r\nhello\r\n1;x=y\r\n.\r\n0\r\n\r\n";
  for (size_t cut = 0; cut < body.size(); ++cut) {
    ScriptedServer server({head + body.substr(0, cut) + "!"});
    auto outcomes = Send(server.address(), {"a"});
    EXPECT_EQ(outcomes[0].result, ExchangeResult::kIncomplete) << cut;
  }
  ScriptedServer server({head + body + "!"});
  EXPECT_EQ(Send(server.address(), {"a"})[0].body, "hello.");
}

TEST(HttpConnectionTest, HeadCutAnywhereIsIncomplete) {
  constexpr auto kComplete = ExchangeResult::kComplete;
  constexpr auto kEndedByClose = ExchangeResult::kEndedByClose;
  const std::pair<std::string, ExchangeResult> heads[] = {
      {"HTTP/1.1 200 OK\r\nId: a\r\n", kEndedByClose},
      {"HTTP/1.1 204 No Content\r\nId: a\r\n", kComplete},
      {"HTTP/1.1 304 Not Modified\r\nId: a\r\n", kComplete},
      {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: a\r\n",
       kEndedByClose},
      {"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 0\r\n", kComplete},
  };
  for (const auto& [first, whole] : heads) {
    std::string head = first + "\r\n";
    for (size_t cut = 0; cut < head.size(); ++cut) {
      ScriptedServer server({head.substr(0, cut) + "!"});
      auto outcomes = Send(server.address(), {"a"});
      EXPECT_EQ(outcomes[0].result, ExchangeResult::kIncomplete)
          << cut << " bytes of " << head;
    }
    ScriptedServer server({head + "!"});
    EXPECT_EQ(Send(server.address(), {"a"})[0].result, whole) << head;
  }
}

// The body of a response may arrive later than its head.
TEST(HttpConnectionTest, HeadAndBodyMayArriveApart) {
  for (const char* response :
       {"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 5\r\n\r\n|hello",
        "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 5\r\n\r\nhe|llo",
        "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n|"
        "5\r\nhello\r\n0\r\n\r\n"}) {
    ScriptedServer server({std::string(response) + "!"});
    auto outcomes = Send(server.address(), {"a"});
    EXPECT_EQ(outcomes[0].result, ExchangeResult::kComplete) << response;
    EXPECT_EQ(outcomes[0].body, "hello") << response;
  }
  ScriptedServer unframed({"HTTP/1.1 200 OK\r\nId: a\r\n\r\n|hello!"});
  auto outcomes = Send(unframed.address(), {"a"});
  EXPECT_EQ(outcomes[0].result, ExchangeResult::kEndedByClose);
  EXPECT_EQ(outcomes[0].body, "hello");
}

// Such a response has no body, whatever length its head gives.
TEST(HttpConnectionTest, LengthOfAnAbsentBodyIsNoLimit) {
  ScriptedServer server(
      {"HTTP/1.1 304 Not Modified\r\nId: a\r\n"
       "Content-Length: 100000000\r\n\r\n!"});
  auto outcomes = Send(server.address(), {"a"});
  EXPECT_EQ(outcomes[0].result, ExchangeResult::kComplete);
}

// The parser threw, so that the connection was read no more.
TEST(HttpConnectionTest, LongTrailerBreaksTheAnswer) {
  ScriptedServer server(
      {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"
       "X-Long: " +
       std::string(70'000, 'x') + "\r\n\r\n!"});
  auto outcomes = Send(server.address(), {"a"});
  EXPECT_EQ(outcomes[0].result, ExchangeResult::kIncomplete);
  EXPECT_FALSE(outcomes[0].timed_out);
}

// Its body could not be told from what follows, or was passed on although the
// field that explains it was removed.
TEST(HttpConnectionTest, UnknownTransferCodingBreaksTheAnswer) {
  for (const std::string coding : {"gzip", "gzip, chunked", "chunked, gzip"}) {
    ScriptedServer server({"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: " +
                           coding + "\r\n\r\n0\r\n\r\n!"});
    auto outcomes = Send(server.address(), {"a"});
    EXPECT_EQ(outcomes[0].result, ExchangeResult::kIncomplete) << coding;
  }
}

TEST(HttpConnectionTest, CutAnswerIsBroken) {
  ScriptedServer server(
      {"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\n"
       "cut!"});
  auto outcomes = Send(server.address(), {"a"});
  EXPECT_EQ(outcomes[0].result, ExchangeResult::kIncomplete);
}

TEST(HttpConnectionTest, AnswerWithoutLengthEndsWithTheConnection) {
  ScriptedServer server({"HTTP/1.1 200 OK\r\nId: a\r\n\r\nwhole!"});
  auto outcomes = Send(server.address(), {"a"});
  EXPECT_EQ(outcomes[0].result, ExchangeResult::kEndedByClose);
  EXPECT_EQ(outcomes[0].body, "whole");
}

TEST(HttpConnectionTest, SilentServerTimesOut) {
  ScriptedServer server({});
  auto outcomes = Send(server.address(), {"a"});
  EXPECT_TRUE(outcomes[0].timed_out);
  EXPECT_EQ(outcomes[0].result, ExchangeResult::kIncomplete);
}

TEST(HttpConnectionTest, RefusedConnectionIsNotSent) {
  auto outcomes = Send("127.0.0.1:1", {"a"});
  EXPECT_EQ(outcomes[0].result, ExchangeResult::kNotSent);
}

// What a faulty server sends: a beginning, then the same bytes without end.
struct EndlessBytes {
  const char* name;
  std::string begin;
  std::string repeated;
};

// A server that sends EndlessBytes in response to a request until the other
// side closes the connection, or for at most kMaxBytes.
class EndlessServer {
 public:
  static constexpr size_t kMaxBytes = 64 << 20;

  explicit EndlessServer(EndlessBytes bytes)
      : bytes_(std::move(bytes)),
        acceptor_(io_,
                  Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
        thread_([this] { Serve(); }) {}
  ~EndlessServer() { Join(); }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  // Waits until the connection is closed. Returns the number of bytes sent.
  size_t Join() {
    if (thread_.joinable()) {
      thread_.join();
    }
    return sent_;
  }

 private:
  void Serve() {
    Tcp::socket socket(io_);
    acceptor_.accept(socket);
    char request[4096];
    boost::system::error_code error;
    socket.read_some(boost::asio::buffer(request), error);
    sent_ +=
        boost::asio::write(socket, boost::asio::buffer(bytes_.begin), error);
    std::string block;
    while (block.size() < sizeof(request)) {
      block += bytes_.repeated;
    }
    while (!error && sent_ < kMaxBytes) {
      sent_ += boost::asio::write(socket, boost::asio::buffer(block), error);
    }
  }

  EndlessBytes bytes_;
  size_t sent_ = 0;
  boost::asio::io_context io_;
  Tcp::acceptor acceptor_;
  std::thread thread_;
};

class EndlessBytesTest : public ::testing::TestWithParam<EndlessBytes> {};

// The exchange ends long before its timeout, after few bytes, and the request
// counts as possibly executed.
TEST_P(EndlessBytesTest, EndTheExchange) {
  EndlessServer server(GetParam());
  boost::asio::io_context io;
  ConnectionPool pool(io, CheckId);
  TimedExchange exchange(io, pool);
  std::optional<ExchangeOutcome> outcome;
  ExchangeCallbacks callbacks;
  callbacks.on_end = [&](ExchangeOutcome result) {
    outcome = std::move(result);
  };
  exchange.Start(server.address(), HttpRequest(http::verb::get, "/", 11), {"a"},
                 {.timeout = Seconds(20)}, std::move(callbacks));
  TimePoint start = SteadyClock::now();
  while (!outcome) {
    io.run_one();
  }
  EXPECT_EQ(outcome->result, ExchangeResult::kIncomplete);
  EXPECT_FALSE(outcome->timed_out);
  EXPECT_LT(SteadyClock::now() - start, Seconds(5));
  EXPECT_LT(server.Join(), EndlessServer::kMaxBytes / 2);
}

const EndlessBytes kEndlessBytes[] = {
    // Case 2 of the review.
    {"BodyUnderAHugeLength",
     "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 1000000000000000\r\n\r\n",
     "x"},
    {"BodyUnderALength",
     "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 33554432\r\n\r\n", "x"},
    {"Garbage", "", "#"},
    {"StatusLine", "HTTP/1.1 200 ", "O"},
    {"HeaderName", "HTTP/1.1 200 OK\r\n", "x"},
    {"HeaderValue", "HTTP/1.1 200 OK\r\nId: ", "a"},
    {"HeaderLines", "HTTP/1.1 200 OK\r\n", "X-More: 1\r\n"},
    {"InterimResponses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
    {"OtherResponses", "",
     "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 1\r\n\r\nx"},
    {"BodyOfAnotherResponse", "HTTP/1.1 200 OK\r\nId: b\r\n\r\n", "x"},
    {"ChunksOfAnotherResponse",
     "HTTP/1.1 200 OK\r\nId: b\r\nTransfer-Encoding: chunked\r\n\r\n",
     "1\r\nx\r\n"},
    {"ChunkSize",
     "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
    {"ChunkExtension",
     "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n1;x=", "y"},
    {"Trailers",
     "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
     "X-More: 1\r\n"},
    {"Body", "HTTP/1.1 200 OK\r\nId: a\r\n\r\n", "x"},
};

INSTANTIATE_TEST_SUITE_P(Shapes,
                         EndlessBytesTest,
                         ::testing::ValuesIn(kEndlessBytes),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace mangoyoke
