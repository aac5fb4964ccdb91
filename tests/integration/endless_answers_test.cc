// A server sends bytes that are no answer, without end, until the other side
// closes: in a head or in a body, each under a length, in chunks and with
// neither. The memory of a real gateway process stays bounded, the requests end
// with a true code, and those of other callers go on.

#include <gtest/gtest.h>

#include <atomic>
#include <sstream>

#include "tests/support/gateway_processes.h"
#include "tests/support/raw_server.h"

namespace mangoyoke {
namespace {

constexpr int kFirstPort = 19700;
// The memory of the smallest instances, in KB.
constexpr int64_t kMemoryKb = 88 << 10;
// Of the route of the faulty server.
constexpr Millis kRouteTimeout{4000};
constexpr Duration kEndsWithin = kRouteTimeout + Millis(500);
constexpr int kRequestsAtOnce = 24;
constexpr int kRounds = 2;
constexpr int kOtherCallers = 4;
constexpr size_t kBlockBytes = 600;
// Of a body that can be collected.
constexpr size_t kLength = 15'000'000;

enum class Stage { kPlain, kPrefill, kDecode };
enum class Place { kHead, kBody };
enum class Framing { kHugeLength, kLength, kChunks, kNeither };

struct EndlessAnswer {
  Stage stage;
  Place place;
  Framing framing;
  Millis pace;  // Between blocks.
};

std::string NameOf(const EndlessAnswer& answer) {
  constexpr const char* kStages[] = {"Plain", "Prefill", "Decode"};
  constexpr const char* kPlaces[] = {"Head", "Body"};
  constexpr const char* kFramings[] = {"HugeLength", "Length", "Chunks",
                                       "Neither"};
  return std::string(kStages[static_cast<int>(answer.stage)]) +
         kPlaces[static_cast<int>(answer.place)] +
         kFramings[static_cast<int>(answer.framing)] +
         (answer.pace > Millis(0) ? "Slow" : "Fast");
}

std::string FramingField(Framing framing) {
  switch (framing) {
    case Framing::kHugeLength:
      return "Content-Length: 1000000000000000\r\n";
    case Framing::kLength:
      return "Content-Length: " + std::to_string(kLength) + "\r\n";
    case Framing::kChunks:
      return "Transfer-Encoding: chunked\r\n";
    case Framing::kNeither:
      return "";
  }
  return "";
}

// The answer of the faulty server to the request `id`.
RawAnswer AnswerWithoutEnd(const EndlessAnswer& answer, const std::string& id) {
  RawAnswer raw;
  raw.bytes = "HTTP/1.1 200 OK\r\nX-Mangoyoke-Request-Id: " + id +
              "\r\nX-Mangoyoke-Response-Stamp: stamp\r\n" +
              FramingField(answer.framing);
  raw.pace = answer.pace;
  std::string block(kBlockBytes, 'x');
  if (answer.place == Place::kHead) {
    raw.without_end = "X-More: " + block + "\r\n";
    return raw;
  }
  raw.bytes += answer.stage == Stage::kDecode
                   ? "Content-Type: text/event-stream\r\n\r\n"
                   : "Content-Type: application/json\r\n\r\n";
  raw.without_end =
      answer.framing == Framing::kChunks ? "258\r\n" + block + "\r\n" : block;
  return raw;
}

RawAnswer SoundAnswer(const RawRequest& request) {
  bool prefill = request.Header("X-Mangoyoke-Serving-Stage") == "prefill";
  bool stream = !prefill && request.head.starts_with("POST /model/");
  std::string body = prefill  ? R"({"Handle":"h","Tokens":9,"Version":1})"
                     : stream ? "id: 1\ndata: a\n\n"
                              : "served";
  std::string type = stream ? "text/event-stream" : "application/json";
  return RawAnswer{
      "HTTP/1.1 200 OK\r\nX-Mangoyoke-Request-Id: " + request.id() +
      "\r\nX-Mangoyoke-Response-Stamp: stamp\r\nContent-Type: " + type +
      "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body};
}

// One real gateway process, with sound servers of each kind.
class MemoryTest : public GatewayProcesses {
 protected:
  MemoryTest() : GatewayProcesses(kFirstPort) {}

  ~MemoryTest() override {
    others_stop_ = true;
    for (std::thread& caller : others_) {
      caller.join();
    }
    KillAll();
    StopServerThread();
  }

  void AddServer(const std::string& service,
                 const std::string& stage,
                 RawServer::Script script) {
    servers_.push_back(std::make_unique<RawServer>(0, std::move(script)));
    std::string id = "i-" + std::to_string(servers_.size());
    store_.Put("servers", id,
               nlohmann::json{{"Service", service},
                              {"Address", servers_.back()->address()},
                              {"Zone", "z"},
                              {"Version", "v1"},
                              {"Slots", 32},
                              {"State", "ready"},
                              {"Stage", stage},
                              {"ColdRemainingMs", 0},
                              {"Seq", 1},
                              {"born", WallMillis()}}
                   .dump());
  }

  static nlohmann::json Route(const std::string& service,
                              const std::string& kind) {
    return nlohmann::json{{"Name", service},
                          {"Host", "h"},
                          {"Prefix", "/" + service + "/"},
                          {"Kind", kind},
                          {"TimeoutMs", kRouteTimeout.count()},
                          {"TargetLatencyMs", 900},
                          {"TargetGapMs", 300},
                          {"Service", service},
                          {"MaxAttempts", 2}};
  }

  void StartSystem() {
    AddServer("other", "both", SoundAnswer);
    AddServer("plain", "both", SoundAnswer);
    AddServer("model", "prefill", SoundAnswer);
    AddServer("model", "decode", SoundAnswer);
    store_.Put(
        "op", "config",
        nlohmann::json{
            {"Version", 1},
            {"Routes",
             {Route("plain", "non_idempotent"), Route("model", "streaming"),
              Route("events", "streaming"), Route("other", "non_idempotent")}},
            {"Services",
             {{{"Name", "plain"}},
              {{"Name", "model"}},
              {{"Name", "events"}},
              {{"Name", "other"}}}},
            {"Limits", nlohmann::json::object()}}
            .dump());
    thread_ = std::thread([this] { io_.run(); });
    Start(0);
    ASSERT_TRUE(Within(kWaitTimeout, [this] {
      return Request("other", "ready").starts_with("HTTP/1.1 200");
    }));
  }

  std::string Request(const std::string& service, const std::string& id) const {
    return SendAndReadAll(
        PortOf(0, kCallers),
        "POST /" + service +
            "/x HTTP/1.1\r\nHost: h\r\nX-Mangoyoke-Request-Id: " + id +
            "\r\nX-Mangoyoke-Token-Counts: 900,100\r\n"
            "X-Mangoyoke-Deadline-Ms: 10000\r\nContent-Length: 0\r\n"
            "Connection: close\r\n\r\n");
  }

  void StartOtherCallers() {
    for (int i = 0; i < kOtherCallers; ++i) {
      others_.emplace_back([this] {
        while (!others_stop_) {
          ++others_sent_;
          if (Request("other", "other-" + std::to_string(others_sent_))
                  .starts_with("HTTP/1.1 200")) {
            ++others_served_;
          }
        }
      });
    }
  }

  // The most memory that the process has occupied.
  int64_t PeakMemoryKb() const {
    std::ifstream status("/proc/" + std::to_string(pids_[0]) + "/status");
    std::string line;
    while (std::getline(status, line)) {
      if (line.starts_with("VmHWM:")) {
        return std::stoll(line.substr(line.find_first_of("0123456789")));
      }
    }
    return -1;
  }

  // The process is there, has occupied little memory, and has served the other
  // callers.
  void ExpectSoundProcess() {
    EXPECT_EQ(waitpid(pids_[0], nullptr, WNOHANG), 0) << "the process ended";
    int64_t peak_kb = PeakMemoryKb();
    EXPECT_GT(peak_kb, 0);
    EXPECT_LT(peak_kb, kMemoryKb);
    RecordProperty("peak_kb", std::to_string(peak_kb));
    others_stop_ = true;
    for (std::thread& caller : others_) {
      caller.join();
    }
    others_.clear();
    EXPECT_GT(others_sent_, 0);
    EXPECT_EQ(others_served_, others_sent_);
  }

  std::vector<std::unique_ptr<RawServer>> servers_;
  std::vector<std::thread> others_;
  std::atomic<bool> others_stop_{false};
  std::atomic<int> others_sent_{0};
  std::atomic<int> others_served_{0};
};

class EndlessAnswersTest : public MemoryTest,
                           public ::testing::WithParamInterface<EndlessAnswer> {
 protected:
  void AddFaultyServer() {
    auto faulty = [](const RawRequest& request) {
      return AnswerWithoutEnd(GetParam(), request.id());
    };
    Stage stage = GetParam().stage;
    AddServer(stage == Stage::kPlain ? "plain" : "model",
              stage == Stage::kPlain     ? "both"
              : stage == Stage::kPrefill ? "prefill"
                                         : "decode",
              faulty);
  }

  // Whether `response` is one that its caller may get.
  static bool IsTrue(const std::string& response) {
    bool whole = response.find("served") != std::string::npos ||
                 response.ends_with("data: a\n\n\r\n0\r\n\r\n") ||
                 IsWholeLength(response);
    if (response.starts_with("HTTP/1.1 200")) {
      // A stream that had begun may be cut.
      bool cut = GetParam().stage == Stage::kDecode &&
                 !response.ends_with("\r\n0\r\n\r\n");
      return whole || cut;
    }
    // Nothing runs at a prefill server; at the others it may have run.
    bool not_run = response.starts_with("HTTP/1.1 503") ||
                   response.starts_with("HTTP/1.1 429");
    return response.starts_with("HTTP/1.1 502") ||
           response.starts_with("HTTP/1.1 504") || not_run;
  }

  // A body under a length that can be collected is an answer, whatever follows.
  static bool IsWholeLength(const std::string& response) {
    return GetParam().framing == Framing::kLength &&
           response.size() - response.find("\r\n\r\n") - 4 == kLength;
  }
};

TEST_P(EndlessAnswersTest, OccupyLittleMemoryAndEnd) {
  AddFaultyServer();
  StartSystem();
  StartOtherCallers();
  std::string service = GetParam().stage == Stage::kPlain ? "plain" : "model";
  std::mutex mutex;
  for (int round = 0; round < kRounds; ++round) {
    std::vector<std::thread> callers;
    for (int i = 0; i < kRequestsAtOnce; ++i) {
      callers.emplace_back([&, i] {
        TimePoint sent = SteadyClock::now();
        std::string id = "r" + std::to_string(round) + "-" + std::to_string(i);
        std::string response = Request(service, id);
        Duration took = SteadyClock::now() - sent;
        std::lock_guard lock(mutex);
        EXPECT_TRUE(IsTrue(response)) << response.substr(0, 300);
        EXPECT_LT(took, kEndsWithin);
      });
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
  }
  EXPECT_GT(servers_.front()->requests(), 0);
  ExpectSoundProcess();
}

std::vector<EndlessAnswer> AllAnswers() {
  std::vector<EndlessAnswer> answers;
  for (Stage stage : {Stage::kPlain, Stage::kPrefill, Stage::kDecode}) {
    for (Place place : {Place::kHead, Place::kBody}) {
      for (Framing framing : {Framing::kHugeLength, Framing::kLength,
                              Framing::kChunks, Framing::kNeither}) {
        for (Millis pace : {Millis(0), Millis(1)}) {
          answers.push_back({stage, place, framing, pace});
        }
      }
    }
  }
  return answers;
}

INSTANTIATE_TEST_SUITE_P(Answers,
                         EndlessAnswersTest,
                         ::testing::ValuesIn(AllAnswers()),
                         [](const auto& info) { return NameOf(info.param); });

class LargeBodiesTest : public MemoryTest {
 protected:
  static constexpr Millis kHeldFor{2500};

  // Sends `bytes` on `count` connections, one each `pause`, and closes them
  // later without having read anything.
  void SendAndDoNotRead(int count, Millis pause, const std::string& bytes) {
    std::vector<std::thread> callers;
    for (int i = 0; i < count; ++i) {
      std::this_thread::sleep_for(pause);
      callers.emplace_back([&] {
        boost::asio::io_context io;
        Tcp::socket socket(io);
        boost::system::error_code error;
        socket.connect(
            Tcp::endpoint(boost::asio::ip::address_v4::loopback(),
                          static_cast<uint16_t>(PortOf(0, PortKind::kCallers))),
            error);
        boost::asio::write(socket, boost::asio::buffer(bytes), error);
        std::this_thread::sleep_for(kHeldFor);
      });
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
  }

  static std::string RequestHead(const std::string& service, size_t length) {
    return "POST /" + service +
           "/x HTTP/1.1\r\nHost: h\r\nX-Mangoyoke-Request-Id: large\r\n"
           "X-Mangoyoke-Token-Counts: 900,100\r\nContent-Length: " +
           std::to_string(length) + "\r\n\r\n";
  }
};

// Their callers do not read them.
TEST_F(LargeBodiesTest, OfAnswersOccupyLittleMemory) {
  AddServer("plain", "both", [](const RawRequest& request) {
    return RawAnswer{
        "HTTP/1.1 200 OK\r\nX-Mangoyoke-Request-Id: " + request.id() +
        "\r\nX-Mangoyoke-Response-Stamp: stamp\r\n"
        "Content-Length: " +
        std::to_string(kLength) + "\r\n\r\n" + std::string(kLength, 'x')};
  });
  StartSystem();
  StartOtherCallers();
  SendAndDoNotRead(40, Millis(30), RequestHead("plain", 0));
  ExpectSoundProcess();
}

// Each within MaxBodyBytes.
TEST_F(LargeBodiesTest, OfRequestsOccupyLittleMemory) {
  constexpr size_t kBodyBytes = 4 << 20;
  StartSystem();
  StartOtherCallers();
  SendAndDoNotRead(
      40, Millis(30),
      RequestHead("plain", kBodyBytes) + std::string(kBodyBytes - 1, 'x'));
  ExpectSoundProcess();
}

// One event in each stream that does not end.
TEST_F(LargeBodiesTest, OfEventsOccupyLittleMemory) {
  for (int i = 0; i < 4; ++i) {
    AddServer("events", "decode", [](const RawRequest& request) {
      RawAnswer answer;
      answer.bytes =
          "HTTP/1.1 200 OK\r\nX-Mangoyoke-Request-Id: " + request.id() +
          "\r\nX-Mangoyoke-Response-Stamp: stamp\r\n"
          "Content-Type: text/event-stream\r\n\r\ndata: " +
          std::string(1'040'000, 'x');
      answer.without_end = "x";
      answer.pace = Millis(50);
      return answer;
    });
  }
  StartSystem();
  StartOtherCallers();
  SendAndDoNotRead(150, Millis(0), RequestHead("events", 0));
  ExpectSoundProcess();
}

}  // namespace
}  // namespace mangoyoke
