// Non-idempotent calls run at most once, and "not run" is true.

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
  cluster.Behave(cluster.ServiceUrl(0), {{"latency_ms", 300}});
  std::string key = cluster.TicketOf(0) + ":van";
  std::vector<std::thread> callers;
  std::vector<ClientResponse> responses(6);
  for (size_t i = 0; i < responses.size(); ++i) {
    callers.emplace_back(
        [&, i] { responses[i] = cluster.Book(static_cast<int>(i % 3), key); });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  responses.push_back(cluster.Book(2, key));
  for (const ClientResponse& response : responses) {
    EXPECT_EQ(response.body, responses[0].body);
    EXPECT_EQ(response.status, 200);
  }
  EXPECT_EQ(cluster.ExecutionsOf(key), 1);
}

TEST(BookingsTest, LostReplyIsUnknownAndNeverRepeated) {
  ClusterOptions options;
  options.services = 2;
  Cluster cluster(options);
  cluster.Behave(cluster.ServiceUrl(0), {{"drop_replies", 1}});
  cluster.Behave(cluster.ServiceUrl(1), {{"drop_replies", 1}});
  std::string key = cluster.TicketOf(0) + ":lost";
  for (int i = 0; i < 4; ++i) {
    auto response = cluster.Book(i % 3, key);
    EXPECT_EQ(ReasonOf(response), "backend_broken") << response.body;
    EXPECT_EQ(ExecutionOf(response), "unknown");
  }
  EXPECT_EQ(cluster.ExecutionsOf(key), 1);
}

// The HTTP client repeats a request by itself when a kept connection turns
// out closed; a service that runs a call and closes must not see it again.
TEST(BookingsTest, KeptConnectionThatClosesDoesNotRepeat) {
  ClusterOptions options;
  // One thread, so that the second call could use the first one's connection.
  options.entry_settings = "[limits]\ntraffic_threads = 1\n";
  Cluster cluster(options);
  for (int i = 0; i < 5; ++i) {
    std::string warm = cluster.TicketOf(0) + ":warm" + std::to_string(i);
    EXPECT_EQ(cluster.Book(0, warm).status, 200);
    cluster.Behave(cluster.ServiceUrl(0), {{"drop_replies", 1}});
    std::string key = cluster.TicketOf(0) + ":closed" + std::to_string(i);
    cluster.Book(0, key);
    EXPECT_EQ(cluster.ExecutionsOf(key), 1);
  }
}

TEST(BookingsTest, OwnerKilledInMidCall) {
  Cluster cluster;
  cluster.Behave(cluster.ServiceUrl(0), {{"latency_ms", 1000}});
  std::string key = cluster.TicketOf(0) + ":killed";
  std::thread caller([&] { cluster.Book(0, key); });
  EXPECT_TRUE(Eventually([&] { return cluster.ExecutionsOf(key) == 1; }));
  cluster.KillEntry(0);
  caller.join();
  for (int i = 0; i < 3; ++i) {
    EXPECT_EQ(ExecutionOf(cluster.Book(1 + i % 2, key)), "unknown");
  }
  // Also once the owner is known to be dead, and after it started again.
  EXPECT_TRUE(Eventually(
      [&] { return ReasonOf(cluster.Book(1, key)) == "owner_gone"; }));
  cluster.StartEntry(0);
  EXPECT_TRUE(Eventually([&] { return cluster.RevisionAt(0) == 1; }));
  EXPECT_EQ(ExecutionOf(cluster.Book(0, key)), "unknown");
  EXPECT_EQ(cluster.ExecutionsOf(key), 1);
}

TEST(BookingsTest, ResultSurvivesItsOwner) {
  Cluster cluster;
  std::string key = cluster.TicketOf(0) + ":replicated";
  auto first = cluster.Book(0, key);
  ASSERT_EQ(first.status, 200);
  cluster.KillEntry(0);
  EXPECT_TRUE(
      Eventually([&] { return cluster.Book(1, key).body == first.body; }));
  EXPECT_TRUE(
      Eventually([&] { return cluster.Book(2, key).body == first.body; }));
  EXPECT_EQ(cluster.ExecutionsOf(key), 1);
}

TEST(BookingsTest, StoreOutageStopsOnlyKeysWithoutTicket) {
  Cluster cluster;
  std::string ticket = cluster.TicketOf(0);
  cluster.Behave(cluster.PlatformUrl(), {{"outage", true}});
  EXPECT_EQ(cluster.Book(1, ticket + ":outage").status, 200);
  auto refused = cluster.Book(1, "no-ticket");
  EXPECT_EQ(ReasonOf(refused), "claim_unavailable") << refused.body;
  EXPECT_EQ(ExecutionOf(refused), "not_run");
  EXPECT_EQ(cluster.ExecutionsOf("no-ticket"), 0);
  cluster.Behave(cluster.PlatformUrl(), {{"outage", false}});
  EXPECT_EQ(cluster.Book(1, "no-ticket").status, 200);
  EXPECT_EQ(cluster.Book(2, "no-ticket").status, 200);
  EXPECT_EQ(cluster.ExecutionsOf("no-ticket"), 1);
}

TEST(BookingsTest, ClaimWhoseReplyIsLostRunsOnce) {
  Cluster cluster;
  cluster.Behave(cluster.PlatformUrl(), {{"lose_replies", 1}});
  EXPECT_EQ(cluster.Book(0, "claimed").status, 200);
  EXPECT_EQ(cluster.Book(1, "claimed").status, 200);
  EXPECT_EQ(cluster.ExecutionsOf("claimed"), 1);
  // The claim takes effect, then the store dies: not run, and later once.
  cluster.Behave(cluster.PlatformUrl(),
                 {{"lose_replies", 1}, {"outage_after_lost", true}});
  auto refused = cluster.Book(0, "claimed-2");
  EXPECT_EQ(ExecutionOf(refused), "not_run") << refused.body;
  EXPECT_EQ(cluster.ExecutionsOf("claimed-2"), 0);
  cluster.Behave(cluster.PlatformUrl(),
                 {{"outage", false}, {"outage_after_lost", false}});
  EXPECT_EQ(cluster.Book(1, "claimed-2").status, 200);
  EXPECT_EQ(cluster.Book(0, "claimed-2").status, 200);
  EXPECT_EQ(cluster.ExecutionsOf("claimed-2"), 1);
}

TEST(BookingsTest, KeyWithOtherContentIsRefused) {
  Cluster cluster;
  std::string key = cluster.TicketOf(0) + ":reused";
  std::string url =
      "http://" + cluster.EntryAddress(0) + "/services/bookings/book";
  EXPECT_EQ(Call("POST", url, "{\"a\":1}", {{"Idempotency-Key", key}}).status,
            200);
  EXPECT_EQ(Call("POST", url, "{\"a\":2}", {{"Idempotency-Key", key}}).status,
            422);
  EXPECT_EQ(Call("POST", url, "{\"a\":1}").status, 400);
  EXPECT_EQ(cluster.ExecutionsOf(key), 1);
}

TEST(BookingsTest, ReplyLostOnTheWayIsUnknown) {
  ClusterOptions options;
  options.proxied_services = true;
  Cluster cluster(options);
  std::string ticket = cluster.TicketOf(0);
  cluster.ServiceFault(0, {{"fault", "lose_reply"}});
  EXPECT_EQ(ExecutionOf(cluster.Book(0, ticket + ":a")), "unknown");
  cluster.ServiceFault(0, {{"fault", "stall"}});
  EXPECT_EQ(ExecutionOf(cluster.Book(0, ticket + ":b")), "unknown");
  cluster.ServiceFault(0, {{"fault", "none"}});
  EXPECT_EQ(cluster.Book(1, ticket + ":c").status, 200);
  EXPECT_EQ(cluster.ExecutionsOf(ticket + ":a"), 1);
  EXPECT_LE(cluster.ExecutionsOf(ticket + ":b"), 1);
}

TEST(BookingsTest, PartitionedOwnerIsUnknownNotRunTwice) {
  ClusterOptions options;
  options.proxied_entries = true;
  Cluster cluster(options);
  std::string key = cluster.TicketOf(0) + ":partition";
  cluster.EntryFault(0, {{"fault", "stall"}});
  std::string url =
      "http://" + cluster.EntryAddress(1) + "/services/bookings/book";
  auto response = Call("POST", url, "{}",
                       {{"Idempotency-Key", key}, {"X-Deadline-Ms", "800"}});
  EXPECT_EQ(ExecutionOf(response), "unknown") << response.body;
  EXPECT_EQ(cluster.Book(0, key).status, 200);
  cluster.EntryFault(0, {{"fault", "none"}});
  EXPECT_TRUE(Eventually([&] { return cluster.Book(2, key).status == 200; }));
  EXPECT_EQ(cluster.ExecutionsOf(key), 1);
}

}  // namespace
}  // namespace mangoyoke::testing
