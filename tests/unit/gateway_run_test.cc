// Requests from a caller's socket through the gateway to backend servers and
// back, with servers that fail in every way that matters.

#include <gtest/gtest.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <future>
#include <thread>

#include "gateway/traffic/front_handler.h"
#include "platform/http_codec.h"
#include "platform/names.h"
#include "tests/support/fake_server.h"

namespace mangoyoke {
namespace {

using platform::kKvSource;
using platform::kLastEventId;

constexpr char kFront[] = "127.0.0.1:18940";
constexpr int kFrontPort = 18940;
constexpr int kFirstServerPort = 18941;
// The process has run for longer than a window of the repeat budget.
constexpr Duration kProcessAge = Seconds(60);

class RunTest : public ::testing::Test {
 protected:
  RunTest()
      : context_(io_,
                 callers_,
                 backends_,
                 metrics_,
                 RepeatBudgetOptions{},
                 SteadyClock::now() - kProcessAge),
        handler_(context_),
        front_(io_, handler_) {}

  ~RunTest() override {
    if (thread_.joinable()) {
      io_.stop();
      thread_.join();
    }
  }

  FakeServer& AddServer(ServerStage stage, FakeServer::Action action) {
    BackendServer record;
    record.id = "server-" + std::to_string(servers_.size());
    record.service = "s";
    record.zone = "z";
    record.address =
        "127.0.0.1:" +
        std::to_string(kFirstServerPort + static_cast<int>(servers_.size()));
    record.slots = 4;
    record.stage = stage;
    servers_.push_back(
        std::make_unique<FakeServer>(io_, record, std::move(action)));
    return *servers_.back();
  }

  void Serve(RequestKind kind, bool resumable, int max_servers) {
    RouteRule route;
    route.id = "r";
    route.host = "h";
    route.prefix = "/";
    route.kind = kind;
    route.timeout = Millis(1500);
    route.target_latency = Millis(400);
    route.target_gap = Millis(100);
    route.max_servers = max_servers;
    route.resumable = resumable;
    route.services = {{"s", 1}};
    context_.config = std::make_shared<ServingConfig>(
        1, std::vector<RouteRule>{route}, std::vector<ServiceRule>{service_},
        CallerLimits{});
    ServerView view;
    for (const auto& server : servers_) {
      view.servers[server->record().id] = server->record();
    }
    context_.servers = std::make_shared<ServerView>(view);
    ASSERT_TRUE(Ok(front_.Listen(kFront)));
    thread_ = std::thread([this] { io_.run(); });
  }

  // Sends one request and returns all that comes back.
  std::string Ask(const std::string& method = "POST",
                  const std::string& headers = "") {
    boost::asio::io_context io;
    Tcp::socket socket(io);
    socket.connect(
        Tcp::endpoint(boost::asio::ip::address_v4::loopback(), kFrontPort));
    std::string request = method +
                          " /x HTTP/1.1\r\nHost: h\r\n"
                          "X-Mangoyoke-Request-Id: id-1\r\n"
                          "X-Mangoyoke-Token-Counts: 900,100\r\n" +
                          headers + "Connection: close\r\n\r\n";
    boost::asio::write(socket, boost::asio::buffer(request));
    std::string received;
    boost::system::error_code error;
    boost::asio::read(socket, boost::asio::dynamic_buffer(received), error);
    return received;
  }

  size_t OpenRuns() {
    std::promise<size_t> open;
    boost::asio::post(io_, [&] { open.set_value(handler_.open()); });
    return open.get_future().get();
  }

  boost::asio::io_context io_{1};
  platform::PlatformCallerCodec callers_;
  platform::PlatformBackendCodec backends_;
  Metrics metrics_;
  TrafficContext context_;
  FrontHandler handler_;
  HttpListener front_;
  ServiceRule service_{"s"};
  std::vector<std::unique_ptr<FakeServer>> servers_;
  std::thread thread_;
};

bool HasStatus(const std::string& answer, int status) {
  return answer.starts_with("HTTP/1.1 " + std::to_string(status));
}

TEST_F(RunTest, NonIdempotentRequestIsNeverSentAgainAfterAReset) {
  AddServer(ServerStage::kWhole, Resets());
  AddServer(ServerStage::kWhole, Resets());
  Serve(RequestKind::kNonIdempotent, false, 2);
  std::string answer = Ask();
  EXPECT_TRUE(HasStatus(answer, 502)) << answer;
  EXPECT_EQ(answer.find("stamp"), std::string::npos);
  EXPECT_EQ(servers_[0]->requests() + servers_[1]->requests(), 1);
}

TEST_F(RunTest, NonIdempotentRequestThatAServerRejectedGoesToAnother) {
  AddServer(ServerStage::kWhole, Rejects());
  AddServer(ServerStage::kWhole, Answers(http::status::ok, "done"));
  Serve(RequestKind::kNonIdempotent, false, 1);
  for (int i = 0; i < 8; ++i) {
    std::string answer = Ask();
    EXPECT_TRUE(HasStatus(answer, 200)) << answer;
    EXPECT_TRUE(answer.ends_with("done"));
  }
}

TEST_F(RunTest, RefusalIsAPromiseOnlyWhenNothingRan) {
  AddServer(ServerStage::kWhole, Rejects());
  Serve(RequestKind::kNonIdempotent, false, 1);
  std::string answer = Ask();
  EXPECT_TRUE(HasStatus(answer, 503)) << answer;
  EXPECT_NE(answer.find("Retry-After"), std::string::npos);
}

TEST_F(RunTest, ServersOwn503WithoutAPromiseBecomesA502) {
  AddServer(ServerStage::kWhole,
            Answers(http::status::service_unavailable, "failed"));
  Serve(RequestKind::kNonIdempotent, false, 1);
  std::string answer = Ask();
  EXPECT_TRUE(HasStatus(answer, 502)) << answer;
  EXPECT_EQ(answer.find("stamp"), std::string::npos);
}

TEST_F(RunTest, IdempotentRequestIsSentToAnotherServerAfterAFailure) {
  AddServer(ServerStage::kWhole, Resets());
  AddServer(ServerStage::kWhole, Answers(http::status::ok, "done"));
  Serve(RequestKind::kIdempotent, false, 2);
  for (int i = 0; i < 6; ++i) {
    EXPECT_TRUE(HasStatus(Ask("GET"), 200));
  }
}

TEST_F(RunTest, IdempotentRequestRunsOnNoMoreServersThanAllowed) {
  for (int i = 0; i < 4; ++i) {
    AddServer(ServerStage::kWhole, Answers(http::status::bad_gateway, "no"));
  }
  Serve(RequestKind::kIdempotent, false, 2);
  EXPECT_TRUE(HasStatus(Ask("GET"), 502));
  int sends = 0;
  for (const auto& server : servers_) {
    sends += server->requests();
  }
  EXPECT_EQ(sends, 2);
}

TEST_F(RunTest, SilentServerEndsWithTheRoutesTimeout) {
  AddServer(ServerStage::kWhole, Silent());
  Serve(RequestKind::kNonIdempotent, false, 1);
  TimePoint start = SteadyClock::now();
  EXPECT_TRUE(HasStatus(Ask(), 504));
  EXPECT_LT(SteadyClock::now() - start, Millis(1900));
  EXPECT_EQ(OpenRuns(), 0U);
}

TEST_F(RunTest, UnreachableServerCostsNothing) {
  AddServer(ServerStage::kWhole, Answers(http::status::ok, "done"));
  Serve(RequestKind::kNonIdempotent, false, 1);
  std::promise<void> added;
  boost::asio::post(io_, [&] {
    ServerView view = *context_.servers;
    BackendServer gone;
    gone.id = "gone";
    gone.service = "s";
    gone.address = "127.0.0.1:1";
    gone.slots = 1000;  // The more attractive one.
    view.servers["gone"] = gone;
    context_.servers = std::make_shared<ServerView>(view);
    added.set_value();
  });
  added.get_future().wait();
  for (int i = 0; i < 6; ++i) {
    EXPECT_TRUE(HasStatus(Ask(), 200));
  }
}

TEST_F(RunTest, StreamPassesThroughPrefillAndDecode) {
  AddServer(ServerStage::kPrefill, Reads("h1"));
  AddServer(ServerStage::kDecode, Streams(io_, 1, 3, true));
  Serve(RequestKind::kStreaming, false, 1);
  std::string answer = Ask();
  EXPECT_TRUE(HasStatus(answer, 200)) << answer;
  EXPECT_NE(answer.find("id: 3\ndata: t\n\n"), std::string::npos);
  EXPECT_TRUE(answer.ends_with("0\r\n\r\n")) << answer;
}

TEST_F(RunTest, CutStreamDoesNotLookCompleteAndIsNotRepeated) {
  AddServer(ServerStage::kPrefill, Reads("h1"));
  AddServer(ServerStage::kDecode, Streams(io_, 1, 2, false));
  AddServer(ServerStage::kDecode, Streams(io_, 1, 2, false));
  Serve(RequestKind::kStreaming, false, 1);
  std::string answer = Ask();
  EXPECT_FALSE(answer.ends_with("0\r\n\r\n")) << answer;
  EXPECT_EQ(answer.find("id: 99"), std::string::npos);
  EXPECT_EQ(servers_[1]->requests() + servers_[2]->requests(), 1);
}

TEST_F(RunTest, ResumableStreamGoesOnAfterTheLastWholeEvent) {
  AddServer(ServerStage::kPrefill, Reads("h1"));
  std::atomic<int> decodes{0};
  FakeServer::Action decode = [this, &decodes](const HttpRequest& request,
                                               auto exchange) {
    EXPECT_EQ(request[kKvSource], "127.0.0.1:18941/h1");
    if (decodes++ == 0) {
      EXPECT_EQ(request.count(kLastEventId), 0U);
      Streams(io_, 1, 2, false)(request, exchange);
    } else {
      EXPECT_EQ(request[kLastEventId], "2");
      Streams(io_, 3, 4, true)(request, exchange);
    }
  };
  AddServer(ServerStage::kDecode, decode);
  AddServer(ServerStage::kDecode, decode);
  Serve(RequestKind::kStreaming, true, 2);
  std::string answer = Ask();
  EXPECT_TRUE(answer.ends_with("0\r\n\r\n")) << answer;
  for (int id = 1; id <= 4; ++id) {
    EXPECT_NE(answer.find("id: " + std::to_string(id) + "\n"),
              std::string::npos)
        << answer;
  }
  EXPECT_EQ(answer.find("id: 99"), std::string::npos);
  EXPECT_EQ(decodes, 2);
}

// A long prefill can outlast the time in which a leaving server still takes
// requests.
TEST_F(RunTest, DecodeServerThatLeavesDuringThePrefillGetsNothing) {
  AddServer(ServerStage::kPrefill,
            [this](const HttpRequest& request, auto exchange) {
              ServerView view = *context_.servers;
              view.servers["server-1"].state = ServerState::kLeaving;
              view.servers["server-2"].state = ServerState::kReady;
              context_.servers = std::make_shared<ServerView>(view);
              Reads("h1")(request, exchange);
            });
  AddServer(ServerStage::kDecode, Streams(io_, 1, 1, true));
  AddServer(ServerStage::kDecode, Streams(io_, 1, 1, true));
  Serve(RequestKind::kStreaming, false, 1);
  std::promise<void> prepared;
  boost::asio::post(io_, [&] {
    ServerView only_first = *context_.servers;
    only_first.servers["server-2"].state = ServerState::kLeaving;
    context_.servers = std::make_shared<ServerView>(only_first);
    prepared.set_value();
  });
  prepared.get_future().wait();
  EXPECT_TRUE(HasStatus(Ask(), 200));
  EXPECT_EQ(servers_[1]->requests(), 0);
  EXPECT_EQ(servers_[2]->requests(), 1);
}

TEST_F(RunTest, DecodeServerReadsThePromptWhilePrefillIsLate) {
  AddServer(ServerStage::kPrefill, Reads("h1"));
  AddServer(ServerStage::kDecode, Streams(io_, 1, 1, true));
  context_.load.Charge("server-0", LoadCharge{30, 90'000, 0});
  Serve(RequestKind::kStreaming, false, 1);
  EXPECT_TRUE(HasStatus(Ask(), 200));
  EXPECT_EQ(servers_[0]->requests(), 0);
}

// With a prompt being read at the decode server as well, nothing can read this
// one in time.
TEST_F(RunTest, PrefillQueueBeyondTheTargetIsRefusedNotRead) {
  AddServer(ServerStage::kPrefill, Reads("h1"));
  AddServer(ServerStage::kDecode, Streams(io_, 1, 1, true));
  context_.load.Charge("server-0", LoadCharge{30, 90'000, 0});
  context_.load.Charge("server-1", LoadCharge{1, 900, 0});
  Serve(RequestKind::kStreaming, false, 1);
  EXPECT_TRUE(HasStatus(Ask(), 429));
  EXPECT_EQ(servers_[0]->requests(), 0);
}

// However often servers refuse to reserve room, a request is not held beyond
// its time.
TEST_F(RunTest, LateRequestIsRefusedInTimeThoughServersHaveNoRoom) {
  AddServer(ServerStage::kPrefill, Reads("h1"));
  AddServer(ServerStage::kDecode, Rejects());
  service_.engine = EngineSpec{};
  service_.engine->kv_tokens = 3000;
  service_.engine->hold_life = Millis(2000);
  Serve(RequestKind::kStreaming, false, 1);
  context_.patience.NoteWait("r", Millis(3000));
  TimePoint start = SteadyClock::now();
  std::string answer = Ask("POST", "X-Mangoyoke-Deadline-Ms: 1400\r\n");
  EXPECT_TRUE(HasStatus(answer, 429)) << answer;
  EXPECT_LT(SteadyClock::now() - start, Millis(950));
  EXPECT_EQ(servers_[0]->requests(), 0);
}

// A first try gives up while the target can be met at the next one; a caller
// that comes back late waits until there is room.
TEST_F(RunTest, RepeatWaitsLongerForRoomThanAFirstTry) {
  AddServer(ServerStage::kPrefill, Reads("h1"));
  AddServer(ServerStage::kDecode, Streams(io_, 1, 1, true));
  service_.engine = EngineSpec{};
  service_.engine->kv_tokens = 4000;
  uint64_t busy = context_.load.Charge("server-1", LoadCharge{1, 0, 3900});
  Serve(RequestKind::kStreaming, false, 1);
  TimePoint start = SteadyClock::now();
  EXPECT_TRUE(HasStatus(Ask("POST", "X-Mangoyoke-Deadline-Ms: 1400\r\n"), 429));
  EXPECT_LT(SteadyClock::now() - start, Millis(400));
  std::thread release([this, busy] {
    std::this_thread::sleep_for(Millis(450));
    boost::asio::post(io_, [this, busy] { context_.load.Release(busy); });
  });
  EXPECT_TRUE(HasStatus(Ask("POST", "X-Mangoyoke-Deadline-Ms: 900\r\n"), 200));
  release.join();
}

// Answers the first request with `first` and later ones with `then`.
FakeServer::Action FirstThen(FakeServer::Action first,
                             FakeServer::Action then) {
  auto calls = std::make_shared<std::atomic<int>>(0);
  return [=](const HttpRequest& request, auto exchange) {
    ((*calls)++ == 0 ? first : then)(request, exchange);
  };
}

// The prompt that was read must not be read again because the chosen server
// had no room after all.
TEST_F(RunTest, ReadPromptWaitsForRoomAfterARefusal) {
  AddServer(ServerStage::kPrefill, Reads("h1"));
  AddServer(ServerStage::kDecode,
            FirstThen(Rejects(), Streams(io_, 1, 1, true)));
  Serve(RequestKind::kStreaming, false, 1);
  EXPECT_TRUE(HasStatus(Ask(), 200));
  EXPECT_EQ(servers_[0]->requests(), 1);
  EXPECT_EQ(servers_[1]->requests(), 2);
}

// A prompt that is read for a server that is gone is read for nothing.
TEST_F(RunTest, PromptIsReadOnlyForAServerThatReservedRoom) {
  AddServer(ServerStage::kPrefill, Reads("h1"));
  AddServer(ServerStage::kDecode, Resets());
  AddServer(ServerStage::kDecode, Resets());
  service_.engine = EngineSpec{};
  service_.engine->kv_tokens = 100'000;
  service_.engine->hold_life = Millis(2000);
  Serve(RequestKind::kStreaming, false, 1);
  EXPECT_TRUE(HasStatus(Ask(), 429));
  EXPECT_EQ(servers_[0]->requests(), 0);
}

// A server that confirmed room and refuses cannot have the prompt's memory.
TEST_F(RunTest, HandleIsNotUsedAgainAfterAServerWithRoomRefusedIt) {
  std::atomic<int> reads{0};
  AddServer(ServerStage::kPrefill,
            [&reads](const HttpRequest& request, auto exchange) {
              Reads("h" + std::to_string(++reads))(request, exchange);
            });
  std::vector<std::string> sources;
  AddServer(ServerStage::kDecode, [this, &sources](const HttpRequest& request,
                                                   auto exchange) {
    if (request.target() == "/v1/hold-take") {
      Answers(http::status::ok, R"({"Hold":"k1"})")(request, exchange);
      return;
    }
    sources.emplace_back(request[kKvSource]);
    (sources.size() == 1 ? Rejects() : Streams(io_, 1, 1, true))(request,
                                                                 exchange);
  });
  service_.engine = EngineSpec{};
  service_.engine->kv_tokens = 3000;
  service_.engine->hold_life = Millis(2000);
  service_.engine->handle_life = Millis(500);
  Serve(RequestKind::kStreaming, false, 1);
  EXPECT_TRUE(HasStatus(Ask(), 200));
  EXPECT_EQ(sources, (std::vector<std::string>{"127.0.0.1:18941/h1",
                                               "127.0.0.1:18941/h2"}));
  EXPECT_EQ(servers_[0]->released(), 1);
}

TEST_F(RunTest, PrefillThatFailsIsRepeatedElsewhere) {
  AddServer(ServerStage::kPrefill, Resets());
  AddServer(ServerStage::kPrefill, Reads("h2"));
  AddServer(ServerStage::kDecode, Streams(io_, 1, 1, true));
  Serve(RequestKind::kStreaming, false, 1);
  for (int i = 0; i < 4; ++i) {
    EXPECT_TRUE(HasStatus(Ask(), 200));
  }
}

TEST_F(RunTest, PrefillIsReleasedWhenTheCallerLeaves) {
  AddServer(ServerStage::kPrefill, Reads("h1"));
  AddServer(ServerStage::kDecode, Rejects());
  Serve(RequestKind::kStreaming, false, 1);
  EXPECT_TRUE(HasStatus(Ask(), 429));
  for (int i = 0; i < 100 && servers_[0]->released() == 0; ++i) {
    std::this_thread::sleep_for(Millis(10));
  }
  EXPECT_EQ(servers_[0]->released(), 1);
}

TEST_F(RunTest, CallerThatLeavesEndsTheStreamsWork) {
  std::atomic<bool> left{false};
  AddServer(ServerStage::kPrefill, Reads("h1"));
  AddServer(ServerStage::kDecode, [&](const HttpRequest&, auto exchange) {
    exchange->OnCallerGone([&left] { left = true; });
    static std::shared_ptr<Exchange> kept;
    kept = exchange;
  });
  Serve(RequestKind::kStreaming, false, 1);
  {
    boost::asio::io_context io;
    Tcp::socket socket(io);
    socket.connect(
        Tcp::endpoint(boost::asio::ip::address_v4::loopback(), kFrontPort));
    boost::asio::write(
        socket, boost::asio::buffer(
                    std::string("POST /x HTTP/1.1\r\nHost: h\r\n"
                                "X-Mangoyoke-Request-Id: id-1\r\n"
                                "X-Mangoyoke-Token-Counts: 900,100\r\n\r\n")));
    for (int i = 0; i < 100 && servers_[1]->requests() == 0; ++i) {
      std::this_thread::sleep_for(Millis(10));
    }
  }
  for (int i = 0; i < 50 && !left; ++i) {
    std::this_thread::sleep_for(Millis(10));
  }
  EXPECT_TRUE(left);
}

// What may be running is not cut off, but nothing is sent any more.
TEST_F(RunTest, NothingIsSentAgainForACallerThatLeft) {
  auto rejects_late = [this](const HttpRequest& request, auto exchange) {
    auto timer = std::make_shared<boost::asio::steady_timer>(io_, Millis(150));
    timer->async_wait(
        [timer, request, exchange](const boost::system::error_code&) {
          Rejects()(request, exchange);
        });
  };
  AddServer(ServerStage::kWhole, rejects_late);
  AddServer(ServerStage::kWhole, rejects_late);
  Serve(RequestKind::kNonIdempotent, false, 1);
  {
    boost::asio::io_context io;
    Tcp::socket socket(io);
    socket.connect(
        Tcp::endpoint(boost::asio::ip::address_v4::loopback(), kFrontPort));
    boost::asio::write(socket, boost::asio::buffer(std::string(
                                   "POST /x HTTP/1.1\r\nHost: h\r\n"
                                   "X-Mangoyoke-Request-Id: id-1\r\n"
                                   "Content-Length: 0\r\n\r\n")));
    std::this_thread::sleep_for(Millis(50));
  }
  for (int i = 0; i < 100 && OpenRuns() > 0; ++i) {
    std::this_thread::sleep_for(Millis(10));
  }
  EXPECT_EQ(OpenRuns(), 0U);
  EXPECT_EQ(servers_[0]->requests() + servers_[1]->requests(), 1);
}

}  // namespace
}  // namespace mangoyoke
