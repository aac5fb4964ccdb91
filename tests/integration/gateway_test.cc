// Tests of real gateway processes with a fake store and fake backend servers:
// distribution of configurations, reload, graceful stop, killed instances and
// faults of the store.

#include <gtest/gtest.h>

#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <filesystem>
#include <fstream>
#include <future>
#include <nlohmann/json.hpp>
#include <thread>

#include "tests/support/fake_server.h"
#include "tests/support/fake_store.h"

extern char** environ;

namespace mangoyoke {
namespace {

using Json = nlohmann::json;

constexpr int kInstances = 3;
constexpr int kFirstPort = 19200;
constexpr int kPortsPerInstance = 10;
constexpr int kServerPort = 19290;
constexpr int kStreamPort = 19291;
constexpr int kSilentPort = 19292;
// An accepted configuration must be active within this time (the users' bound).
constexpr Duration kConfigBound = Millis(2000);
constexpr Duration kWaitTimeout = Seconds(10);

// The ports of one instance, by purpose. kStore is where the fake store serves
// this instance.
enum PortKind {
  kCallers,
  kReady,
  kInstanceList,
  kPeers,
  kMetrics,
  kLoad,
  kStore
};

std::string Address(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

// Sends `bytes` to `port` and returns everything received until the peer closes
// the connection; empty if connecting fails.
std::string SendAndReadAll(int port, const std::string& bytes) {
  boost::asio::io_context io;
  Tcp::socket socket(io);
  boost::system::error_code error;
  socket.connect(Tcp::endpoint(boost::asio::ip::address_v4::loopback(),
                               static_cast<uint16_t>(port)),
                 error);
  std::string received;
  if (!error) {
    boost::asio::write(socket, boost::asio::buffer(bytes), error);
    boost::asio::read(socket, boost::asio::dynamic_buffer(received), error);
  }
  return received;
}

std::string Get(int port, const std::string& path) {
  return SendAndReadAll(
      port,
      "GET " + path + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
}

// Whether `condition` becomes true within `timeout`.
bool Within(Duration timeout, const std::function<bool()>& condition) {
  TimePoint end = SteadyClock::now() + timeout;
  while (SteadyClock::now() < end) {
    if (condition()) {
      return true;
    }
    std::this_thread::sleep_for(Millis(20));
  }
  return condition();
}

class GatewayTest : public ::testing::Test {
 protected:
  GatewayTest()
      : store_(io_),
        service_(io_,
                 Record("plain", kServerPort),
                 RespondWith(http::status::ok, "done")),
        streams_(io_, Record("streams", kStreamPort), SlowStream()) {
    for (int i = 0; i < kInstances; ++i) {
      endpoints_.push_back(std::make_unique<FakeStoreEndpoint>(
          io_, store_, Address(PortOf(i, kStore))));
    }
    store_.Put("op", "config", Config(1, {"/old/"}));
    PutServer("plain", kServerPort);
    PutServer("streams", kStreamPort);
    directory_ = std::filesystem::temp_directory_path() /
                 ("mangoyoke-gateway-" + std::to_string(getpid()));
    std::filesystem::create_directories(directory_);
    thread_ = std::thread([this] { io_.run(); });
    for (int i = 0; i < kInstances; ++i) {
      Start(i);
    }
  }

  ~GatewayTest() override {
    for (int i = 0; i < kInstances; ++i) {
      Kill(i, SIGKILL);
    }
    io_.stop();
    thread_.join();
    std::filesystem::remove_all(directory_);
  }

  static int PortOf(int instance, PortKind port) {
    return kFirstPort + instance * kPortsPerInstance + port;
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

  void PutServer(const std::string& id, int port) {
    store_.Put("servers", id,
               Json{{"Service", id},
                    {"Address", Address(port)},
                    {"Zone", "z"},
                    {"Version", "v1"},
                    {"Slots", 4},
                    {"State", "ready"},
                    {"ColdRemainingMs", 0},
                    {"Seq", 1}}
                   .dump());
  }

  // Runs `action` on the thread of the fake store and servers, and waits for
  // it.
  void RunOnServerThread(std::function<void()> action) {
    std::promise<void> done;
    boost::asio::post(io_, [&] {
      action();
      done.set_value();
    });
    done.get_future().wait();
  }

  FakeServer::Action SlowStream() {
    return [this](const HttpRequest& request, auto responder) {
      http::response_header<> head;
      head.result(200);
      head.set(kRequestIdHeader, request[kRequestIdHeader]);
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

  std::string WriteSettings(int i) const {
    std::string path =
        (directory_ / ("instance-" + std::to_string(i) + ".ini")).string();
    std::ofstream file(path);
    file << "[instance]\nid = i" << i
         << "\nzone = z\n[listen]\ncallers = " << Address(PortOf(i, kCallers))
         << "\nready = " << Address(PortOf(i, kReady))
         << "\nentries = " << Address(PortOf(i, kInstanceList))
         << "\npeers = " << Address(PortOf(i, kPeers))
         << "\nmetrics = " << Address(PortOf(i, kMetrics))
         << "\n[store]\naddress = " << Address(PortOf(i, kStore))
         << "\n[peers]\nknown = " << Address(PortOf(0, kPeers)) << ","
         << Address(PortOf(1, kPeers)) << "\n";
    return path;
  }

  void Start(int i) {
    std::string settings = WriteSettings(i);
    std::string log = (directory_ / ("log-" + std::to_string(i))).string();
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, 1, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0600);
    std::string program = MANGOYOKE_BINARY_DIR "/mangoyoke-gateway";
    char* arguments[] = {program.data(), settings.data(), nullptr};
    pid_t pid = 0;
    ASSERT_EQ(
        posix_spawn(&pid, program.c_str(), &files, nullptr, arguments, environ),
        0);
    posix_spawn_file_actions_destroy(&files);
    pids_[i] = pid;
  }

  // Sends `signal` to instance `i`, waits for its exit and returns the status
  // from waitpid.
  int Kill(int i, int signal) {
    if (pids_[i] == 0) {
      return 0;
    }
    kill(pids_[i], signal);
    int status = 0;
    waitpid(pids_[i], &status, 0);
    pids_[i] = 0;
    return status;
  }

  static bool IsReady(int i) {
    return Get(PortOf(i, kReady), "/v1/ready").starts_with("HTTP/1.1 200");
  }
  static bool Serves(int i, const std::string& path) {
    return Get(PortOf(i, kCallers), path).starts_with("HTTP/1.1 200");
  }
  // The number of instances in the list that instance `i` gives to callers.
  static size_t ListedInstances(int i) {
    std::string response =
        Get(PortOf(i, kInstanceList), "/v1/resolve?Name=h&Region=r&Zone=z");
    size_t body = response.find("\r\n\r\n");
    if (body == std::string::npos) {
      return 0;
    }
    Json json = Json::parse(response.substr(body + 4), nullptr, false);
    return json.is_object() ? json.value("Addresses", Json::array()).size() : 0;
  }
  void WaitForAll() {
    for (int i = 0; i < kInstances; ++i) {
      ASSERT_TRUE(Within(kWaitTimeout, [i] {
        return IsReady(i) && ListedInstances(i) == kInstances;
      })) << i;
    }
  }

  boost::asio::io_context io_{1};
  FakeStore store_;
  std::vector<std::unique_ptr<FakeStoreEndpoint>> endpoints_;
  FakeServer service_;
  FakeServer streams_;
  std::filesystem::path directory_;
  std::thread thread_;
  pid_t pids_[kInstances] = {};
};

TEST_F(GatewayTest, ConfigurationReachesAnInstanceThatTheStoreTurnsAway) {
  WaitForAll();
  RunOnServerThread([this] {
    endpoints_[2]->SetUnavailable(true);
    store_.Put("op", "config", Config(2, {"/old/", "/new/"}));
  });
  for (int i = 0; i < kInstances; ++i) {
    EXPECT_TRUE(Within(kConfigBound, [i] { return Serves(i, "/new/x"); })) << i;
  }
}

TEST_F(GatewayTest, PlannedStopCutsNoStreamAndSendsCallersElsewhere) {
  WaitForAll();
  std::string response;
  std::thread caller(
      [&response] { response = Get(PortOf(0, kCallers), "/stream/x"); });
  ASSERT_TRUE(Within(kWaitTimeout,
                     [this] { return streams_.requests_received() == 1; }));
  kill(pids_[0], SIGTERM);
  EXPECT_TRUE(Within(Seconds(1), [] { return !IsReady(0); }));
  EXPECT_TRUE(Within(Seconds(1), [] { return ListedInstances(1) == 2; }));
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
    PutServer("silent", kSilentPort);
    store_.Put("op", "config", config);
  });
  WaitForAll();
  std::string response;
  std::thread caller(
      [&response] { response = Get(PortOf(0, kCallers), "/silent/x"); });
  EXPECT_TRUE(Within(kWaitTimeout,
                     [&silent] { return silent->requests_received() == 1; }));
  EXPECT_EQ(Kill(0, SIGTERM), 0);
  caller.join();
  EXPECT_TRUE(response.starts_with("HTTP/1.1 504")) << response;
  RunOnServerThread([&silent] { silent.reset(); });
}

TEST_F(GatewayTest, ReloadCutsNothingAndTakesTheNewStoreAddress) {
  WaitForAll();
  std::string response;
  std::thread caller(
      [&response] { response = Get(PortOf(0, kCallers), "/stream/x"); });
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
  EXPECT_TRUE(Within(kConfigBound, [] { return Serves(0, "/new/x"); }));
}

TEST_F(GatewayTest, KilledInstanceLeavesTheEntries) {
  WaitForAll();
  Kill(2, SIGKILL);
  EXPECT_TRUE(Within(Seconds(4), [] { return ListedInstances(0) == 2; }));
  EXPECT_TRUE(Within(Seconds(4), [] { return ListedInstances(1) == 2; }));
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
  EXPECT_TRUE(Within(Seconds(4), [] { return IsReady(1); }));
  EXPECT_TRUE(Serves(1, "/old/x"));
}

TEST_F(GatewayTest, ServersAreFoundAgainAfterTheHistoryIsLost) {
  WaitForAll();
  RunOnServerThread([this] {
    store_.Put("servers", "plain", std::nullopt);
    store_.Put("servers", "other", "not readable");
    store_.DropHistory();
  });
  EXPECT_TRUE(Within(Seconds(4), [] { return !Serves(0, "/old/x"); }));
  RunOnServerThread([this] { PutServer("plain", kServerPort); });
  EXPECT_TRUE(Within(Seconds(4), [] { return Serves(0, "/old/x"); }));
}

TEST_F(GatewayTest, InstanceWithoutConfigurationPromisesNotRun) {
  for (int i = 0; i < kInstances; ++i) {
    Kill(i, SIGKILL);
  }
  RunOnServerThread([this] { endpoints_[0]->SetUnavailable(true); });
  Start(0);
  EXPECT_TRUE(Within(kWaitTimeout, [] {
    return Get(PortOf(0, kCallers), "/old/x").starts_with("HTTP/1.1 503");
  }));
  EXPECT_FALSE(IsReady(0));
  EXPECT_EQ(ListedInstances(0), 0U);
}

}  // namespace
}  // namespace mangoyoke
