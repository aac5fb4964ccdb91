// Requests with one part in their prompts end each model server that begins to
// respond to them. Real gateway processes have to keep them away from the
// servers soon, and have to go on serving the other requests.

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <random>

#include "tests/support/crashing_server.h"
#include "tests/support/gateway_processes.h"

namespace mangoyoke {
namespace {

constexpr int kFirstPort = 19600;
constexpr int kFirstModelPort = 19640;
constexpr int kPrefillServers = 2;
constexpr int kDecodeServers = 8;
constexpr char kBadPart[] = "bad0bad0";

// The users' bounds.
constexpr Duration kContact = Seconds(3);
constexpr size_t kCountedCrashes = 5;
constexpr int kMaxLateArrivals = 3;
constexpr int kMinSoundRequests = 20;

constexpr Duration kCalm = Seconds(4);
constexpr Duration kAttack = Seconds(14);
constexpr Millis kDownTime{1200};     // Of a server that crashed.
constexpr Millis kRowLifetime{1000};  // Of the row of a server that crashed.
constexpr Millis kBadRequestGap{400};
constexpr int kSoundCallers = 14;
constexpr Millis kThinkTime{100};

// One request of a sound caller.
struct SoundRequest {
  TimePoint sent;
  bool begun = false;  // A stream came at the first attempt.
  bool whole = false;
};

class CrashingPromptsTest : public GatewayProcesses {
 protected:
  struct Place {
    int port = 0;
    ServerStage stage = ServerStage::kDecode;
    std::unique_ptr<CrashingServer> server;
    TimePoint down_since{};
    std::string listed;  // The id of its row in the store.
  };

  CrashingPromptsTest() : GatewayProcesses(kFirstPort, true) {
    for (int i = 0; i < kPrefillServers + kDecodeServers; ++i) {
      Place place;
      place.port = kFirstModelPort + i;
      place.stage =
          i < kPrefillServers ? ServerStage::kPrefill : ServerStage::kDecode;
      places_.push_back(std::move(place));
    }
  }

  ~CrashingPromptsTest() override {
    StopCallers();
    KillAll();
    StopServerThread();
  }

  void StartSystem(bool resumable) {
    nlohmann::json route{{"Name", "r"},        {"Host", "h"},
                         {"Prefix", "/"},      {"Kind", "streaming"},
                         {"TimeoutMs", 8000},  {"TargetLatencyMs", 900},
                         {"TargetGapMs", 300}, {"Service", "s"},
                         {"MaxAttempts", 4},   {"Resumable", resumable}};
    store_.Put(
        "op", "config",
        nlohmann::json{{"Version", 1},
                       {"Routes", nlohmann::json::array({route})},
                       {"Services",
                        nlohmann::json::array({nlohmann::json{{"Name", "s"}}})},
                       {"Limits", nlohmann::json::object()}}
            .dump());
    StartAll();
    for (Place& place : places_) {
      StartServer(place);
    }
    WaitForAll();
    fleet_ = std::thread([this] { RunFleet(); });
  }

  void StartServer(Place& place) {
    std::string id = "m" + std::to_string(++started_);
    place.server = std::make_unique<CrashingServer>(
        id, Address(place.port), place.stage, kBadPart, arrivals_);
    std::string stage =
        place.stage == ServerStage::kPrefill ? "prefill" : "decode";
    RunOnServerThread([&] {
      store_.Put("servers", id,
                 nlohmann::json{{"Service", "s"},
                                {"Address", Address(place.port)},
                                {"Zone", "z"},
                                {"Version", "v1"},
                                {"Slots", 32},
                                {"State", "ready"},
                                {"Stage", stage},
                                {"ColdRemainingMs", 0},
                                {"Seq", 1},
                                {"born", WallMillis()}}
                     .dump());
    });
    place.listed = id;
  }

  // Ends the servers that crashed, and starts others in their places.
  void RunFleet() {
    while (!fleet_stops_) {
      TimePoint now = SteadyClock::now();
      for (Place& place : places_) {
        if (place.server && place.server->crashed()) {
          place.server.reset();
          place.down_since = now;
          std::lock_guard lock(mutex_);
          crashes_.push_back(now);
        }
        if (!place.server && !place.listed.empty() &&
            now - place.down_since >= kRowLifetime) {
          RunOnServerThread([this, id = std::exchange(place.listed, "")] {
            store_.Put("servers", id, std::nullopt);
          });
        }
        if (!place.server && now - place.down_since >= kDownTime) {
          StartServer(place);
        }
      }
      std::this_thread::sleep_for(Millis(5));
    }
  }

  // --- Callers.

  // Sends one request and returns all that came back.
  std::string Ask(int instance, const std::string& parts) {
    std::string id = "q" + std::to_string(++requests_);
    return SendAndReadAll(PortOf(instance, kCallers),
                          "POST /x HTTP/1.1\r\nHost: h\r\n"
                          "X-Mangoyoke-Request-Id: " +
                              id +
                              "\r\nX-Mangoyoke-Token-Counts: 900,100\r\n"
                              "X-Mangoyoke-Deadline-Ms: 6000\r\n"
                              "X-Mangoyoke-Prompt-Prefix: " +
                              parts + ",own" + id +
                              ":50\r\n"
                              "Connection: close\r\nContent-Length: 0\r\n\r\n",
                          IpOf(instance));
  }

  void RunSoundCaller(int caller) {
    std::mt19937 random(static_cast<uint32_t>(caller));
    while (!callers_stop_) {
      int instance = static_cast<int>(random() % kInstances);
      SoundRequest request;
      request.sent = SteadyClock::now();
      std::string response =
          Ask(instance, "feed:200,c" + std::to_string(caller % 5) + ":300");
      request.begun = response.starts_with("HTTP/1.1 200");
      request.whole = request.begun && response.ends_with("0\r\n\r\n");
      {
        std::lock_guard lock(mutex_);
        sound_.push_back(request);
      }
      std::this_thread::sleep_for(kThinkTime);
    }
  }

  void RunBadCaller() {
    std::mt19937 random(7);
    std::vector<std::thread> open;
    while (!attack_stops_) {
      int instance = static_cast<int>(random() % kInstances);
      int other = static_cast<int>(random() % kInstances);
      std::string caller = std::to_string(random() % 5);
      open.emplace_back([this, instance, other, caller] {
        std::string parts = "feed:200,c" + caller + ":300," + kBadPart + ":80";
        if (!Ask(instance, parts).ends_with("0\r\n\r\n")) {
          Ask(other, parts);  // The caller's own retry.
        }
      });
      std::this_thread::sleep_for(kBadRequestGap);
    }
    for (std::thread& thread : open) {
      thread.join();
    }
  }

  void StartSoundCallers() {
    for (int i = 0; i < kSoundCallers; ++i) {
      callers_.emplace_back([this, i] { RunSoundCaller(i); });
    }
  }

  void StartAttack() {
    attack_began_ = SteadyClock::now();
    attack_ = std::thread([this] { RunBadCaller(); });
  }

  void StopCallers() {
    attack_stops_ = true;
    callers_stop_ = true;
    if (attack_.joinable()) {
      attack_ended_ = SteadyClock::now();
      attack_.join();
    }
    for (std::thread& caller : callers_) {
      caller.join();
    }
    callers_.clear();
    fleet_stops_ = true;
    if (fleet_.joinable()) {
      fleet_.join();
    }
  }

  // --- What was seen.

  size_t Crashes() {
    std::lock_guard lock(mutex_);
    return crashes_.size();
  }

  // The fifth crash, or the last if there are fewer.
  TimePoint CountedCrash() const {
    return crashes_.empty()
               ? attack_began_
               : crashes_[std::min(crashes_.size(), kCountedCrashes) - 1];
  }

  // Arrivals at servers later than the users' bound allows.
  int LateArrivals() const {
    if (crashes_.size() < kCountedCrashes) {
      return 0;
    }
    std::vector<TimePoint> arrivals = arrivals_.Arrivals();
    return static_cast<int>(
        std::count_if(arrivals.begin(), arrivals.end(), [this](TimePoint at) {
          bool excused = at >= excused_from_ && at < excused_until_;
          return at > CountedCrash() + kContact && !excused;
        }));
  }

  // The share of the sound requests sent in a span of time that began at once.
  double BegunShare(TimePoint from, TimePoint to) const {
    int begun = 0;
    int all = 0;
    for (const SoundRequest& request : sound_) {
      bool within = request.sent >= from && request.sent < to;
      all += within ? 1 : 0;
      begun += within && request.begun ? 1 : 0;
    }
    EXPECT_GE(all, kMinSoundRequests);
    return all == 0 ? 0 : static_cast<double>(begun) / all;
  }

  void CheckBounds() {
    StopCallers();
    double calm = BegunShare(attack_began_ - kCalm, attack_began_);
    double later = BegunShare(CountedCrash() + 2 * kContact, attack_ended_);
    size_t whole = static_cast<size_t>(
        std::count_if(sound_.begin(), sound_.end(),
                      [](const auto& request) { return request.whole; }));
    std::cout << crashes_.size() << " crashes, " << arrivals_.Arrivals().size()
              << " arrivals at servers of requests with the part, "
              << LateArrivals() << " of them too late; sound requests: " << calm
              << " begun before, " << later << " during, " << whole << " of "
              << sound_.size() << " whole\n";
    EXPECT_LE(LateArrivals(), kMaxLateArrivals);
    EXPECT_GE(later, calm / 2);
  }

  ArrivalLog arrivals_;
  std::vector<Place> places_;
  int started_ = 0;
  std::atomic<int> requests_ = 0;
  std::mutex mutex_;  // Guards crashes_ and sound_ while the threads run.
  std::vector<TimePoint> crashes_;
  std::vector<SoundRequest> sound_;
  std::atomic<bool> fleet_stops_ = false;
  std::atomic<bool> callers_stop_ = false;
  std::atomic<bool> attack_stops_ = false;
  std::thread fleet_;
  std::thread attack_;
  std::vector<std::thread> callers_;
  TimePoint attack_began_;
  TimePoint attack_ended_;
  // While all instances have just started.
  TimePoint excused_from_;
  TimePoint excused_until_;
};

TEST_F(CrashingPromptsTest, PartThatCrashesServersIsKeptFromThem) {
  StartSystem(false);
  StartSoundCallers();
  std::this_thread::sleep_for(kCalm);
  StartAttack();
  std::this_thread::sleep_for(kAttack);
  CheckBounds();
}

// Resumes are repeats by our own hand.
TEST_F(CrashingPromptsTest, ResumedStreamsDoNotCrashServersOneByOne) {
  StartSystem(true);
  StartSoundCallers();
  std::this_thread::sleep_for(kCalm);
  StartAttack();
  std::this_thread::sleep_for(kAttack);
  CheckBounds();
}

// A process that has just started knows nothing until it is told.
TEST_F(CrashingPromptsTest, InstancesThatStartAgainKeepThePartFromServers) {
  StartSystem(false);
  StartSoundCallers();
  std::this_thread::sleep_for(kCalm);
  StartAttack();
  std::this_thread::sleep_for(Seconds(3));
  for (int i = 0; i < kInstances; ++i) {
    Kill(i, SIGKILL);
    Start(i);
    std::this_thread::sleep_for(Seconds(2));
  }
  std::this_thread::sleep_for(Seconds(6));
  CheckBounds();
}

// Nobody is left who knows. The instances have to find out again while they are
// excused.
TEST_F(CrashingPromptsTest, PartIsFoundAgainWhenAllInstancesWereKilled) {
  StartSystem(false);
  StartSoundCallers();
  std::this_thread::sleep_for(kCalm);
  StartAttack();
  std::this_thread::sleep_for(Seconds(4));
  KillAll();
  excused_from_ = SteadyClock::now();
  for (int i = 0; i < kInstances; ++i) {
    Start(i);
  }
  excused_until_ = SteadyClock::now() + kContact;
  std::this_thread::sleep_for(Seconds(10));
  CheckBounds();
}

}  // namespace
}  // namespace mangoyoke
