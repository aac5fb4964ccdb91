// Injects seeded faults into real processes under load: kills, pauses,
// partitions, store faults, stalled transfers, callers that disconnect; one or
// two per case. After each case the invariants are checked.
//
// MANGOYOKE_CAMPAIGN_CASES sets the number of cases (default 12),
// MANGOYOKE_CAMPAIGN_SEED the first seed (default 1).

#include <gtest/gtest.h>
#include <signal.h>

#include <cstdlib>
#include <random>
#include <thread>

#include "cluster.h"

namespace mangoyoke::testing {
namespace {

constexpr int kInstances = 3;

int ReadEnvironmentInt(const char* name, int fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::atoi(text);
}

// Injects faults into a cluster.
class Campaign {
 public:
  explicit Campaign(Cluster& cluster) : cluster_(cluster) {}

  // Injects one fault, removes it after a while, and returns its name.
  std::string Fault(std::mt19937_64& random) {
    int instance_index = static_cast<int>(random() % kInstances);
    std::string engine = cluster_.EngineIds()[random() % 4];
    auto pause = Millis(100 + random() % 1500);
    switch (random() % 9) {
      case 0:
        cluster_.KillInstance(instance_index);
        Sleep(pause);
        cluster_.StartInstance(instance_index);
        return "kill instance";
      case 1:
        cluster_.instance(instance_index).SendSignal(SIGSTOP);
        Sleep(pause * 2);
        cluster_.instance(instance_index).SendSignal(SIGCONT);
        return "pause instance";
      case 2:
        cluster_.SetPeerFault(instance_index, {{"fault", "stall"}});
        Sleep(pause * 2);
        cluster_.SetPeerFault(instance_index, {{"fault", "none"}});
        return "stall instance's connections to peers";
      case 3:
        cluster_.SetPeerFault(instance_index, {{"fault", "cut"}});
        Sleep(pause * 2);
        cluster_.SetPeerFault(instance_index, {{"fault", "none"}});
        return "cut instance's connections to peers";
      case 4:
        cluster_.SetBehavior(cluster_.PlatformUrl(), {{"outage", true}});
        Sleep(pause * 2);
        cluster_.SetBehavior(cluster_.PlatformUrl(), {{"outage", false}});
        return "store outage";
      case 5:
        cluster_.SetBehavior(cluster_.PlatformUrl(), {{"lose_replies", 3}});
        Sleep(pause);
        cluster_.SetBehavior(cluster_.PlatformUrl(), {{"lose_replies", 0}});
        return "store loses replies";
      case 6:
        cluster_.SetBehavior(cluster_.EngineUrl(engine),
                             {{"stall_transfers", true}});
        Sleep(pause);
        cluster_.SetBehavior(cluster_.EngineUrl(engine),
                             {{"stall_transfers", false}});
        return "stalled transfers";
      case 7:
        cluster_.SetBehavior(cluster_.EngineUrl(engine),
                             {{"repeat_tokens", true},
                              {"reorder_tokens", true},
                              {"cut_after", 5},
                              {"slow", 3.0}});
        Sleep(pause);
        cluster_.SetBehavior(cluster_.EngineUrl(engine),
                             {{"repeat_tokens", false},
                              {"reorder_tokens", false},
                              {"cut_after", 0},
                              {"slow", 1.0}});
        return "misbehaving engine";
      default:
        cluster_.SetBehavior(cluster_.ServiceUrl(0), {{"drop_replies", 3}});
        Sleep(pause);
        cluster_.SetBehavior(cluster_.ServiceUrl(0), {{"drop_replies", 0}});
        return "service loses replies";
    }
  }

 private:
  static void Sleep(Millis pause) { std::this_thread::sleep_for(pause); }

  Cluster& cluster_;
};

TEST(CampaignTest, InvariantsHoldUnderSeededFaults) {
  ClusterOptions options;
  options.instances = kInstances;
  options.proxied_instances = true;
  options.engine_flags = "--gap-ms 10 --detach-life-ms 2000";
  Cluster cluster(options);
  Campaign campaign(cluster);
  int cases = ReadEnvironmentInt("MANGOYOKE_CAMPAIGN_CASES", 12);
  int first = ReadEnvironmentInt("MANGOYOKE_CAMPAIGN_SEED", 1);
  int revision = 1;
  for (int seed = first; seed < first + cases; ++seed) {
    std::mt19937_64 random(static_cast<uint64_t>(seed));
    std::string faults;
    std::string flags =
        "--seconds 2 --rate 8 --bookings 15 --cancel-share 0.2 "
        "--document-tokens 800 --output-tokens 30 --seed " +
        std::to_string(seed) + (seed % 3 == 0 ? " --no-tickets" : "");
    Json report = cluster.RunLoad(flags, [&] {
      std::this_thread::sleep_for(Millis(600));
      int count = 1 + seed % 2;
      for (int i = 0; i < count; ++i) {
        faults += (i == 0 ? "" : ", ") + campaign.Fault(random);
      }
    });
    SCOPED_TRACE("seed " + std::to_string(seed) + ": " + faults + "\n" +
                 report.dump(2));
    const Json& ends = report["completions"]["ends"];
    EXPECT_EQ(ends.value("wrong", 0), 0);
    EXPECT_EQ(ends.value("broken", 0), 0);
    EXPECT_EQ(report["bookings"].value("doubles", -1), 0);
    EXPECT_EQ(report["bookings"].value("ran_though_not_run", -1), 0);
    EXPECT_EQ(report["bookings"].value("confirmed_not_executed", -1), 0);
    EXPECT_TRUE(
        Eventually([&] { return cluster.EnginesIdle(); }, Millis(15'000)));
    EXPECT_TRUE(
        Eventually([&] { return cluster.IsActiveEverywhere(revision); }));
    if (seed % 4 == 0 &&
        cluster
            .SubmitPlan(seed % kInstances, cluster.PlanText(), revision,
                        "case" + std::to_string(seed))
            .Succeeded()) {
      ++revision;
      EXPECT_TRUE(
          Eventually([&] { return cluster.IsActiveEverywhere(revision); }));
    }
    if (HasFailure()) {
      break;
    }
  }
}

}  // namespace
}  // namespace mangoyoke::testing
