// An accepted plan is in force everywhere within seconds and never reverts.

#include <gtest/gtest.h>

#include <signal.h>
#include <algorithm>

#include <thread>

#include "cluster.h"

namespace mangoyoke::testing {
namespace {

std::string Account(int number) {
  return "[account a" + std::to_string(number) + "]\n";
}

TEST(PlanTest, RacingOperatorsGetAConflict) {
  Cluster cluster;
  std::vector<ClientResponse> responses(3);
  std::vector<std::thread> operators;
  for (int i = 0; i < 3; ++i) {
    operators.emplace_back([&, i] {
      responses[i] = cluster.Submit(i, cluster.PlanText(Account(i)), 1,
                                    "operator" + std::to_string(i));
    });
  }
  for (std::thread& thread : operators) {
    thread.join();
  }
  int accepted = 0;
  int conflicts = 0;
  for (const ClientResponse& response : responses) {
    accepted += response.Succeeded() ? 1 : 0;
    conflicts += ReasonOf(response) == "plan_conflict" ? 1 : 0;
  }
  EXPECT_EQ(accepted, 1);
  EXPECT_EQ(conflicts, 2);
  EXPECT_TRUE(Eventually([&] { return cluster.InForceEverywhere(2); }));
}

TEST(PlanTest, LostReplyIsResolvedAndRepeatable) {
  Cluster cluster;
  cluster.Behave(cluster.PlatformUrl(), {{"lose_replies", 1}});
  std::string text = cluster.PlanText(Account(1));
  EXPECT_TRUE(cluster.Submit(0, text, 1, "once").Succeeded());
  EXPECT_TRUE(cluster.Submit(1, text, 1, "once").Succeeded());
  EXPECT_TRUE(Eventually([&] { return cluster.InForceEverywhere(2); }));
  for (int i = 0; i < 3; ++i) {
    EXPECT_EQ(cluster.RevisionAt(i), 2);
  }
}

TEST(PlanTest, SpreadsFromPeerToPeerWhenTheStoreDiesAfterAccepting) {
  Cluster cluster;
  cluster.Behave(cluster.PlatformUrl(), {{"outage_after_write", true}});
  EXPECT_TRUE(
      cluster.Submit(0, cluster.PlanText(Account(1)), 1, "x").Succeeded());
  EXPECT_TRUE(Eventually([&] { return cluster.InForceEverywhere(2); }));
  // An instance that starts in the outage gets it from its peers and serves.
  cluster.KillEntry(2);
  cluster.StartEntry(2);
  EXPECT_TRUE(Eventually([&] { return cluster.RevisionAt(2) == 2; }));
  EXPECT_EQ(
      cluster.Complete(2, "in the outage", 5, {{"X-Client-Account", "a1"}})
          .status,
      200);
}

TEST(PlanTest, InstanceThatKnowsNoPlanRefuses) {
  ClusterOptions options;
  options.entries = 1;
  options.submit_plan = false;
  Cluster cluster(options);
  auto response = cluster.Complete(0, "too early", 5);
  EXPECT_EQ(ReasonOf(response), "not_ready");
  EXPECT_EQ(response.status, 503);
}

TEST(PlanTest, OldReadsAndRestartsNeverRevert) {
  Cluster cluster;
  cluster.Behave(cluster.PlatformUrl(), {{"remember", true}});
  EXPECT_TRUE(
      cluster.Submit(0, cluster.PlanText(Account(1)), 1, "x").Succeeded());
  EXPECT_TRUE(Eventually([&] { return cluster.InForceEverywhere(2); }));
  cluster.Behave(cluster.PlatformUrl(), {{"old_reads", true}});
  cluster.KillEntry(1);
  cluster.StartEntry(1);
  // The restarted instance may read the old revision first, but its peers
  // know better and it never goes back.
  EXPECT_TRUE(Eventually([&] { return cluster.RevisionAt(1) == 2; }));
  for (int i = 0; i < 50; ++i) {
    for (int entry = 0; entry < 3; ++entry) {
      EXPECT_EQ(cluster.RevisionAt(entry), 2);
    }
    std::this_thread::sleep_for(Millis(50));
  }
  // A short step back would not be seen from outside; the log has them all.
  for (int entry = 0; entry < 3; ++entry) {
    for (const auto& run : cluster.RevisionsInForce(entry)) {
      EXPECT_TRUE(std::is_sorted(run.begin(), run.end()))
          << cluster.LogOf("entry" + std::to_string(entry));
    }
  }
  EXPECT_FALSE(cluster.RevisionsInForce(1).empty());
}

TEST(PlanTest, PartitionHealsForward) {
  ClusterOptions options;
  options.proxied_entries = true;
  options.entry_settings = "[timing]\nplan_read_ms = 600000\n";
  Cluster cluster(options);
  cluster.EntryFault(2, {{"fault", "cut"}});
  EXPECT_TRUE(
      cluster.Submit(0, cluster.PlanText(Account(1)), 1, "x").Succeeded());
  EXPECT_TRUE(Eventually([&] { return cluster.RevisionAt(1) == 2; }));
  cluster.EntryFault(2, {{"fault", "none"}});
  EXPECT_TRUE(Eventually([&] { return cluster.RevisionAt(2) == 2; }));
  EXPECT_EQ(cluster.RevisionAt(0), 2);
}

TEST(PlanTest, InvalidPlansChangeNothing) {
  Cluster cluster;
  auto response = cluster.Submit(0, "[plan]\nname = x\n[backend b]\n", 1, "x");
  EXPECT_EQ(ReasonOf(response), "plan_invalid");
  EXPECT_NE(response.body.find("url"), std::string::npos);
  EXPECT_EQ(cluster.RevisionAt(0), 1);
  EXPECT_EQ(ReasonOf(cluster.Submit(0, cluster.PlanText(), 7, "y")),
            "plan_conflict");
}

TEST(PlanTest, OrdersBringEnginesToTheModelVersion) {
  Cluster cluster;
  std::string plan = cluster.PlanText();
  size_t at = plan.find("[model assistant]\n") +
              std::string("[model assistant]\n").size();
  plan.insert(at, "version = 2\n");
  ASSERT_TRUE(cluster.Submit(0, plan, 1, "v2").Succeeded());
  for (const std::string& id : cluster.EngineIds()) {
    EXPECT_TRUE(Eventually([&] {
      return CallJson("GET", cluster.EngineUrl(id) + "/v1/state")
                 .value("version", 0) == 2;
    })) << id;
  }
}

TEST(PlanTest, NoOrdersWhileTheStoreIsOut) {
  Cluster cluster;
  std::string plan = cluster.PlanText();
  size_t at = plan.find("[model assistant]\n") +
              std::string("[model assistant]\n").size();
  plan.insert(at, "version = 2\n");
  cluster.Behave(cluster.PlatformUrl(), {{"outage_after_write", true}});
  ASSERT_TRUE(cluster.Submit(0, plan, 1, "v2").Succeeded());
  std::this_thread::sleep_for(Millis(3000));
  EXPECT_EQ(cluster.EngineSum("orders"), 0);
  cluster.Behave(cluster.PlatformUrl(),
                 {{"outage", false}, {"outage_after_write", false}});
  EXPECT_TRUE(Eventually([&] { return cluster.EngineSum("orders") >= 4; }));
}

}  // namespace
}  // namespace mangoyoke::testing
