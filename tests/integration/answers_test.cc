// Tests that each caller gets the complete response to its own request exactly
// once, despite faults of engines and instances, and that the engines hold no
// memory for requests that have ended.

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <thread>

#include "cluster.h"
#include "token_text.h"

namespace mangoyoke::testing {
namespace {

std::string TextOf(const ClientResponse& response) {
  Json body = Json::parse(response.body, nullptr, false);
  return body.is_object() && body.contains("choices")
             ? body["choices"][0].value("text", "")
             : response.body;
}

// Checks that every completion ended with its complete response or was refused:
// none is wrong or broken off, and at least one is complete.
void ExpectNothingLost(const Json& report) {
  const Json& ends = report["completions"]["ends"];
  EXPECT_EQ(ends.value("wrong", 0), 0) << report.dump(2);
  EXPECT_EQ(ends.value("broken", 0), 0) << report.dump(2);
  EXPECT_GT(ends.value("complete", 0), 0) << report.dump(2);
}

TEST(AnswersTest, EngineEventsRepeatedReorderedAndCut) {
  Cluster cluster;
  for (const char* id : {"d0", "d1"}) {
    cluster.SetBehavior(
        cluster.EngineUrl(id),
        {{"repeat_tokens", true}, {"reorder_tokens", true}, {"cut_after", 7}});
  }
  for (int i = 0; i < 4; ++i) {
    std::string prompt = "story " + std::to_string(i);
    auto response = cluster.SendCompletion(i % 3, prompt, 20);
    EXPECT_EQ(TextOf(response), standin::GeneratedText(prompt, 20));
  }
  EXPECT_TRUE(Eventually([&] { return cluster.EnginesIdle(); }));
}

TEST(AnswersTest, ChatHasItsOwnShape) {
  Cluster cluster;
  std::string url =
      "http://" + cluster.CallerAddress(0) + "/v1/chat/completions";
  Json request{{"model", "assistant"},
               {"messages",
                Json::array({{{"role", "user"}, {"content", "is it fit?"}}})},
               {"max_tokens", 4}};
  std::string expected = standin::GeneratedText("user: is it fit?\n", 4);
  Json whole = Json::parse(SendHttpRequest("POST", url, request.dump()).body);
  EXPECT_EQ(whole["choices"][0]["message"]["content"], expected);
  request["stream"] = true;
  std::string events = SendHttpRequest("POST", url, request.dump()).body;
  std::string text;
  for (size_t at = 0; (at = events.find("data: {", at)) != std::string::npos;) {
    Json chunk =
        Json::parse(events.substr(at + 6, events.find('\n', at) - at - 6));
    text += chunk["choices"][0]["delta"].value("content", "");
    ++at;
  }
  EXPECT_EQ(text, expected);
  EXPECT_NE(events.find("data: [DONE]"), std::string::npos);
}

// An event id of another request must not give access to its response.
TEST(AnswersTest, OnlyTheOwnRequestIsResumed) {
  Cluster cluster;
  std::string url = "http://" + cluster.CallerAddress(0) + "/v1/completions";
  Json request{{"model", "assistant"},
               {"prompt", "mine"},
               {"max_tokens", 6},
               {"stream", true}};
  std::string events = SendHttpRequest("POST", url, request.dump()).body;
  ASSERT_TRUE(events.starts_with("id: "));
  std::string id = events.substr(4, events.find('\n') - 4);
  HttpHeaders resume = {{"Last-Event-ID", id}};
  std::string rest = SendHttpRequest("POST", url, request.dump(), resume).body;
  EXPECT_NE(rest.find(standin::TokenText(StableHash("mine"), 1)),
            std::string::npos);
  // The stream was resumed at the engine, not computed again.
  EXPECT_EQ(cluster.ReadCounter(
                0, "mangoyoke_retries_total{reason=\"resume_elsewhere\"}"),
            0);
  request["prompt"] = "theirs";
  EXPECT_EQ(ErrorReason(SendHttpRequest("POST", url, request.dump(), resume)),
            "malformed_request");
}

TEST(AnswersTest, DecodeServerDiesInMidStream) {
  Cluster cluster;
  ClientResponse response;
  std::string prompt = "a long story";
  std::thread caller(
      [&] { response = cluster.SendCompletion(0, prompt, 100); });
  EXPECT_TRUE(
      Eventually([&] { return cluster.SumEngineStats("running") > 0; }));
  std::this_thread::sleep_for(Millis(300));
  for (const char* id : {"d0", "d1"}) {
    Json stats = SendJsonRequest("GET", cluster.EngineUrl(id) + "/admin/stats");
    if (stats.value("running", 0) > 0) {
      cluster.engine(id).Kill();
      break;
    }
  }
  caller.join();
  EXPECT_EQ(TextOf(response), standin::GeneratedText(prompt, 100));
}

TEST(AnswersTest, StalledTransferGoesElsewhere) {
  Cluster cluster;
  cluster.SetBehavior(cluster.EngineUrl("p0"), {{"stall_transfers", true}});
  for (int i = 0; i < 4; ++i) {
    std::string prompt = "stalled " + std::to_string(i);
    auto response = cluster.SendCompletion(i % 3, prompt, 10);
    EXPECT_EQ(TextOf(response), standin::GeneratedText(prompt, 10));
  }
  cluster.SetBehavior(cluster.EngineUrl("p0"), {{"stall_transfers", false}});
  EXPECT_TRUE(Eventually([&] { return cluster.EnginesIdle(); }));
}

TEST(AnswersTest, CallersThatGoAwayHoldNothing) {
  Cluster cluster;
  Json report = cluster.RunLoad(
      "--seconds 4 --rate 20 --cancel-share 0.5 --output-tokens 60 --seed 3");
  ExpectNothingLost(report);
  EXPECT_GT(report["completions"]["ends"].value("cancelled", 0), 0);
  EXPECT_TRUE(Eventually([&] { return cluster.EnginesIdle(); }));
  EXPECT_GT(cluster.SumEngineStats("cancels"), 0);
}

TEST(AnswersTest, OrphansOfADeadEntryAreCancelled) {
  ClusterOptions options;
  options.engine_flags = "--detach-life-ms 600000";
  Cluster cluster(options);
  // About a minute of tokens; the caller does not retry.
  std::thread caller([&] { cluster.SendCompletion(0, "nobody waits", 3000); });
  EXPECT_TRUE(
      Eventually([&] { return cluster.SumEngineStats("running") > 0; }));
  cluster.KillInstance(0);
  caller.join();
  EXPECT_TRUE(
      Eventually([&] { return cluster.EnginesIdle(); }, Millis(20'000)));
}

TEST(AnswersTest, KilledEntryStreamsAreResumedElsewhere) {
  ClusterOptions options;
  // Engines keep detached requests for 10 minutes, so orphans must be
  // cancelled.
  options.engine_flags = "--detach-life-ms 600000";
  Cluster cluster(options);
  Json report =
      cluster.RunLoad("--seconds 4 --rate 15 --output-tokens 60 --seed 4", [&] {
        std::this_thread::sleep_for(Millis(2000));
        cluster.KillInstance(0);
      });
  ExpectNothingLost(report);
  EXPECT_GT(report["completions"].value("resumed", 0), 0);
  EXPECT_TRUE(
      Eventually([&] { return cluster.EnginesIdle(); }, Millis(15'000)));
}

// Instances that cannot reach the allocator use the next one at once, before
// its death has been detected.
TEST(AnswersTest, AllocatorDiesAndTheNextTakesOver) {
  Cluster cluster;
  int allocator = -1;
  for (int i = 0; i < 3; ++i) {
    if (!cluster.GetStatus(i)["cells"].empty()) {
      allocator = i;
    }
  }
  ASSERT_GE(allocator, 0);
  cluster.KillInstance(allocator);
  for (int i = 0; i < 3; ++i) {
    if (i != allocator) {
      EXPECT_EQ(cluster.SendCompletion(i, "next, please", 5).status, 200);
    }
  }
  EXPECT_TRUE(Eventually([&] { return cluster.EnginesIdle(); }));
}

TEST(AnswersTest, SlowCallerIsHeldBackAndStallsNobody) {
  ClusterOptions options;
  options.instances = 1;
  options.engine_flags = "--gap-ms 0.2";
  options.instance_settings = "[limits]\nmax_buffered_bytes = 65536\n";
  Cluster cluster(options);
  std::string address = cluster.CallerAddress(0);
  int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(
      static_cast<uint16_t>(std::stoi(address.substr(address.rfind(':') + 1))));
  to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  ASSERT_EQ(::connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to), 0);
  std::string body = R"({"model":"assistant","prompt":"endless","stream":true,)"
                     R"("max_tokens":90000})";
  std::string request = "POST /v1/completions HTTP/1.1\r\nContent-Length: " +
                        std::to_string(body.size()) + "\r\n\r\n" + body;
  ASSERT_GT(::send(fd, request.data(), request.size(), MSG_NOSIGNAL), 0);
  EXPECT_TRUE(Eventually(
      [&] {
        return cluster.ReadCounter(0, "mangoyoke_slow_callers_total") >= 1;
      },
      Millis(30'000)));
  EXPECT_EQ(cluster.SendCompletion(0, "another caller", 50).status, 200);
  ::close(fd);
  EXPECT_TRUE(Eventually([&] { return cluster.EnginesIdle(); }));
}

TEST(AnswersTest, PausedEntryFindsOutBeforeItActs) {
  Cluster cluster;
  Json report = cluster.RunLoad(
      "--seconds 6 --rate 10 --bookings 10 --output-tokens 40 --seed 5", [&] {
        std::this_thread::sleep_for(Millis(1500));
        cluster.instance(1).SendSignal(SIGSTOP);
        std::this_thread::sleep_for(Millis(3000));
        cluster.instance(1).SendSignal(SIGCONT);
      });
  const Json& ends = report["completions"]["ends"];
  EXPECT_EQ(ends.value("wrong", 0), 0) << report.dump(2);
  EXPECT_EQ(report["bookings"].value("doubles", -1), 0) << report.dump(2);
  EXPECT_EQ(report["bookings"].value("ran_though_not_run", -1), 0);
  EXPECT_TRUE(Eventually(
      [&] { return cluster.ReadCounter(1, "mangoyoke_pauses_total") >= 1; }));
  EXPECT_TRUE(Eventually(
      [&] { return !cluster.GetStatus(1).value("suspended", true); }));
  EXPECT_TRUE(
      Eventually([&] { return cluster.EnginesIdle(); }, Millis(15'000)));
}

TEST(AnswersTest, RollingReplacementCutsNothingOff) {
  ClusterOptions options;
  options.instance_settings = "[timing]\nleave_notice_ms = 1500\n";
  Cluster cluster(options);
  Json report = cluster.RunLoad(
      "--seconds 12 --rate 10 --bookings 10 --output-tokens 40 --seed 6", [&] {
        for (int i = 0; i < 3; ++i) {
          std::this_thread::sleep_for(Millis(1000));  // Streams are open.
          cluster.instance(i).SendSignal(SIGTERM);
          EXPECT_EQ(cluster.instance(i).WaitForExit(Millis(20'000)), 0)
              << cluster.ReadLogTail("entry" + std::to_string(i));
          cluster.StartInstance(i);
          EXPECT_TRUE(
              Eventually([&] { return cluster.GetPlanRevision(i) == 1; }));
        }
      });
  ExpectNothingLost(report);
  EXPECT_EQ(report["completions"].value("cut", -1), 0) << report.dump(2);
  const Json& bookings = report["bookings"];
  EXPECT_EQ(bookings["ends"].value("confirmed", 0), bookings.value("sent", -1))
      << report.dump(2);
  EXPECT_EQ(bookings.value("doubles", -1), 0);
}

TEST(AnswersTest, WholeZoneDiesUnderLoadAndComesBack) {
  ClusterOptions options;
  options.instances = 9;
  Cluster cluster(options);
  Json report = cluster.RunLoad(
      "--seconds 8 --rate 12 --bookings 12 --output-tokens 40 --seed 8", [&] {
        std::this_thread::sleep_for(Millis(2000));
        for (int i : {0, 3, 6}) {  // All of zone0.
          cluster.KillInstance(i);
        }
        std::this_thread::sleep_for(Millis(2500));
        for (int i : {0, 3, 6}) {
          cluster.StartInstance(i);
        }
      });
  ExpectNothingLost(report);
  const Json& bookings = report["bookings"];
  EXPECT_EQ(bookings.value("doubles", -1), 0) << report.dump(2);
  EXPECT_EQ(bookings.value("ran_though_not_run", -1), 0);
  EXPECT_EQ(bookings.value("confirmed_not_executed", -1), 0);
  EXPECT_TRUE(Eventually([&] { return cluster.IsActiveEverywhere(1); }));
  EXPECT_TRUE(
      Eventually([&] { return cluster.EnginesIdle(); }, Millis(15'000)));
}

TEST(AnswersTest, LeavingBackendGetsNoNewWork) {
  Cluster cluster;
  std::string plan = cluster.PlanText();
  size_t at =
      plan.find("[backend d0]\n") + std::string("[backend d0]\n").size();
  plan.insert(at, "leaving = yes\n");
  ASSERT_TRUE(cluster.SubmitPlan(0, plan, 1, "leave-d0").Succeeded());
  ASSERT_TRUE(Eventually([&] { return cluster.IsActiveEverywhere(2); }));
  auto tokens = [&] {
    return SendJsonRequest("GET", cluster.EngineUrl("d0") + "/admin/stats")
        .value("tokens", -1.0);
  };
  double before = tokens();
  Json report = cluster.RunLoad("--seconds 3 --rate 10 --seed 7");
  ExpectNothingLost(report);
  EXPECT_EQ(tokens(), before);
}

}  // namespace
}  // namespace mangoyoke::testing
