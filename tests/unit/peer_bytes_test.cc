// What callers and servers send ends at most their own connection or request,
// never the process or its event loop.

#include <gtest/gtest.h>

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <stdexcept>

#include "base/supervisor.h"
#include "tests/support/listener_fixture.h"
#include "tests/support/traffic_fixture.h"

namespace mangoyoke {
namespace {

// Assertions of libraries are on in the build of the deploy file.
TEST(PeerBytesTest, FailedAssertionOfALibraryEndsNoProcess) {
  http::request_parser<http::string_body> parser;
  boost::system::error_code error;
  parser.put(boost::asio::buffer(std::string_view(
                 "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n")),
             error);
  boost::asio::const_buffer last_chunk =
      boost::asio::buffer(std::string_view("0\r\n"));
  parser.put(last_chunk, error);
  EXPECT_THROW(parser.put(last_chunk, error), std::logic_error);
}

// More failures than a supervisor accepts.
constexpr int kManyFailures = 20;

// A handler that threw ended the loop, and after some of them the process.
TEST(PeerBytesTest, FailingHandlersOfRequestsEndNoLoop) {
  Metrics metrics;
  TestHandler handler;
  handler.action = [](const HttpRequest&, auto) {
    throw std::runtime_error("handler");
  };
  Supervisor supervisor(metrics);
  HttpListener listener(supervisor.AddLoop("traffic"), handler);
  ASSERT_TRUE(Ok(listener.Listen(kAddress)));
  supervisor.Start();
  for (int i = 0; i < kManyFailures; ++i) {
    EXPECT_TRUE(HasStatus(SendToPort(kPort,
                                     "GET / HTTP/1.1\r\nHost: h\r\n"
                                     "Connection: close\r\n\r\n"),
                          500))
        << i;
  }
  supervisor.Stop();
  EXPECT_EQ(metrics.FormatText().find("loop_failures"), std::string::npos);
}

class HugeNumbersTest : public GatewayTrafficTest {};

// They overflowed when they were converted or added up: a deadline passed at
// once, and the load known at a server became negative.
TEST_F(HugeNumbersTest, OfCallersHurtNoOtherRequest) {
  AddServer(
      ServerStage::kDecode, [](const HttpRequest& request, auto responder) {
        HttpResponse response =
            StampedResponse(request, http::status::ok, "id: 1\ndata: a\n\n");
        response.set(http::field::content_type, "text/event-stream");
        responder->Reply(std::move(response));
      });
  StartGateway(RequestKind::kStreaming, false, 1);
  for (const std::string number :
       {"9223372036854775807", "13835058055282", "-9223372036854775808", "-1",
        "99999999999999999999", "1e400", "nan", ""}) {
    std::string deadline =
        SendRequest("POST", "X-Mangoyoke-Deadline-Ms: " + number + "\r\n");
    EXPECT_TRUE(HasStatus(deadline, 200)) << number << deadline;
    std::string counts = SendToPort(
        kListenPort,
        "POST /x HTTP/1.1\r\nHost: h\r\nX-Mangoyoke-Request-Id: id-1\r\n"
        "X-Mangoyoke-Token-Counts: " +
            number + "," + number + "\r\nConnection: close\r\n\r\n");
    EXPECT_TRUE(HasStatus(counts, 200) || HasStatus(counts, 429))
        << number << counts;
    EXPECT_TRUE(HasStatus(SendRequest(), 200)) << number;
  }
}

class TraceTest : public GatewayTrafficTest {};

// Its body threw when it was passed on; its caller waited for the timeout.
TEST_F(TraceTest, WithABodyIsRejected) {
  AddServer(ServerStage::kCombined, RespondWith(http::status::ok, "served"));
  StartGateway(RequestKind::kIdempotent, false, 1);
  EXPECT_TRUE(HasStatus(SendRequest("TRACE"), 200));
  for (int i = 0; i < kManyFailures; ++i) {
    EXPECT_TRUE(HasStatus(SendToPort(kListenPort,
                                     "TRACE /x HTTP/1.1\r\nHost: h\r\n"
                                     "Content-Length: 1\r\n\r\nx"),
                          400))
        << i;
  }
  EXPECT_EQ(servers_[0]->requests_received(), 1);
}

// The wire format of servers, with one function that fails.
class FailingCodec : public platform::PlatformBackendCodec {
 public:
  enum class Place { kRequest, kResponse, kHead };

  explicit FailingCodec(Place place) : place_(place) {}

  HttpRequest EncodeRequest(
      const HttpRequest& original,
      const CallerRequest& caller_request,
      const BackendRequestOptions& options) const override {
    ThrowIf(Place::kRequest);
    return PlatformBackendCodec::EncodeRequest(original, caller_request,
                                               options);
  }
  BackendResponse DecodeResponse(
      const http::response_header<>& head) const override {
    ThrowIf(Place::kResponse);
    return PlatformBackendCodec::DecodeResponse(head);
  }
  http::response_header<> EncodeResponseHead(
      const http::response_header<>& head) const override {
    ThrowIf(Place::kHead);
    return PlatformBackendCodec::EncodeResponseHead(head);
  }

 private:
  void ThrowIf(Place place) const {
    if (place_ == place) {
      throw std::runtime_error("codec");
    }
  }

  Place place_;
};

class FailingCodecTest
    : public GatewayTrafficTest,
      public ::testing::WithParamInterface<FailingCodec::Place> {
 protected:
  FailingCodecTest()
      : GatewayTrafficTest(std::make_unique<FailingCodec>(GetParam())) {}
};

// The request ends at once with an error, and the loop goes on. It threw before
// and ended the thread of the test.
TEST_P(FailingCodecTest, EndsThePlainRequestAlone) {
  AddServer(ServerStage::kCombined, RespondWith(http::status::ok, "served"));
  StartGateway(RequestKind::kNonIdempotent, false, 1);
  for (int i = 0; i < kManyFailures; ++i) {
    EXPECT_TRUE(SendRequest().starts_with("HTTP/1.1 5")) << i;
  }
  EXPECT_EQ(ActiveRequests(), 0U);
}

TEST_P(FailingCodecTest, EndsTheStreamAlone) {
  AddServer(
      ServerStage::kDecode, [](const HttpRequest& request, auto responder) {
        HttpResponse response =
            StampedResponse(request, http::status::ok, "id: 1\ndata: a\n\n");
        response.set(http::field::content_type, "text/event-stream");
        responder->Reply(std::move(response));
      });
  StartGateway(RequestKind::kStreaming, false, 1);
  for (int i = 0; i < kManyFailures; ++i) {
    EXPECT_FALSE(HasStatus(SendRequest(), 200)) << i;
  }
  EXPECT_EQ(ActiveRequests(), 0U);
}

INSTANTIATE_TEST_SUITE_P(Places,
                         FailingCodecTest,
                         ::testing::Values(FailingCodec::Place::kRequest,
                                           FailingCodec::Place::kResponse,
                                           FailingCodec::Place::kHead));

}  // namespace
}  // namespace mangoyoke
