// HttpListener over loopback: what is received and sent, byte for byte.

#include <gtest/gtest.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <thread>

#include "gateway/net/http_listener.h"
#include "tests/support/listener_fixture.h"
#include "tests/support/split_messages.h"

namespace mangoyoke {
namespace {

size_t CountOccurrences(const std::string& text, const std::string& part) {
  size_t count = 0;
  for (size_t at = text.find(part); at != std::string::npos;
       at = text.find(part, at + part.size())) {
    ++count;
  }
  return count;
}

TEST_F(ListenerTest, StreamHasOneLastChunkAndTheNextAnswerFollows) {
  handler_.action = [](const HttpRequest&,
                       std::shared_ptr<HttpResponder> responder) {
    http::response_header<> head;
    head.result(200);
    responder->BeginStream(head);
    responder->Write("id: 1\ndata: a\n\n");
    responder->Write("");
    responder->EndStream();
  };
  std::string received = SendAndReceive(
      "GET /one HTTP/1.1\r\nHost: h\r\n\r\n"
      "GET /two HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  EXPECT_EQ(CountOccurrences(received, "0\r\n\r\n"), 2U) << received;
  EXPECT_EQ(CountOccurrences(received, "HTTP/1.1 200 OK"), 2U) << received;
}

TEST_F(ListenerTest, StreamInResponseToHeadHasNoBody) {
  handler_.action = [](const HttpRequest&,
                       std::shared_ptr<HttpResponder> responder) {
    http::response_header<> head;
    head.result(200);
    responder->BeginStream(head);
    responder->Write("id: 1\ndata: a\n\n");
    responder->EndStream();
  };
  std::string received = SendAndReceive(
      "HEAD /one HTTP/1.1\r\nHost: h\r\n\r\n"
      "HEAD /two HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  EXPECT_EQ(CountOccurrences(received, "HTTP/1.1 200 OK"), 2U) << received;
  size_t second = received.rfind("HTTP/1.1");
  EXPECT_TRUE(received.substr(0, second).ends_with("\r\n\r\n")) << received;
  EXPECT_EQ(CountOccurrences(received, "\r\n\r\n"), 2U) << received;
}

TEST_F(ListenerTest, TargetReachesTheHandlerAsSent) {
  std::string received = SendAndReceive(
      "GET /p?z=1&a=%20x&b=2&a=3&flag HTTP/1.1\r\nHost: h\r\n"
      "Connection: close\r\n\r\n");
  EXPECT_TRUE(received.ends_with("/p?z=1&a=%20x&b=2&a=3&flag")) << received;
}

TEST_F(ListenerTest, ChunkedBodiesMayBeSplitAnywhere) {
  for (const char* body : kSplitChunkedBodies) {
    boost::asio::io_context io;
    Tcp::socket socket(io);
    socket.connect(
        Tcp::endpoint(boost::asio::ip::address_v4::loopback(), kPort));
    boost::system::error_code error;
    WriteInParts(socket,
                 "POST /p HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n" +
                     std::string(body),
                 error);
    std::string received;
    boost::asio::read(socket, boost::asio::dynamic_buffer(received), error);
    EXPECT_TRUE(received.starts_with("HTTP/1.1 200")) << body << received;
  }
}

// Case 1 of the review: a process ended when it read these bytes.
TEST_F(ListenerTest, BadLastChunkEndsNoProcess) {
  handler_.limits.idle_timeout = Millis(200);
  for (const char* body : kBadLastChunks) {
    boost::asio::io_context io;
    Tcp::socket socket(io);
    socket.connect(
        Tcp::endpoint(boost::asio::ip::address_v4::loopback(), kPort));
    boost::system::error_code error;
    WriteInParts(socket,
                 "POST /p HTTP/1.1\r\nHost: h\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n" +
                     std::string(body),
                 error);
    std::string received;
    boost::asio::read(socket, boost::asio::dynamic_buffer(received), error);
    EXPECT_TRUE(received.starts_with("HTTP/1.1 4")) << body << received;
  }
}

// Fields of this size made the parser throw.
TEST_F(ListenerTest, LongFieldsAreRejected) {
  handler_.limits.header_bytes = 1 << 20;
  const std::string field = "X-Long: " + std::string(70'000, 'x') + "\r\n\r\n";
  EXPECT_TRUE(SendAndReceive("GET / HTTP/1.1\r\nHost: h\r\n" + field)
                  .starts_with("HTTP/1.1 431"));
  const std::string chunked =
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
  EXPECT_TRUE(SendAndReceive(chunked + field).starts_with("HTTP/1.1 431"));
  handler_.limits.header_bytes = 1 << 10;
  EXPECT_TRUE(SendAndReceive(chunked + field).starts_with("HTTP/1.1 431"));
}

// They would pass for fields of the head, such as those that route a request.
TEST_F(ListenerTest, FieldsOfATrailerAreDropped) {
  handler_.action = [](const HttpRequest& request, auto responder) {
    HttpResponse response(http::status::ok, 11);
    for (const auto& field : request) {
      response.body() += std::string(field.name_string()) + ";";
    }
    responder->Reply(std::move(response));
  };
  std::string received = SendAndReceive(
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
      "Connection: close\r\n\r\n1\r\nx\r\n0\r\nHost: other\r\nX-New: "
      "1\r\n\r\n");
  EXPECT_TRUE(received.ends_with("\r\n\r\nHost;Transfer-Encoding;Connection;"))
      << received;
}

TEST_F(ListenerTest, ChunkExtensionWithoutEndIsRejected) {
  std::string request =
      "POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;x=" +
      std::string(1 << 20, 'y');
  EXPECT_TRUE(SendAndReceive(request).starts_with("HTTP/1.1 400"));
}

struct BadInput {
  const char* name;
  const char* bytes;
  const char* status;
};

class BadInputTest : public ListenerTest,
                     public ::testing::WithParamInterface<BadInput> {};

TEST_P(BadInputTest, IsRefusedAndCloses) {
  handler_.limits.header_bytes = 200;
  handler_.limits.body_bytes = 20;
  int handled = 0;
  handler_.action = [&handled](const HttpRequest&, auto responder) {
    ++handled;
    responder->Reply(HttpResponse(http::status::ok, 11));
  };
  std::string received = SendAndReceive(GetParam().bytes);
  EXPECT_TRUE(
      received.starts_with(std::string("HTTP/1.1 ") + GetParam().status))
      << received;
  EXPECT_EQ(handled, 0);
}

const BadInput kBadInputs[] = {
    {"garbage", "\x16\x03\x01 nonsense\r\n\r\n", "400"},
    {"two_lengths",
     "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
     "Content-Length: 5\r\n\r\nabcde",
     "400"},
    {"length_and_chunked",
     "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
     "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
     "400"},
    {"negative_length",
     "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -3\r\n\r\n", "400"},
    {"bad_chunk",
     "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
     "zz\r\nabc\r\n",
     "400"},
    {"unknown_coding",
     "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n"
     "GET /inner HTTP/1.1\r\nHost: h\r\n\r\n",
     "400"},
    {"unknown_coding_with_length",
     "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n"
     "Content-Length: 3\r\n\r\nabc",
     "400"},
    {"coding_before_chunked",
     "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"
     "0\r\n\r\n",
     "400"},
    {"chunked_twice",
     "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked, chunked\r\n"
     "\r\n0\r\n\r\n",
     "400"},
    {"codings_in_two_fields",
     "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n"
     "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
     "400"},
    {"empty_coding", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding:\r\n\r\n",
     "400"},
    {"chunked_by_http_1_0",
     "POST / HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
     "0\r\n\r\n",
     "400"},
    {"long_body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 21\r\n\r\n",
     "413"},
    {"long_header",
     "GET / HTTP/1.1\r\nHost: h\r\nX-Long: "
     "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
     "a"
     "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
     "a"
     "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
     "a"
     "\r\n\r\n",
     "431"}};

INSTANTIATE_TEST_SUITE_P(Shapes,
                         BadInputTest,
                         ::testing::ValuesIn(kBadInputs),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace mangoyoke
