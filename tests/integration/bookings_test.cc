// Non-idempotent requests are executed at most once, and a response that
// reports "not_run" is correct.

#include <gtest/gtest.h>
#include <signal.h>

#include <thread>

#include "cluster.h"

namespace mangoyoke::testing {
namespace {

std::string ExecutionOf(const ClientResponse& response) {
  Json body = Json::parse(response.body, nullptr, false);
  return body.is_object() && body.contains("error")
             ? body["error"].value("execution", "")
             : "answered";
}

TEST(BookingsTest, ConcurrentAndLateRetriesGetTheOneResult) {
  Cluster cluster;
  cluster.SetBehavior(cluster.ServiceUrl(0), {{"latency_ms", 300}});
  std::string key = cluster.GetTicket(0) + ":van";
  std::vector<std::thread> callers;
  std::vector<ClientResponse> responses(6);
  for (size_t i = 0; i < responses.size(); ++i) {
    callers.emplace_back([&, i] {
      responses[i] = cluster.SendBooking(static_cast<int>(i % 3), key);
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  responses.push_back(cluster.SendBooking(2, key));
  for (const ClientResponse& response : responses) {
    EXPECT_EQ(response.body, responses[0].body);
    EXPECT_EQ(response.status, 200);
  }
  EXPECT_EQ(cluster.ExecutionCount(key), 1);
}

TEST(BookingsTest, LostReplyIsUnknownAndNeverRepeated) {
  ClusterOptions options;
  options.service_servers = 2;
  Cluster cluster(options);
  cluster.SetBehavior(cluster.ServiceUrl(0), {{"drop_replies", 1}});
  cluster.SetBehavior(cluster.ServiceUrl(1), {{"drop_replies", 1}});
  std::string key = cluster.GetTicket(0) + ":lost";
  for (int i = 0; i < 4; ++i) {
    auto response = cluster.SendBooking(i % 3, key);
    EXPECT_EQ(ErrorReason(response), "backend_broken") << response.body;
    EXPECT_EQ(ExecutionOf(response), "unknown");
  }
  EXPECT_EQ(cluster.ExecutionCount(key), 1);
}

// The HTTP client resends a request by itself when a reused connection turns
// out to be closed. A service that executes a request and closes the connection
// without a response must not get the request twice.
TEST(BookingsTest, KeptConnectionThatClosesDoesNotRepeat) {
  ClusterOptions options;
  // One thread, so that the second request could reuse the first one's
  // connection.
  options.instance_settings = "[limits]\ntraffic_threads = 1\n";
  Cluster cluster(options);
  for (int i = 0; i < 5; ++i) {
    std::string warm = cluster.GetTicket(0) + ":warm" + std::to_string(i);
    EXPECT_EQ(cluster.SendBooking(0, warm).status, 200);
    cluster.SetBehavior(cluster.ServiceUrl(0), {{"drop_replies", 1}});
    std::string key = cluster.GetTicket(0) + ":closed" + std::to_string(i);
    cluster.SendBooking(0, key);
    EXPECT_EQ(cluster.ExecutionCount(key), 1);
  }
}

TEST(BookingsTest, OwnerKilledInMidCall) {
  Cluster cluster;
  cluster.SetBehavior(cluster.ServiceUrl(0), {{"latency_ms", 1000}});
  std::string key = cluster.GetTicket(0) + ":killed";
  std::thread caller([&] { cluster.SendBooking(0, key); });
  EXPECT_TRUE(Eventually([&] { return cluster.ExecutionCount(key) == 1; }));
  cluster.KillInstance(0);
  caller.join();
  for (int i = 0; i < 3; ++i) {
    EXPECT_EQ(ExecutionOf(cluster.SendBooking(1 + i % 2, key)), "unknown");
  }
  // The same holds once the owner is declared dead, and after its restart.
  EXPECT_TRUE(Eventually([&] {
    return ErrorReason(cluster.SendBooking(1, key)) == "owner_gone";
  }));
  cluster.StartInstance(0);
  EXPECT_TRUE(Eventually([&] { return cluster.GetPlanRevision(0) == 1; }));
  EXPECT_EQ(ExecutionOf(cluster.SendBooking(0, key)), "unknown");
  EXPECT_EQ(cluster.ExecutionCount(key), 1);
}

TEST(BookingsTest, ResultSurvivesItsOwner) {
  Cluster cluster;
  std::string key = cluster.GetTicket(0) + ":replicated";
  auto first = cluster.SendBooking(0, key);
  ASSERT_EQ(first.status, 200);
  cluster.KillInstance(0);
  EXPECT_TRUE(Eventually(
      [&] { return cluster.SendBooking(1, key).body == first.body; }));
  EXPECT_TRUE(Eventually(
      [&] { return cluster.SendBooking(2, key).body == first.body; }));
  EXPECT_EQ(cluster.ExecutionCount(key), 1);
}

TEST(BookingsTest, StoreOutageStopsOnlyKeysWithoutTicket) {
  Cluster cluster;
  std::string ticket = cluster.GetTicket(0);
  cluster.SetBehavior(cluster.PlatformUrl(), {{"outage", true}});
  EXPECT_EQ(cluster.SendBooking(1, ticket + ":outage").status, 200);
  auto refused = cluster.SendBooking(1, "no-ticket");
  EXPECT_EQ(ErrorReason(refused), "claim_unavailable") << refused.body;
  EXPECT_EQ(ExecutionOf(refused), "not_run");
  EXPECT_EQ(cluster.ExecutionCount("no-ticket"), 0);
  cluster.SetBehavior(cluster.PlatformUrl(), {{"outage", false}});
  EXPECT_EQ(cluster.SendBooking(1, "no-ticket").status, 200);
  EXPECT_EQ(cluster.SendBooking(2, "no-ticket").status, 200);
  EXPECT_EQ(cluster.ExecutionCount("no-ticket"), 1);
}

TEST(BookingsTest, ClaimWhoseReplyIsLostRunsOnce) {
  Cluster cluster;
  cluster.SetBehavior(cluster.PlatformUrl(), {{"lose_replies", 1}});
  EXPECT_EQ(cluster.SendBooking(0, "claimed").status, 200);
  EXPECT_EQ(cluster.SendBooking(1, "claimed").status, 200);
  EXPECT_EQ(cluster.ExecutionCount("claimed"), 1);
  // The claim is stored, its response is lost and the store becomes
  // unavailable: the request is not executed. A later retry executes it once.
  cluster.SetBehavior(cluster.PlatformUrl(),
                      {{"lose_replies", 1}, {"outage_after_lost", true}});
  auto refused = cluster.SendBooking(0, "claimed-2");
  EXPECT_EQ(ExecutionOf(refused), "not_run") << refused.body;
  EXPECT_EQ(cluster.ExecutionCount("claimed-2"), 0);
  cluster.SetBehavior(cluster.PlatformUrl(),
                      {{"outage", false}, {"outage_after_lost", false}});
  EXPECT_EQ(cluster.SendBooking(1, "claimed-2").status, 200);
  EXPECT_EQ(cluster.SendBooking(0, "claimed-2").status, 200);
  EXPECT_EQ(cluster.ExecutionCount("claimed-2"), 1);
}

TEST(BookingsTest, KeyWithOtherContentIsRefused) {
  Cluster cluster;
  std::string key = cluster.GetTicket(0) + ":reused";
  std::string url =
      "http://" + cluster.CallerAddress(0) + "/services/bookings/book";
  EXPECT_EQ(
      SendHttpRequest("POST", url, "{\"a\":1}", {{"Idempotency-Key", key}})
          .status,
      200);
  EXPECT_EQ(
      SendHttpRequest("POST", url, "{\"a\":2}", {{"Idempotency-Key", key}})
          .status,
      422);
  EXPECT_EQ(SendHttpRequest("POST", url, "{\"a\":1}").status, 400);
  EXPECT_EQ(cluster.ExecutionCount(key), 1);
}

TEST(BookingsTest, ReplyLostOnTheWayIsUnknown) {
  ClusterOptions options;
  options.proxied_services = true;
  Cluster cluster(options);
  std::string ticket = cluster.GetTicket(0);
  cluster.SetServiceFault(0, {{"fault", "lose_reply"}});
  EXPECT_EQ(ExecutionOf(cluster.SendBooking(0, ticket + ":a")), "unknown");
  cluster.SetServiceFault(0, {{"fault", "stall"}});
  EXPECT_EQ(ExecutionOf(cluster.SendBooking(0, ticket + ":b")), "unknown");
  cluster.SetServiceFault(0, {{"fault", "none"}});
  EXPECT_EQ(cluster.SendBooking(1, ticket + ":c").status, 200);
  EXPECT_EQ(cluster.ExecutionCount(ticket + ":a"), 1);
  EXPECT_LE(cluster.ExecutionCount(ticket + ":b"), 1);
}

TEST(BookingsTest, PartitionedOwnerIsUnknownNotRunTwice) {
  ClusterOptions options;
  options.proxied_instances = true;
  Cluster cluster(options);
  std::string key = cluster.GetTicket(0) + ":partition";
  cluster.SetPeerFault(0, {{"fault", "stall"}});
  std::string url =
      "http://" + cluster.CallerAddress(1) + "/services/bookings/book";
  auto response = SendHttpRequest(
      "POST", url, "{}", {{"Idempotency-Key", key}, {"X-Deadline-Ms", "800"}});
  EXPECT_EQ(ExecutionOf(response), "unknown") << response.body;
  EXPECT_EQ(cluster.SendBooking(0, key).status, 200);
  cluster.SetPeerFault(0, {{"fault", "none"}});
  EXPECT_TRUE(
      Eventually([&] { return cluster.SendBooking(2, key).status == 200; }));
  EXPECT_EQ(cluster.ExecutionCount(key), 1);
}

}  // namespace
}  // namespace mangoyoke::testing
