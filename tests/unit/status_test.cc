// Responses of servers whose status is none of HTTP/1.1.

#include <gtest/gtest.h>

#include <string>

#include "tests/support/raw_servers_fixture.h"

namespace mangoyoke {
namespace {

class StatusTest : public RawServersTest,
                   public ::testing::WithParamInterface<const char*> {};

// A server in trouble sent the status 000, and its caller got that.
TEST_P(StatusTest, NoStatusReachesNoCaller) {
  for (ServerStage stage : {ServerStage::kCombined, ServerStage::kDecode}) {
    AddRawServer(stage, [](const RawRequest& request) {
      return RawAnswer{RawResponse(GetParam(), request.id(), "", "body"),
                       RawAnswer::End::kClose};
    });
  }
  StartRaw(RequestKind::kNonIdempotent, false, 1);
  ReceivedResponse response = Receive();
  EXPECT_TRUE(HasStatus(response.bytes, 502)) << response.bytes;
}

INSTANTIATE_TEST_SUITE_P(Statuses,
                         StatusTest,
                         ::testing::Values("000 Nothing",
                                           "001 One",
                                           "099 Almost",
                                           "600 Beyond",
                                           "999 Far Beyond"));

// Nothing was asked to switch, and what follows is no HTTP.
TEST_F(RawServersTest, SwitchOfProtocolsIsNoInterimResponse) {
  AddRawServer(ServerStage::kCombined, [](const RawRequest& request) {
    return RawAnswer{"HTTP/1.1 101 Switching Protocols\r\n\r\n" +
                     RawResponse("200 OK", request.id(), "", "body")};
  });
  StartRaw(RequestKind::kNonIdempotent, false, 1);
  ReceivedResponse response = Receive();
  EXPECT_TRUE(HasStatus(response.bytes, 502)) << response.bytes;
}

}  // namespace
}  // namespace mangoyoke
