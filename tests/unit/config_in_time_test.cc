// Tests of how soon a new configuration is active everywhere while readers of
// the store, connections and the store itself fail. Nothing else carries it:
// the instances are one availability zone without membership probes.

#include <gtest/gtest.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <vector>

#include "tests/support/serving_instance.h"

namespace mangoyoke {
namespace {

constexpr int kInstances = 5;
// The shortest time that users give a change until it is active on instances
// that work, whatever happens to others.
constexpr Seconds kConfigBound{2};
// The shortest time that they give an instance to catch up after trouble with
// its connections or the store.
constexpr Seconds kRecoveryBound{3};
constexpr Revision kOld = 1;
constexpr Revision kNew = 2;

class ConfigInTimeTest : public ::testing::Test {
 protected:
  // Starts `instances` instances and waits until all long polls are held.
  ServingZone& StartZone(int instances = kInstances) {
    PutConfig(store_, kOld);
    PutServer(store_, "server");
    zone_ = std::make_unique<ServingZone>(io_, store_, instances);
    EXPECT_TRUE(Within(Seconds(3), zone_->all(), kOld));
    RunUntil(io_, Millis(300), [] { return false; });
    return *zone_;
  }

  // Whether `instances` have revision `revision` within `bound`.
  bool Within(Duration bound,
              const std::vector<ServingInstance*>& instances,
              Revision revision) {
    return RunUntil(io_, bound, [&] {
      return std::all_of(instances.begin(), instances.end(),
                         [revision](const ServingInstance* instance) {
                           return instance->revision() >= revision;
                         });
    });
  }

  boost::asio::io_context io_{1};
  FakeStore store_{io_};
  std::unique_ptr<ServingZone> zone_;
};

// The store is silent for the readers only: their connections stay open.
TEST_F(ConfigInTimeTest, ConfigIsLateWhereBothReadersAreCutOffFromTheStore) {
  ServingZone& zone = StartZone();
  store_.AbandonPendingWatches();
  for (ServingInstance* reader : zone.readers()) {
    reader->endpoint().SetUnresponsive(true);
  }
  PutConfig(store_, kNew);
  EXPECT_TRUE(Within(kConfigBound, zone.followers(), kNew));
}

TEST_F(ConfigInTimeTest, ConfigIsLateWhereBothReadersAreKilled) {
  ServingZone& zone = StartZone();
  for (ServingInstance* reader : zone.readers()) {
    reader->StopServingPeers();
  }
  PutConfig(store_, kNew);
  EXPECT_TRUE(Within(kConfigBound, zone.followers(), kNew));
}

TEST_F(ConfigInTimeTest, ConfigIsLateWhereBothReadersAreFrozen) {
  ServingZone& zone = StartZone();
  for (ServingInstance* reader : zone.readers()) {
    reader->Freeze();
  }
  PutConfig(store_, kNew);
  EXPECT_TRUE(Within(kConfigBound, zone.followers(), kNew));
}

TEST_F(ConfigInTimeTest, ConfigIsLateAfterConnectionsToTheStoreFellSilent) {
  ServingZone& zone = StartZone();
  store_.AbandonPendingWatches();
  PutConfig(store_, kNew);
  EXPECT_TRUE(Within(kRecoveryBound, zone.all(), kNew));
}

// The store comes back and never responds to the calls that it got before,
// the last of them just before its return. A single instance has nobody else to
// learn of the change from.
TEST_F(ConfigInTimeTest, ConfigIsLateAfterTheStoreForgotItsCalls) {
  ServingZone& zone = StartZone(1);
  FakeStoreEndpoint& endpoint = zone.all()[0]->endpoint();
  store_.AbandonPendingWatches();
  endpoint.SetUnresponsive(true);
  RunUntil(io_, Seconds(6), [] { return false; });
  uint64_t watches = endpoint.watches("op");
  ASSERT_TRUE(RunUntil(io_, Seconds(10), [&endpoint, watches] {
    return endpoint.watches("op") > watches;
  }));
  endpoint.SetUnresponsive(false);
  PutConfig(store_, kNew);
  EXPECT_TRUE(Within(kRecoveryBound, zone.all(), kNew));
}

// The store turns away an instance that starts, and one of the readers that it
// asks has been cut off from everybody since before the change.
TEST_F(ConfigInTimeTest, ConfigIsOlderAfterAStartBesideAnOldReader) {
  ServingZone& zone = StartZone();
  std::vector<MemberRecord> members;
  for (ServingInstance* instance : zone.all()) {
    members.push_back(instance->record());
  }
  ServingInstance& old_reader = *zone.readers()[0];
  old_reader.endpoint().SetUnavailable(true);
  old_reader.state().SetMembers(old_reader.record().id, {old_reader.record()});
  store_.AbandonPendingWatches();
  RunUntil(io_, kRecoveryBound, [] { return false; });
  PutConfig(store_, kNew);
  ASSERT_TRUE(Within(kConfigBound, {zone.readers()[1]}, kNew));
  ASSERT_EQ(old_reader.revision(), kOld);
  ServingInstance started(io_, store_, kInstances);
  started.endpoint().SetUnavailable(true);
  started.state().SetMembers(started.record().id, members);
  started.state().Start();
  EXPECT_TRUE(Within(kRecoveryBound, {&started}, kNew));
  Revision highest = started.revision();
  RunUntil(io_, Seconds(1), [] { return false; });
  EXPECT_GE(started.revision(), highest);
}

// After the store dropped its history, a full read may return old rows.
TEST_F(ConfigInTimeTest, ConfigIsMissedAfterAnOldFullRead) {
  ServingZone& zone = StartZone();
  for (ServingInstance* instance : zone.all()) {
    instance->endpoint().SetReadsBehind(true);
  }
  PutConfig(store_, kNew);
  store_.DropHistory();
  store_.AbandonPendingWatches();
  RunUntil(io_, Seconds(1), [] { return false; });
  for (ServingInstance* instance : zone.all()) {
    instance->endpoint().SetReadsBehind(false);
  }
  EXPECT_TRUE(Within(kRecoveryBound, zone.all(), kNew));
}

// Reads of whole tables are dear for the store and for small instances.
TEST_F(ConfigInTimeTest, StoreIsNotReadOverAndOverWhileItsReadsAreOld) {
  ServingZone& zone = StartZone(1);
  FakeStoreEndpoint& endpoint = zone.all()[0]->endpoint();
  endpoint.SetReadsBehind(true);
  store_.AbandonPendingWatches();
  PutConfig(store_, kNew);
  store_.DropHistory();
  uint64_t watches = endpoint.watches("op");
  ASSERT_TRUE(RunUntil(io_, Seconds(5), [&endpoint, watches] {
    return endpoint.watches("op") > watches;
  }));
  double calls = zone.all()[0]->StoreCalls();
  RunUntil(io_, Seconds(2), [] { return false; });
  // Two tables, each with a read and a long poll, up to ten times.
  EXPECT_LE(zone.all()[0]->StoreCalls() - calls, 40);
}

// One long poll is answered again, so the other one need not be waited for.
TEST_F(ConfigInTimeTest, ConfigWaitsForAForgottenCallAlthoughTheStoreResponds) {
  ServingZone& zone = StartZone(1);
  ServingInstance& instance = *zone.all()[0];
  store_.AbandonPendingWatches();
  instance.endpoint().SetUnresponsive(true);
  ASSERT_TRUE(RunUntil(io_, Seconds(5), [&] {
    return instance.client().reachability() == StoreReachability::kUnreachable;
  }));
  // A call for the configuration has just been sent, one for servers is due.
  uint64_t server_calls = instance.endpoint().watches("servers");
  ASSERT_TRUE(RunUntil(io_, Seconds(10), [&] {
    return instance.endpoint().watches("servers") > server_calls;
  }));
  RunUntil(io_, Millis(300), [] { return false; });
  uint64_t config_calls = instance.endpoint().watches("op");
  ASSERT_TRUE(RunUntil(io_, Seconds(10), [&] {
    return instance.endpoint().watches("op") > config_calls;
  }));
  instance.endpoint().SetUnresponsive(false);
  PutConfig(store_, kNew);
  ASSERT_TRUE(RunUntil(io_, kRecoveryBound, [&] {
    return instance.client().reachability() == StoreReachability::kReachable;
  }));
  EXPECT_TRUE(Within(Millis(100), zone.all(), kNew));
}

}  // namespace
}  // namespace mangoyoke
