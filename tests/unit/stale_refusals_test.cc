// What a caller is told when a server repeats a refusal, or refuses without
// saying for certain that it did not execute the request.

#include <gtest/gtest.h>

#include <string>

#include "tests/support/raw_servers_fixture.h"

namespace mangoyoke {
namespace {

const char kNotExecuted[] = "X-Mangoyoke-Not-Executed: 1\r\n";

// The server runs the second try and writes the refusal of the first one again.
TEST_F(RawServersTest, RepeatedRefusalDoesNotHideThatTheRequestRan) {
  RawServer& server =
      AddRawServer(ServerStage::kCombined, [](const RawRequest& request) {
        std::string refusal =
            RawResponse("503 Full", request.id(), kNotExecuted, "");
        if (request.number == 1) {
          return RawAnswer{refusal};
        }
        std::string done = RawResponse("200 OK", request.id(), "", "done");
        return request.on_connection > 1
                   ? RawAnswer{refusal, RawAnswer::End::kKeep, done}
                   : RawAnswer{done};
      });
  StartRaw(RequestKind::kNonIdempotent, false, 1);
  ReceivedResponse response = Receive();
  EXPECT_TRUE(HasStatus(response.bytes, 200)) << response.bytes;
  EXPECT_EQ(response.body, "done");
  EXPECT_EQ(server.requests(), 2);
}

// The same with a decode server, which is chosen again after its refusal.
TEST_F(RawServersTest, RepeatedRefusalOfADecodeServerIsNotTheNextAnswer) {
  RawServer& server =
      AddRawServer(ServerStage::kDecode, [](const RawRequest& request) {
        std::string refusal =
            RawResponse("503 Full", request.id(), kNotExecuted, "");
        if (request.number == 1) {
          return RawAnswer{refusal};
        }
        std::string stream = RawResponse("200 OK", request.id(),
                                         "Content-Type: text/event-stream\r\n",
                                         "id: 1\ndata: t\n\n");
        return request.on_connection > 1
                   ? RawAnswer{refusal, RawAnswer::End::kKeep, stream}
                   : RawAnswer{stream};
      });
  StartRaw(RequestKind::kStreaming, false, 1);
  ReceivedResponse response = Receive();
  EXPECT_TRUE(response.complete) << response.bytes;
  EXPECT_EQ(response.body, "id: 1\ndata: t\n\n");
  EXPECT_EQ(server.requests(), 2);
}

// Whose request a refusal without id concerns is not known.
TEST_F(RawServersTest, RefusalWithoutTheRequestsIdPromisesNothing) {
  for (const char* status : {"503 Full", "421 Misdirected Request"}) {
    AddRawServer(ServerStage::kCombined, [status](const RawRequest&) {
      return RawAnswer{RawResponse(status, "", kNotExecuted, "")};
    });
  }
  StartRaw(RequestKind::kNonIdempotent, false, 1);
  for (int i = 0; i < 4; ++i) {
    ReceivedResponse response = Receive();
    EXPECT_TRUE(HasStatus(response.bytes, 502)) << response.bytes;
  }
  EXPECT_EQ(raw_servers_[0]->requests() + raw_servers_[1]->requests(), 4);
}

// Without the statement that it was not executed, a stream that must not be
// repeated may have run.
TEST_F(RawServersTest, StreamsRefusalWithoutAPromiseIsNotPassedOnAsOne) {
  const char* status = "";
  AddRawServer(ServerStage::kDecode, [&status](const RawRequest& request) {
    return RawAnswer{RawResponse(status, request.id(), "", "no")};
  });
  StartRaw(RequestKind::kStreaming, false, 1);
  for (const char* next : {"408 Request Timeout", "429 Too Many Requests",
                           "503 Service Unavailable"}) {
    status = next;
    ReceivedResponse response = Receive();
    EXPECT_TRUE(HasStatus(response.bytes, 502)) << next << response.bytes;
  }
}

}  // namespace
}  // namespace mangoyoke
