// Bytes of a faulty server that read as HTTP and are not the response to the
// request: without its id, without a stamp, in an encoding. None reaches a
// caller as a success, whichever exchange of a connection brings them.

#include <gtest/gtest.h>

#include <string>

#include "gateway/core/response_check.h"
#include "tests/support/raw_servers_fixture.h"

namespace mangoyoke {
namespace {

constexpr char kId[] = "X-Mangoyoke-Request-Id: id-1\r\n";
constexpr char kOtherId[] = "X-Mangoyoke-Request-Id: id-2\r\n";
constexpr char kStamp[] = "X-Mangoyoke-Response-Stamp: stamp\r\n";
constexpr char kStream[] = "Content-Type: text/event-stream\r\n";
constexpr char kEvent[] = "id: 1\ndata: t\n\n";

std::string Response(const std::string& headers, const std::string& body) {
  return "HTTP/1.1 200 OK\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Headers of a 200 that is no response to the request.
struct Unproven {
  const char* name;
  std::string headers;
};

class UnprovenAnswersTest : public RawServersTest,
                            public ::testing::WithParamInterface<Unproven> {
 protected:
  // The attempt number `at` gets the headers under test, the others proper
  // ones. `type`: the header that makes it a stream, if it is one.
  RawServer::Script SpoilAttempt(int at, const std::string& type = "") {
    return [this, at, type](const RawRequest& request) {
      std::string proper =
          "X-Mangoyoke-Request-Id: " + request.id() + "\r\n" + kStamp;
      std::string proof = ++attempts_ == at ? GetParam().headers : proper;
      return RawAnswer{Response(proof + type, type.empty() ? "done" : kEvent)};
    };
  }

  std::atomic<int> attempts_{0};
};

// The first exchange of a connection took any 200 for its response.
TEST_P(UnprovenAnswersTest, AreNoSuccessOnANewConnection) {
  AddRawServer(ServerStage::kCombined, SpoilAttempt(1));
  StartRaw(RequestKind::kNonIdempotent, false, 1);
  ReceivedResponse response = Receive();
  EXPECT_FALSE(HasStatus(response.bytes, 200)) << response.bytes;
  EXPECT_TRUE(response.bytes.starts_with("HTTP/1.1 50")) << response.bytes;
  EXPECT_EQ(attempts_, 1);
}

TEST_P(UnprovenAnswersTest, AreNoSuccessOnAKeptConnection) {
  RawServer& server = AddRawServer(ServerStage::kCombined, SpoilAttempt(2));
  StartRaw(RequestKind::kNonIdempotent, false, 1);
  EXPECT_TRUE(HasStatus(Receive("", "id-0").bytes, 200));
  ReceivedResponse response = Receive("X-Mangoyoke-Deadline-Ms: 400\r\n");
  EXPECT_TRUE(response.bytes.starts_with("HTTP/1.1 50")) << response.bytes;
  EXPECT_EQ(server.connections(), 1);
}

TEST_P(UnprovenAnswersTest, OfADecodeServerAreNotStreamed) {
  AddRawServer(ServerStage::kDecode, SpoilAttempt(1, kStream));
  StartRaw(RequestKind::kStreaming, false, 1);
  ReceivedResponse response = Receive("X-Mangoyoke-Deadline-Ms: 400\r\n");
  EXPECT_TRUE(response.bytes.starts_with("HTTP/1.1 50")) << response.bytes;
}

TEST_P(UnprovenAnswersTest, IdempotentRequestIsSentToAnotherServer) {
  AddRawServer(ServerStage::kCombined, SpoilAttempt(1));
  AddRawServer(ServerStage::kCombined, SpoilAttempt(1));
  StartRaw(RequestKind::kIdempotent, false, 2);
  ReceivedResponse response = Receive();
  EXPECT_TRUE(HasStatus(response.bytes, 200)) << response.bytes;
  EXPECT_EQ(attempts_, 2);
}

INSTANTIATE_TEST_SUITE_P(
    Heads,
    UnprovenAnswersTest,
    ::testing::Values(Unproven{"Nothing", ""},
                      Unproven{"NoId", kStamp},
                      Unproven{"NoStamp", kId},
                      Unproven{"EmptyStamp",
                               std::string(kId) +
                                   "X-Mangoyoke-Response-Stamp: \r\n"},
                      Unproven{"TwoIds", std::string(kId) + kOtherId + kStamp},
                      Unproven{"TwoStamps", std::string(kId) + kStamp + kStamp},
                      Unproven{"Encoded", std::string(kId) + kStamp +
                                              "Content-Encoding: gzip\r\n"}),
    [](const auto& info) { return std::string(info.param.name); });

// A prefill result that may be another request's.
TEST_F(RawServersTest, PrefillResultWithoutTheRequestsIdIsNotUsed) {
  AddRawServer(ServerStage::kPrefill, [](const RawRequest&) {
    return RawAnswer{Response("", R"({"Handle":"foreign"})")};
  });
  std::atomic<bool> foreign{false};
  AddRawServer(ServerStage::kDecode, [&foreign](const RawRequest& request) {
    foreign = foreign || request.head.find("foreign") != std::string::npos;
    return RawAnswer{Response(std::string(kId) + kStamp + kStream, kEvent)};
  });
  StartRaw(RequestKind::kStreaming, false, 1);
  Receive();
  EXPECT_FALSE(foreign);
}

// A request of the instance itself bears no id, so that a response with one is
// another request's.
TEST_F(RawServersTest, ReservationOfAnotherRequestIsNotUsed) {
  EngineSpec engine;
  engine.slots = 4;
  engine.kv_tokens = 100'000;
  engine.max_reservation_ttl = Millis(1000);
  service_.engine = engine;
  std::atomic<bool> foreign{false};
  AddRawServer(ServerStage::kDecode, [&foreign](const RawRequest& request) {
    foreign = foreign || request.head.find("foreign") != std::string::npos;
    return request.head.starts_with("POST /v1/hold-take")
               ? RawAnswer{Response(kOtherId, R"({"Hold":"foreign"})")}
               : RawAnswer{
                     Response(std::string(kId) + kStamp + kStream, kEvent)};
  });
  StartRaw(RequestKind::kStreaming, false, 1);
  Receive();
  EXPECT_FALSE(foreign);
}

TEST(ResponseCheckTest, FailuresNeedAnIdAndNoStamp) {
  ExpectedResponse expected{"a", true};
  BackendResponse response;
  for (unsigned status : {0U, 99U, 101U, 600U}) {
    response.status = status;
    EXPECT_EQ(FindResponseFault(response, expected),
              ResponseFault::kInvalidStatus);
  }
  response.status = 503;
  EXPECT_EQ(FindResponseFault(response, expected), ResponseFault::kNoRequestId);
  response.request_id = "a";
  EXPECT_EQ(FindResponseFault(response, expected), ResponseFault::kNone);
  response.status = 204;
  EXPECT_EQ(FindResponseFault(response, expected), ResponseFault::kNoStamp);
  expected.stamped = false;
  EXPECT_EQ(FindResponseFault(response, expected), ResponseFault::kNone);
  response.request_id = "b";
  EXPECT_EQ(FindResponseFault(response, expected),
            ResponseFault::kOtherRequest);
}

}  // namespace
}  // namespace mangoyoke
