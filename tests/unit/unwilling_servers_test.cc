// Requests from a caller's socket while servers say that they are draining or
// that they want no requests for a while.

#include <gtest/gtest.h>

#include <set>

#include "tests/support/traffic_fixture.h"

namespace mangoyoke {
namespace {

constexpr int kRequests = 20;
// With this between requests they go on for longer than a server is avoided
// after a single failure or rejection.
constexpr Millis kPause{50};

// The value of the header `name` in `response`; empty if absent.
std::string HeaderOf(const std::string& response, const std::string& name) {
  size_t at = response.find("\r\n" + name + ": ");
  if (at == std::string::npos) {
    return {};
  }
  at += name.size() + 4;
  return response.substr(at, response.find("\r\n", at) - at);
}

double RetryAfterSeconds(const std::string& response) {
  std::string value = HeaderOf(response, "Retry-After");
  return value.empty() ? -1 : std::stod(value);
}

class UnwillingServersTest : public GatewayTrafficTest {
 protected:
  void SendRequests(int count) {
    for (int i = 0; i < count; ++i) {
      EXPECT_TRUE(HasStatus(SendRequest(), 200));
    }
  }
};

// What a draining server responds with.
struct DrainingResponse {
  std::string name;
  FakeServer::Action action;
};

class DrainingServerTest
    : public UnwillingServersTest,
      public ::testing::WithParamInterface<DrainingResponse> {};

TEST_P(DrainingServerTest, ServerThatSaidSoGetsNoFurtherRequest) {
  FakeServer& draining = AddServer(ServerStage::kCombined, GetParam().action);
  AddServer(ServerStage::kCombined, RespondWith(http::status::ok, "fine"));
  StartGateway(RequestKind::kIdempotent, false, 2);
  for (int i = 0; i < kRequests; ++i) {
    SendRequests(1);
    std::this_thread::sleep_for(kPause);
  }
  EXPECT_LE(draining.requests_received(), 1);
}

INSTANTIATE_TEST_SUITE_P(
    Responses,
    DrainingServerTest,
    ::testing::Values(
        DrainingResponse{"Success", RespondDraining(http::status::ok, "last")},
        DrainingResponse{
            "WrongServer",
            RespondDraining(http::status::misdirected_request, "", true)},
        DrainingResponse{
            "Rejection",
            RespondDraining(http::status::service_unavailable, "", true)},
        DrainingResponse{
            "ServerError",
            RespondDraining(http::status::internal_server_error, "")}),
    [](const auto& info) { return info.param.name; });

TEST_F(UnwillingServersTest, PrefillServerThatDrainsGetsNoFurtherPrompt) {
  FakeServer& draining =
      AddServer(ServerStage::kPrefill,
                RespondDraining(http::status::ok,
                                R"({"Handle":"k","Tokens":9,"Version":1})"));
  AddServer(ServerStage::kPrefill, RespondWithKvHandle("k"));
  AddServer(ServerStage::kDecode, StreamEvents(io_, 1, 3, true));
  StartGateway(RequestKind::kStreaming, false, 1);
  SendRequests(kRequests);
  EXPECT_LE(draining.requests_received(), 1);
}

// The head of a stream says so while the stream goes on.
TEST_F(UnwillingServersTest, StreamOfADrainingServerEndsUndisturbed) {
  auto open = std::make_shared<std::shared_ptr<HttpResponder>>();
  FakeServer& draining = AddServer(
      ServerStage::kDecode, [open](const HttpRequest& request, auto responder) {
        http::response_header<> head;
        head.result(200);
        head.set(kRequestIdHeader, request[kRequestIdHeader]);
        head.set(kResponseStampHeader, "stamp");
        head.set(kDrainingHeader, "1");
        head.set(http::field::content_type, "text/event-stream");
        responder->BeginStream(head);
        responder->Write("id: 1\ndata: t\n\n");
        *open = responder;
      });
  StartGateway(RequestKind::kStreaming, false, 1);
  auto stream =
      std::async(std::launch::async, [this] { return SendRequest(); });
  while (draining.requests_received() == 0) {
    std::this_thread::sleep_for(Millis(5));
  }
  std::this_thread::sleep_for(Millis(50));
  EXPECT_TRUE(HasStatus(SendRequest(), 503));
  boost::asio::post(io_, [open] {
    (*open)->Write("id: 2\ndata: t\n\n");
    (*open)->EndStream();
    open->reset();
  });
  std::string received = stream.get();
  EXPECT_TRUE(HasStatus(received, 200));
  EXPECT_NE(received.find("id: 2"), std::string::npos);
  EXPECT_EQ(draining.requests_received(), 1);
}

// A request was admitted to a decode server and its prompt is being read when
// the server says, in another response, that it drains.
TEST_F(UnwillingServersTest,
       DecodeServerThatDrainsDuringThePrefillGetsNothing) {
  AddServer(ServerStage::kPrefill,
            [this](const HttpRequest& request, auto responder) {
              BackendResponse notice;
              notice.draining = true;
              context_.notices.RecordResponse(servers_[1]->record(), notice,
                                              "other", SteadyClock::now());
              RespondWithKvHandle("k")(request, responder);
            });
  FakeServer& draining =
      AddServer(ServerStage::kDecode, StreamEvents(io_, 1, 3, true));
  StartGateway(RequestKind::kStreaming, false, 1);
  EXPECT_TRUE(HasStatus(SendRequest(), 503));
  EXPECT_EQ(draining.requests_received(), 0);
}

TEST_F(UnwillingServersTest, RequestIsRejectedAtOnceIfAllServersDrain) {
  AddServer(ServerStage::kCombined, RespondDraining(http::status::ok, ""));
  AddServer(ServerStage::kCombined, RespondDraining(http::status::ok, ""));
  StartGateway(RequestKind::kNonIdempotent, false, 1);
  SendRequests(2);
  TimePoint sent = SteadyClock::now();
  std::string response = SendRequest();
  EXPECT_LT(SteadyClock::now() - sent, Millis(200));
  EXPECT_TRUE(HasStatus(response, 503));
  EXPECT_GT(RetryAfterSeconds(response), 0);
}

TEST_F(UnwillingServersTest, PausedServerGetsNothingUntilItsTimeIsOver) {
  FakeServer& paused = AddServer(ServerStage::kCombined, RespondPaused("0.8"));
  AddServer(ServerStage::kCombined, RespondWith(http::status::ok, "fine"));
  StartGateway(RequestKind::kNonIdempotent, false, 1);
  while (paused.requests_received() == 0) {
    SendRequests(1);
  }
  TimePoint rejected = SteadyClock::now();
  while (SteadyClock::now() - rejected < Millis(700)) {
    SendRequests(1);
  }
  EXPECT_EQ(paused.requests_received(), 1);
  std::this_thread::sleep_for(Millis(150));
  while (paused.requests_received() == 1 &&
         SteadyClock::now() - rejected < Seconds(3)) {
    SendRequests(1);
  }
  EXPECT_EQ(paused.requests_received(), 2);
}

TEST_F(UnwillingServersTest, CallersAreToldWhenTheFirstServerWantsWorkAgain) {
  AddServer(ServerStage::kCombined, RespondPaused("5"));
  AddServer(ServerStage::kCombined, RespondPaused("3"));
  StartGateway(RequestKind::kNonIdempotent, false, 1);
  std::set<std::string> times;
  for (int i = 0; i < 5; ++i) {
    TimePoint sent = SteadyClock::now();
    std::string response = SendRequest();
    EXPECT_LT(SteadyClock::now() - sent, Millis(200));
    EXPECT_TRUE(HasStatus(response, 503)) << response;
    if (i > 0) {  // The first one asked both servers.
      EXPECT_GT(RetryAfterSeconds(response), 2.5);
      EXPECT_LT(RetryAfterSeconds(response), 4.6);
    }
    times.insert(HeaderOf(response, "Retry-After"));
  }
  EXPECT_GT(times.size(), 2);
  EXPECT_LE(servers_[0]->requests_received(), 1);
  EXPECT_LE(servers_[1]->requests_received(), 1);
}

TEST_F(UnwillingServersTest, PausedDecodeServersAreAskedForNoReservation) {
  FakeServer& paused = AddServer(ServerStage::kDecode, RespondPaused("2"));
  AddServer(ServerStage::kPrefill, RespondWithKvHandle("k"));
  service_.engine = EngineSpec{};
  service_.engine->kv_tokens = 100'000;
  service_.engine->max_reservation_ttl = Millis(1000);
  service_.engine->handle_ttl = Millis(2000);
  StartGateway(RequestKind::kStreaming, false, 1);
  for (int i = 0; i < 5; ++i) {
    TimePoint sent = SteadyClock::now();
    EXPECT_TRUE(HasStatus(SendRequest(), 503));
    EXPECT_LT(SteadyClock::now() - sent, Millis(300));
  }
  EXPECT_EQ(paused.requests_received(), 1);
}

// The server says that it wants nothing while the prompt of a request that it
// has reserved memory for is being read.
TEST_F(UnwillingServersTest, PausedServerGetsNoReleaseOfAReservation) {
  AddServer(ServerStage::kPrefill,
            [this](const HttpRequest& request, auto responder) {
              BackendResponse notice;
              notice.pause = Seconds(2);
              context_.notices.RecordResponse(servers_[1]->record(), notice,
                                              "other", SteadyClock::now());
              RespondWithKvHandle("k")(request, responder);
            });
  FakeServer& paused =
      AddServer(ServerStage::kDecode,
                RespondWith(http::status::ok, R"({"Hold":"r","TtlMs":1000})"));
  service_.engine = EngineSpec{};
  service_.engine->kv_tokens = 100'000;
  service_.engine->max_reservation_ttl = Millis(1000);
  service_.engine->handle_ttl = Millis(500);
  StartGateway(RequestKind::kStreaming, false, 1);
  EXPECT_TRUE(HasStatus(SendRequest(), 503));
  std::this_thread::sleep_for(kPause);
  EXPECT_EQ(paused.requests_received(), 1);
  EXPECT_EQ(paused.releases_received(), 0);
}

// A storm of rejections by all servers: none gets more than one request within
// the time that it named.
TEST_F(UnwillingServersTest, StormOfRejectionsReachesEachServerOnce) {
  for (int i = 0; i < 4; ++i) {
    AddServer(ServerStage::kCombined, RespondPaused("2"));
  }
  StartGateway(RequestKind::kIdempotent, false, 4);
  for (int i = 0; i < kRequests; ++i) {
    EXPECT_TRUE(HasStatus(SendRequest(), 503));
  }
  for (const auto& server : servers_) {
    EXPECT_LE(server->requests_received(), 1);
  }
}

TEST_F(UnwillingServersTest, RejectedNonIdempotentRequestGoesElsewhere) {
  AddServer(ServerStage::kCombined, RespondPaused("2"));
  AddServer(ServerStage::kCombined, RespondWith(http::status::ok, "fine"));
  StartGateway(RequestKind::kNonIdempotent, false, 1);
  SendRequests(kRequests);
  EXPECT_LE(servers_[0]->requests_received(), 1);
  EXPECT_EQ(servers_[1]->requests_received(), kRequests);
}

}  // namespace
}  // namespace mangoyoke
