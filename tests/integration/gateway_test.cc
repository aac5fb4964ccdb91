// Tests of real gateway processes with a fake store and fake backend servers:
// distribution of configurations, reload, graceful stop, killed instances and
// faults of the store.

#include <gtest/gtest.h>

#include "tests/support/fake_server.h"
#include "tests/support/gateway_processes.h"

namespace mangoyoke {
namespace {

using Json = nlohmann::json;

constexpr int kFirstPort = 19200;
constexpr int kServerPort = 19290;
constexpr int kStreamPort = 19291;
constexpr int kSilentPort = 19292;

class GatewayTest : public GatewayProcesses {
 protected:
  GatewayTest()
      : GatewayProcesses(kFirstPort),
        service_(io_,
                 Record("plain", kServerPort),
                 RespondWith(http::status::ok, "done")),
        streams_(io_, Record("streams", kStreamPort), SlowStream()) {
    store_.Put("op", "config", Config(1, {"/old/"}));
    PutServer("plain", "plain", kServerPort);
    PutServer("streams", "streams", kStreamPort);
    StartAll();
  }

  ~GatewayTest() override {
    KillAll();
    StopServerThread();
  }

  static BackendServer Record(const std::string& id, int port) {
    BackendServer record;
    record.id = id;
    record.address = Address(port);
    return record;
  }

  static std::string Config(int revision, std::vector<std::string> prefixes) {
    Json routes = Json::array();
    auto add = [&routes](const std::string& prefix, const std::string& kind,
                         const std::string& service) {
      routes.push_back(Json{{"Name", "r" + prefix},
                            {"Host", "h"},
                            {"Prefix", prefix},
                            {"Kind", kind},
                            {"TimeoutMs", 9000},
                            {"TargetLatencyMs", 500},
                            {"Service", service},
                            {"MaxAttempts", 1}});
    };
    for (const std::string& prefix : prefixes) {
      add(prefix, "non_idempotent", "plain");
    }
    add("/stream/", "streaming", "streams");
    return Json{{"Version", revision},
                {"Routes", routes},
                {"Services", Json::array({Json{{"Name", "plain"}},
                                          Json{{"Name", "streams"}}})}}
        .dump();
  }

  FakeServer::Action SlowStream() {
    return [this](const HttpRequest& request, auto responder) {
      http::response_header<> head;
      head.result(200);
      head.set(kRequestIdHeader, request[kRequestIdHeader]);
      head.set(kResponseStampHeader, "stamp");
      head.set(http::field::content_type, "text/event-stream");
      responder->BeginStream(head);
      SendEvent(responder, 1);
    };
  }

  // Sends 40 events, one every 100 ms.
  void SendEvent(std::shared_ptr<HttpResponder> responder, int id) {
    responder->Write("id: " + std::to_string(id) + "\ndata: t\n\n");
    if (id == 40) {
      responder->EndStream();
      return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(io_, Millis(100));
    timer->async_wait(
        [this, timer, responder, id](const boost::system::error_code& error) {
          if (!error) {
            SendEvent(responder, id + 1);
          }
        });
  }

  FakeServer service_;
  FakeServer streams_;
};

TEST_F(GatewayTest, ConfigurationReachesAnInstanceThatTheStoreTurnsAway) {
  WaitForAll();
  RunOnServerThread([this] {
    endpoints_[2]->SetUnavailable(true);
    store_.Put("op", "config", Config(2, {"/old/", "/new/"}));
  });
  for (int i = 0; i < kInstances; ++i) {
    EXPECT_TRUE(Within(kConfigBound, [this, i] { return Serves(i, "/new/x"); }))
        << i;
  }
}

TEST_F(GatewayTest, OperatorsSeeWhereARequestWouldGoAndNoneIsSent) {
  WaitForAll();
  int received = service_.requests_received();
  std::string command = std::string(MANGOYOKE_BINARY_DIR) +
                        "/mangoyokectl where --host h --path /old/x --admin " +
                        Address(PortOf(0, kMetrics));
  std::string text;
  FILE* output = popen(command.c_str(), "r");
  ASSERT_NE(output, nullptr);
  for (int c = fgetc(output); c != EOF; c = fgetc(output)) {
    text += static_cast<char>(c);
  }
  EXPECT_EQ(pclose(output), 0);
  std::cout << text;
  EXPECT_NE(text.find("best server plain"), std::string::npos);
  EXPECT_EQ(service_.requests_received(), received);
}

TEST_F(GatewayTest, PlannedStopCutsNoStreamAndSendsCallersElsewhere) {
  WaitForAll();
  std::string response;
  std::thread caller(
      [this, &response] { response = Get(PortOf(0, kCallers), "/stream/x"); });
  ASSERT_TRUE(Within(kWaitTimeout,
                     [this] { return streams_.requests_received() == 1; }));
  kill(pids_[0], SIGTERM);
  EXPECT_TRUE(Within(Seconds(1), [this] { return !IsReady(0); }));
  EXPECT_TRUE(Within(Seconds(1), [this] { return ListedInstances(1) == 2; }));
  // Callers that still use this instance are served during the drain notice.
  EXPECT_TRUE(Serves(0, "/old/x"));
  caller.join();
  EXPECT_NE(response.find("id: 40\n"), std::string::npos);
  EXPECT_TRUE(response.ends_with("0\r\n\r\n"));
  EXPECT_EQ(Kill(0, SIGTERM), 0);
}

TEST_F(GatewayTest, PlannedStopWaitsForARequestThatIsBeingRead) {
  constexpr Millis kPastTheDrainNotice{3500};
  WaitForAll();
  boost::asio::io_context io;
  Tcp::socket socket(io);
  socket.connect(Tcp::endpoint(boost::asio::ip::address_v4::loopback(),
                               PortOf(0, kCallers)));
  std::string head =
      "POST /old/x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab";
  boost::asio::write(socket, boost::asio::buffer(head));
  kill(pids_[0], SIGTERM);
  std::this_thread::sleep_for(kPastTheDrainNotice);
  boost::system::error_code error;
  boost::asio::write(socket, boost::asio::buffer("cd", 2), error);
  std::string response;
  boost::asio::read(socket, boost::asio::dynamic_buffer(response), error);
  EXPECT_TRUE(response.starts_with("HTTP/1.1 200")) << response;
  EXPECT_EQ(Kill(0, SIGTERM), 0);
}

TEST_F(GatewayTest, RequestsOpenAtTheEndOfADrainGetAResponse) {
  std::unique_ptr<FakeServer> silent;
  std::string config = Config(2, {"/silent/"});
  for (size_t at = config.find("\"plain\""); at != std::string::npos;
       at = config.find("\"plain\"", at)) {
    config.replace(at, 7, "\"silent\"");
  }
  RunOnServerThread([&] {
    silent = std::make_unique<FakeServer>(io_, Record("silent", kSilentPort),
                                          NeverRespond());
    PutServer("silent", "silent", kSilentPort);
    store_.Put("op", "config", config);
  });
  WaitForAll();
  std::string response;
  std::thread caller(
      [this, &response] { response = Get(PortOf(0, kCallers), "/silent/x"); });
  EXPECT_TRUE(Within(kWaitTimeout,
                     [&silent] { return silent->requests_received() == 1; }));
  std::string unfinished_response;
  std::thread slow_caller([this, &unfinished_response] {
    unfinished_response = SendAndReadAll(
        PortOf(0, kCallers),
        "POST /silent/x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab");
  });
  EXPECT_EQ(Kill(0, SIGTERM), 0);
  caller.join();
  slow_caller.join();
  EXPECT_TRUE(response.starts_with("HTTP/1.1 504")) << response;
  EXPECT_TRUE(unfinished_response.starts_with("HTTP/1.1 408"))
      << unfinished_response;
  RunOnServerThread([&silent] { silent.reset(); });
}

// It would be cut at the end of the drain, with no way to know whether it was
// executed.
TEST_F(GatewayTest, RequestReadTooLateInADrainIsNotPassedOn) {
  constexpr Millis kServiceTime{900};
  constexpr int kSecondsUntilItIsWhole = 7;
  std::unique_ptr<FakeServer> slow;
  std::string config = Config(2, {"/slow/"});
  for (size_t at = config.find("\"plain\""); at != std::string::npos;
       at = config.find("\"plain\"", at)) {
    config.replace(at, 7, "\"slow\"");
  }
  RunOnServerThread([&] {
    slow = std::make_unique<FakeServer>(
        io_, Record("slow", kSilentPort),
        [this, kServiceTime](const HttpRequest& request, auto responder) {
          auto timer =
              std::make_shared<boost::asio::steady_timer>(io_, kServiceTime);
          timer->async_wait(
              [timer, responder,
               response = StampedResponse(request, http::status::ok, "done")](
                  const boost::system::error_code&) {
                responder->Reply(response);
              });
        });
    PutServer("slow", "slow", kSilentPort);
    store_.Put("op", "config", config);
  });
  WaitForAll();
  EXPECT_TRUE(Within(kWaitTimeout, [this] { return Serves(0, "/slow/x"); }));
  int served = slow->requests_received();
  boost::asio::io_context io;
  Tcp::socket socket(io);
  socket.connect(Tcp::endpoint(boost::asio::ip::address_v4::loopback(),
                               PortOf(0, kCallers)));
  std::string head = "POST /slow/x HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                     std::to_string(kSecondsUntilItIsWhole) + "\r\n\r\n";
  boost::asio::write(socket, boost::asio::buffer(head));
  kill(pids_[0], SIGTERM);
  boost::system::error_code error;
  for (int i = 0; i < kSecondsUntilItIsWhole; ++i) {
    std::this_thread::sleep_for(Seconds(1));
    boost::asio::write(socket, boost::asio::buffer("b", 1), error);
  }
  std::string response;
  boost::asio::read(socket, boost::asio::dynamic_buffer(response), error);
  EXPECT_TRUE(response.starts_with("HTTP/1.1 503")) << response;
  EXPECT_EQ(slow->requests_received(), served);
  EXPECT_EQ(Kill(0, SIGTERM), 0);
  RunOnServerThread([&slow] { slow.reset(); });
}

TEST_F(GatewayTest, ReloadCutsNothingAndTakesTheNewStoreAddress) {
  WaitForAll();
  std::string response;
  std::thread caller(
      [this, &response] { response = Get(PortOf(0, kCallers), "/stream/x"); });
  ASSERT_TRUE(Within(kWaitTimeout,
                     [this] { return streams_.requests_received() == 1; }));
  // From now on instance 0 reads the store at the address of instance 1.
  std::string path = WriteSettings(0);
  std::ifstream input(path);
  std::string text((std::istreambuf_iterator<char>(input)), {});
  std::string before = Address(PortOf(0, kStore));
  text.replace(text.find(before), before.size(), Address(PortOf(1, kStore)));
  std::ofstream(path) << text;
  kill(pids_[0], SIGHUP);
  caller.join();
  EXPECT_TRUE(response.ends_with("0\r\n\r\n"));
  for (int i = 1; i < kInstances; ++i) {
    Kill(i, SIGKILL);
  }
  RunOnServerThread([this] {
    endpoints_[0]->SetUnavailable(true);
    store_.Put("op", "config", Config(2, {"/old/", "/new/"}));
  });
  EXPECT_TRUE(Within(kConfigBound, [this] { return Serves(0, "/new/x"); }));
}

TEST_F(GatewayTest, KilledInstanceLeavesTheEntries) {
  WaitForAll();
  Kill(2, SIGKILL);
  EXPECT_TRUE(Within(Seconds(4), [this] { return ListedInstances(0) == 2; }));
  EXPECT_TRUE(Within(Seconds(4), [this] { return ListedInstances(1) == 2; }));
}

TEST_F(GatewayTest, RestartedInstanceServesWhileTheStoreIsDown) {
  WaitForAll();
  RunOnServerThread([this] {
    for (auto& endpoint : endpoints_) {
      endpoint->SetUnavailable(true);
    }
  });
  Kill(1, SIGKILL);
  Start(1);
  EXPECT_TRUE(Within(Seconds(4), [this] { return IsReady(1); }));
  EXPECT_TRUE(Serves(1, "/old/x"));
}

TEST_F(GatewayTest, ServersAreFoundAgainAfterTheHistoryIsLost) {
  WaitForAll();
  RunOnServerThread([this] {
    store_.Put("servers", "plain", std::nullopt);
    store_.Put("servers", "other", "not readable");
    store_.DropHistory();
  });
  EXPECT_TRUE(Within(Seconds(4), [this] { return !Serves(0, "/old/x"); }));
  RunOnServerThread([this] { PutServer("plain", "plain", kServerPort); });
  EXPECT_TRUE(Within(Seconds(4), [this] { return Serves(0, "/old/x"); }));
}

TEST_F(GatewayTest, InstanceWithoutConfigurationPromisesNotRun) {
  for (int i = 0; i < kInstances; ++i) {
    Kill(i, SIGKILL);
  }
  RunOnServerThread([this] { endpoints_[0]->SetUnavailable(true); });
  Start(0);
  EXPECT_TRUE(Within(kWaitTimeout, [this] {
    return Get(PortOf(0, kCallers), "/old/x").starts_with("HTTP/1.1 503");
  }));
  EXPECT_FALSE(IsReady(0));
  EXPECT_EQ(ListedInstances(0), 0U);
}

}  // namespace
}  // namespace mangoyoke
