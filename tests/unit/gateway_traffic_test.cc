// Requests from a caller's socket through the gateway to backend servers and
// back, with servers that reject, fail, reset connections or do not respond.

#include <gtest/gtest.h>

#include <boost/asio/write.hpp>
#include <functional>

#include "platform/wire_names.h"
#include "tests/support/traffic_fixture.h"

namespace mangoyoke {
namespace {

using platform::kKvSourceHeader;
using platform::kLastEventIdHeader;

TEST_F(GatewayTrafficTest, NonIdempotentRequestIsNeverSentAgainAfterAReset) {
  AddServer(ServerStage::kCombined, ResetConnection());
  AddServer(ServerStage::kCombined, ResetConnection());
  StartGateway(RequestKind::kNonIdempotent, false, 2);
  std::string response = SendRequest();
  EXPECT_TRUE(HasStatus(response, 502)) << response;
  EXPECT_EQ(response.find("stamp"), std::string::npos);
  EXPECT_EQ(servers_[0]->requests_received() + servers_[1]->requests_received(),
            1);
}

TEST_F(GatewayTrafficTest,
       NonIdempotentRequestThatAServerRejectedGoesToAnother) {
  AddServer(ServerStage::kCombined, RespondNotExecuted());
  AddServer(ServerStage::kCombined, RespondWith(http::status::ok, "done"));
  StartGateway(RequestKind::kNonIdempotent, false, 1);
  for (int i = 0; i < 8; ++i) {
    std::string response = SendRequest();
    EXPECT_TRUE(HasStatus(response, 200)) << response;
    EXPECT_TRUE(response.ends_with("done"));
  }
}

TEST_F(GatewayTrafficTest, RefusalIsAPromiseOnlyWhenNothingRan) {
  AddServer(ServerStage::kCombined, RespondNotExecuted());
  StartGateway(RequestKind::kNonIdempotent, false, 1);
  std::string response = SendRequest();
  EXPECT_TRUE(HasStatus(response, 503)) << response;
  EXPECT_NE(response.find("Retry-After"), std::string::npos);
}

TEST_F(GatewayTrafficTest, ServersOwn503WithoutAPromiseBecomesA502) {
  AddServer(ServerStage::kCombined,
            RespondWith(http::status::service_unavailable, "failed"));
  StartGateway(RequestKind::kNonIdempotent, false, 1);
  std::string response = SendRequest();
  EXPECT_TRUE(HasStatus(response, 502)) << response;
  EXPECT_EQ(response.find("stamp"), std::string::npos);
}

TEST_F(GatewayTrafficTest,
       IdempotentRequestIsSentToAnotherServerAfterAFailure) {
  AddServer(ServerStage::kCombined, ResetConnection());
  AddServer(ServerStage::kCombined, RespondWith(http::status::ok, "done"));
  StartGateway(RequestKind::kIdempotent, false, 2);
  for (int i = 0; i < 6; ++i) {
    EXPECT_TRUE(HasStatus(SendRequest("GET"), 200));
  }
}

TEST_F(GatewayTrafficTest, IdempotentRequestRunsOnNoMoreServersThanAllowed) {
  for (int i = 0; i < 4; ++i) {
    AddServer(ServerStage::kCombined,
              RespondWith(http::status::bad_gateway, "no"));
  }
  StartGateway(RequestKind::kIdempotent, false, 2);
  EXPECT_TRUE(HasStatus(SendRequest("GET"), 502));
  int sends = 0;
  for (const auto& server : servers_) {
    sends += server->requests_received();
  }
  EXPECT_EQ(sends, 2);
}

TEST_F(GatewayTrafficTest, SilentServerEndsWithTheRoutesTimeout) {
  AddServer(ServerStage::kCombined, NeverRespond());
  StartGateway(RequestKind::kNonIdempotent, false, 1);
  TimePoint start = SteadyClock::now();
  EXPECT_TRUE(HasStatus(SendRequest(), 504));
  EXPECT_LT(SteadyClock::now() - start, Millis(1900));
  EXPECT_EQ(ActiveRequests(), 0U);
}

TEST_F(GatewayTrafficTest, UnreachableServerCostsNothing) {
  AddServer(ServerStage::kCombined, RespondWith(http::status::ok, "done"));
  StartGateway(RequestKind::kNonIdempotent, false, 1);
  ListUnreachableServers(1, false);
  for (int i = 0; i < 6; ++i) {
    EXPECT_TRUE(HasStatus(SendRequest(), 200));
  }
}

// One server broke off in mid-request, then no connection to any other
// succeeds.
TEST_F(GatewayTrafficTest, RequestThatMayHaveRunIsNotReportedAsNotExecuted) {
  AddServer(ServerStage::kCombined, ResetConnection());
  StartGateway(RequestKind::kIdempotent, false, 5);
  ListUnreachableServers(4, true);
  std::string response = SendRequest("GET");
  EXPECT_TRUE(HasStatus(response, 502)) << response;
  EXPECT_EQ(servers_[0]->requests_received(), 1);
}

TEST_F(GatewayTrafficTest, StreamPassesThroughPrefillAndDecode) {
  AddServer(ServerStage::kPrefill, RespondWithKvHandle("h1"));
  AddServer(ServerStage::kDecode, StreamEvents(io_, 1, 3, true));
  StartGateway(RequestKind::kStreaming, false, 1);
  std::string response = SendRequest();
  EXPECT_TRUE(HasStatus(response, 200)) << response;
  EXPECT_NE(response.find("id: 3\ndata: t\n\n"), std::string::npos);
  EXPECT_TRUE(response.ends_with("0\r\n\r\n")) << response;
}

TEST_F(GatewayTrafficTest, CutStreamDoesNotLookCompleteAndIsNotRepeated) {
  AddServer(ServerStage::kPrefill, RespondWithKvHandle("h1"));
  AddServer(ServerStage::kDecode, StreamEvents(io_, 1, 2, false));
  AddServer(ServerStage::kDecode, StreamEvents(io_, 1, 2, false));
  StartGateway(RequestKind::kStreaming, false, 1);
  std::string response = SendRequest();
  EXPECT_FALSE(response.ends_with("0\r\n\r\n")) << response;
  EXPECT_EQ(response.find("id: 99"), std::string::npos);
  EXPECT_EQ(servers_[1]->requests_received() + servers_[2]->requests_received(),
            1);
}

TEST_F(GatewayTrafficTest, ResumableStreamGoesOnAfterTheLastWholeEvent) {
  AddServer(ServerStage::kPrefill, RespondWithKvHandle("h1"));
  std::atomic<int> decodes{0};
  FakeServer::Action decode = [this, &decodes](const HttpRequest& request,
                                               auto responder) {
    EXPECT_EQ(request[kKvSourceHeader], "127.0.0.1:18941/h1");
    if (decodes++ == 0) {
      EXPECT_EQ(request.count(kLastEventIdHeader), 0U);
      StreamEvents(io_, 1, 2, false)(request, responder);
    } else {
      EXPECT_EQ(request[kLastEventIdHeader], "2");
      StreamEvents(io_, 3, 4, true)(request, responder);
    }
  };
  AddServer(ServerStage::kDecode, decode);
  AddServer(ServerStage::kDecode, decode);
  StartGateway(RequestKind::kStreaming, true, 2);
  std::string response = SendRequest();
  EXPECT_TRUE(response.ends_with("0\r\n\r\n")) << response;
  for (int id = 1; id <= 4; ++id) {
    EXPECT_NE(response.find("id: " + std::to_string(id) + "\n"),
              std::string::npos)
        << response;
  }
  EXPECT_EQ(response.find("id: 99"), std::string::npos);
  EXPECT_EQ(decodes, 2);
}

// Sends events 1 and 2, then `repeated` every 20 ms until the connection
// closes.
class StalledStream : public std::enable_shared_from_this<StalledStream> {
 public:
  StalledStream(boost::asio::io_context& io, std::string repeated)
      : repeated_(std::move(repeated)), timer_(io) {}

  void Start(std::shared_ptr<HttpResponder> responder) {
    responder_ = std::move(responder);
    responder_->SetDisconnectCallback([self = shared_from_this()] {
      self->timer_.cancel();
      self->responder_.reset();
    });
    responder_->Write("id: 1\ndata: t\n\nid: 2\ndata: t\n\n");
    WriteNext();
  }

 private:
  void WriteNext() {
    timer_.expires_after(Millis(20));
    timer_.async_wait(
        [self = shared_from_this()](const boost::system::error_code& error) {
          if (!error && self->responder_) {
            self->responder_->Write(std::string(self->repeated_));
            self->WriteNext();
          }
        });
  }

  std::string repeated_;
  boost::asio::steady_timer timer_;
  std::shared_ptr<HttpResponder> responder_;
};

// A server that sends comments, single bytes or an event without end makes no
// progress. The stream is resumed at another one.
TEST_F(GatewayTrafficTest, StreamThatStallsWithBytesIsResumedElsewhere) {
  const std::string kRepeated[] = {": wait\n\n", "x",
                                   std::string(1 << 18, 'x')};
  std::atomic<int> decodes{0};
  FakeServer::Action decode = [&](const HttpRequest& request, auto responder) {
    int number = decodes++;
    if (number % 2 == 1) {
      StreamEvents(io_, 3, 4, true)(request, responder);
      return;
    }
    http::response_header<> head;
    head.result(200);
    head.set(kRequestIdHeader, request[kRequestIdHeader]);
    head.set(kResponseStampHeader, "stamp");
    head.set(http::field::content_type, "text/event-stream");
    responder->BeginStream(head);
    std::make_shared<StalledStream>(io_, kRepeated[number / 2])
        ->Start(responder);
  };
  AddServer(ServerStage::kPrefill, RespondWithKvHandle("h1"));
  AddServer(ServerStage::kDecode, decode);
  AddServer(ServerStage::kDecode, decode);
  StartGateway(RequestKind::kStreaming, true, 2);
  for (const std::string& repeated : kRepeated) {
    std::string response = SendRequest();
    EXPECT_TRUE(response.ends_with("0\r\n\r\n")) << repeated.size();
    EXPECT_NE(response.find("id: 4\n"), std::string::npos) << repeated.size();
  }
}

// A prefill can take longer than a leaving server still accepts requests, so
// the decode server must be chosen again if it leaves meanwhile.
TEST_F(GatewayTrafficTest, DecodeServerThatLeavesDuringThePrefillGetsNothing) {
  AddServer(ServerStage::kPrefill,
            [this](const HttpRequest& request, auto responder) {
              ServerSnapshot snapshot = *context_.servers;
              snapshot.servers["server-1"].state = ServerState::kLeaving;
              snapshot.servers["server-2"].state = ServerState::kReady;
              context_.servers = std::make_shared<ServerSnapshot>(snapshot);
              RespondWithKvHandle("h1")(request, responder);
            });
  AddServer(ServerStage::kDecode, StreamEvents(io_, 1, 1, true));
  AddServer(ServerStage::kDecode, StreamEvents(io_, 1, 1, true));
  StartGateway(RequestKind::kStreaming, false, 1);
  std::promise<void> prepared;
  boost::asio::post(io_, [&] {
    ServerSnapshot only_first = *context_.servers;
    only_first.servers["server-2"].state = ServerState::kLeaving;
    context_.servers = std::make_shared<ServerSnapshot>(only_first);
    prepared.set_value();
  });
  prepared.get_future().wait();
  EXPECT_TRUE(HasStatus(SendRequest(), 200));
  EXPECT_EQ(servers_[1]->requests_received(), 0);
  EXPECT_EQ(servers_[2]->requests_received(), 1);
}

TEST_F(GatewayTrafficTest, DecodeServerReadsThePromptWhilePrefillIsLate) {
  AddServer(ServerStage::kPrefill, RespondWithKvHandle("h1"));
  AddServer(ServerStage::kDecode, StreamEvents(io_, 1, 1, true));
  context_.load.Charge("server-0", LoadCharge{30, 90'000, 0});
  StartGateway(RequestKind::kStreaming, false, 1);
  EXPECT_TRUE(HasStatus(SendRequest(), 200));
  EXPECT_EQ(servers_[0]->requests_received(), 0);
}

// The prefill server has a long queue and the decode server is prefilling
// another prompt, so no server can prefill this prompt in time.
TEST_F(GatewayTrafficTest, PrefillQueueBeyondTheTargetIsRefusedNotRead) {
  AddServer(ServerStage::kPrefill, RespondWithKvHandle("h1"));
  AddServer(ServerStage::kDecode, StreamEvents(io_, 1, 1, true));
  context_.load.Charge("server-0", LoadCharge{30, 90'000, 0});
  context_.load.Charge("server-1", LoadCharge{1, 900, 0});
  StartGateway(RequestKind::kStreaming, false, 1);
  EXPECT_TRUE(HasStatus(SendRequest(), 429));
  EXPECT_EQ(servers_[0]->requests_received(), 0);
}

// A late request must not wait beyond its limit, however often servers reject
// its KV reservation.
TEST_F(GatewayTrafficTest, LateRequestIsRefusedInTimeThoughServersHaveNoRoom) {
  AddServer(ServerStage::kPrefill, RespondWithKvHandle("h1"));
  AddServer(ServerStage::kDecode, RespondNotExecuted());
  service_.engine = EngineSpec{};
  service_.engine->kv_tokens = 3000;
  service_.engine->max_reservation_ttl = Millis(2000);
  StartGateway(RequestKind::kStreaming, false, 1);
  context_.caller_retry_detector.RecordTimeout("r", Millis(3000));
  TimePoint start = SteadyClock::now();
  std::string response =
      SendRequest("POST", "X-Mangoyoke-Deadline-Ms: 1400\r\n");
  EXPECT_TRUE(HasStatus(response, 429)) << response;
  EXPECT_LT(SteadyClock::now() - start, Millis(950));
  EXPECT_EQ(servers_[0]->requests_received(), 0);
}

// The first try of a caller is rejected early, so that the target latency can
// still be met by a retry; a late caller retry waits for capacity for longer.
TEST_F(GatewayTrafficTest, RepeatWaitsLongerForRoomThanAFirstTry) {
  AddServer(ServerStage::kPrefill, RespondWithKvHandle("h1"));
  AddServer(ServerStage::kDecode, StreamEvents(io_, 1, 1, true));
  service_.engine = EngineSpec{};
  service_.engine->kv_tokens = 4000;
  uint64_t busy = context_.load.Charge("server-1", LoadCharge{1, 0, 3900});
  StartGateway(RequestKind::kStreaming, false, 1);
  TimePoint start = SteadyClock::now();
  EXPECT_TRUE(
      HasStatus(SendRequest("POST", "X-Mangoyoke-Deadline-Ms: 1400\r\n"), 429));
  EXPECT_LT(SteadyClock::now() - start, Millis(400));
  std::thread release([this, busy] {
    std::this_thread::sleep_for(Millis(450));
    boost::asio::post(io_, [this, busy] { context_.load.Release(busy); });
  });
  EXPECT_TRUE(
      HasStatus(SendRequest("POST", "X-Mangoyoke-Deadline-Ms: 900\r\n"), 200));
  release.join();
}

// Handles the first request with `first` and later ones with `then`.
FakeServer::Action FirstThen(FakeServer::Action first,
                             FakeServer::Action then) {
  auto calls = std::make_shared<std::atomic<int>>(0);
  return [=](const HttpRequest& request, auto responder) {
    ((*calls)++ == 0 ? first : then)(request, responder);
  };
}

// A decode server without capacity after all must not cause a second prefill of
// the same prompt.
TEST_F(GatewayTrafficTest, ReadPromptWaitsForRoomAfterARefusal) {
  AddServer(ServerStage::kPrefill, RespondWithKvHandle("h1"));
  AddServer(ServerStage::kDecode,
            FirstThen(RespondNotExecuted(), StreamEvents(io_, 1, 1, true)));
  StartGateway(RequestKind::kStreaming, false, 1);
  EXPECT_TRUE(HasStatus(SendRequest(), 200));
  EXPECT_EQ(servers_[0]->requests_received(), 1);
  EXPECT_EQ(servers_[1]->requests_received(), 2);
}

// No prefill may start before a decode server confirmed the KV reservation:
// without a decode server its result is useless.
TEST_F(GatewayTrafficTest, PromptIsReadOnlyForAServerThatReservedRoom) {
  AddServer(ServerStage::kPrefill, RespondWithKvHandle("h1"));
  AddServer(ServerStage::kDecode, ResetConnection());
  AddServer(ServerStage::kDecode, ResetConnection());
  service_.engine = EngineSpec{};
  service_.engine->kv_tokens = 100'000;
  service_.engine->max_reservation_ttl = Millis(2000);
  StartGateway(RequestKind::kStreaming, false, 1);
  EXPECT_TRUE(HasStatus(SendRequest(), 429));
  EXPECT_EQ(servers_[0]->requests_received(), 0);
}

// A decode server that rejects a request in spite of its own KV reservation
// could not fetch the prefill result, so that result must not be used again.
TEST_F(GatewayTrafficTest, HandleIsNotUsedAgainAfterAServerWithRoomRefusedIt) {
  std::atomic<int> prefills{0};
  AddServer(ServerStage::kPrefill, [&prefills](const HttpRequest& request,
                                               auto responder) {
    RespondWithKvHandle("h" + std::to_string(++prefills))(request, responder);
  });
  std::vector<std::string> sources;
  AddServer(ServerStage::kDecode, [this, &sources](const HttpRequest& request,
                                                   auto responder) {
    if (request.target() == "/v1/hold-take") {
      RespondWith(http::status::ok, R"({"Hold":"k1"})")(request, responder);
      return;
    }
    sources.emplace_back(request[kKvSourceHeader]);
    (sources.size() == 1 ? RespondNotExecuted()
                         : StreamEvents(io_, 1, 1, true))(request, responder);
  });
  service_.engine = EngineSpec{};
  service_.engine->kv_tokens = 3000;
  service_.engine->max_reservation_ttl = Millis(2000);
  service_.engine->handle_ttl = Millis(500);
  StartGateway(RequestKind::kStreaming, false, 1);
  EXPECT_TRUE(HasStatus(SendRequest(), 200));
  EXPECT_EQ(sources, (std::vector<std::string>{"127.0.0.1:18941/h1",
                                               "127.0.0.1:18941/h2"}));
  EXPECT_EQ(servers_[0]->releases_received(), 1);
}

TEST_F(GatewayTrafficTest, PrefillThatFailsIsRepeatedElsewhere) {
  AddServer(ServerStage::kPrefill, ResetConnection());
  AddServer(ServerStage::kPrefill, RespondWithKvHandle("h2"));
  AddServer(ServerStage::kDecode, StreamEvents(io_, 1, 1, true));
  StartGateway(RequestKind::kStreaming, false, 1);
  for (int i = 0; i < 4; ++i) {
    EXPECT_TRUE(HasStatus(SendRequest(), 200));
  }
}

TEST_F(GatewayTrafficTest, PrefillIsReleasedWhenTheCallerLeaves) {
  AddServer(ServerStage::kPrefill, RespondWithKvHandle("h1"));
  AddServer(ServerStage::kDecode, RespondNotExecuted());
  StartGateway(RequestKind::kStreaming, false, 1);
  EXPECT_TRUE(HasStatus(SendRequest(), 429));
  for (int i = 0; i < 100 && servers_[0]->releases_received() == 0; ++i) {
    std::this_thread::sleep_for(Millis(10));
  }
  EXPECT_EQ(servers_[0]->releases_received(), 1);
}

TEST_F(GatewayTrafficTest, CallerThatLeavesEndsTheStreamsWork) {
  std::atomic<bool> disconnected{false};
  AddServer(ServerStage::kPrefill, RespondWithKvHandle("h1"));
  AddServer(ServerStage::kDecode, [&](const HttpRequest&, auto responder) {
    responder->SetDisconnectCallback([&disconnected] { disconnected = true; });
    static std::shared_ptr<HttpResponder> kept;
    kept = responder;
  });
  StartGateway(RequestKind::kStreaming, false, 1);
  {
    boost::asio::io_context io;
    Tcp::socket socket(io);
    socket.connect(
        Tcp::endpoint(boost::asio::ip::address_v4::loopback(), kListenPort));
    boost::asio::write(
        socket, boost::asio::buffer(
                    std::string("POST /x HTTP/1.1\r\nHost: h\r\n"
                                "X-Mangoyoke-Request-Id: id-1\r\n"
                                "X-Mangoyoke-Token-Counts: 900,100\r\n\r\n")));
    for (int i = 0; i < 100 && servers_[1]->requests_received() == 0; ++i) {
      std::this_thread::sleep_for(Millis(10));
    }
  }
  for (int i = 0; i < 50 && !disconnected; ++i) {
    std::this_thread::sleep_for(Millis(10));
  }
  EXPECT_TRUE(disconnected);
}

// When the caller disconnects, an attempt that may be executing is not
// cancelled, but there are no further attempts.
TEST_F(GatewayTrafficTest, NothingIsSentAgainForACallerThatLeft) {
  auto rejects_late = [this](const HttpRequest& request, auto responder) {
    auto timer = std::make_shared<boost::asio::steady_timer>(io_, Millis(150));
    timer->async_wait(
        [timer, request, responder](const boost::system::error_code&) {
          RespondNotExecuted()(request, responder);
        });
  };
  AddServer(ServerStage::kCombined, rejects_late);
  AddServer(ServerStage::kCombined, rejects_late);
  StartGateway(RequestKind::kNonIdempotent, false, 1);
  auto arrivals = [this] {
    return servers_[0]->requests_received() + servers_[1]->requests_received();
  };
  {
    boost::asio::io_context io;
    Tcp::socket socket(io);
    socket.connect(
        Tcp::endpoint(boost::asio::ip::address_v4::loopback(), kListenPort));
    boost::asio::write(socket, boost::asio::buffer(std::string(
                                   "POST /x HTTP/1.1\r\nHost: h\r\n"
                                   "X-Mangoyoke-Request-Id: id-1\r\n"
                                   "Content-Length: 0\r\n\r\n")));
    for (int i = 0; i < 1000 && arrivals() == 0; ++i) {
      std::this_thread::sleep_for(Millis(1));
    }
  }
  for (int i = 0; i < 100 && ActiveRequests() > 0; ++i) {
    std::this_thread::sleep_for(Millis(10));
  }
  EXPECT_EQ(ActiveRequests(), 0U);
  EXPECT_EQ(arrivals(), 1);
}

}  // namespace
}  // namespace mangoyoke
