// Tests of ServingState against a fake store, alone and with other instances.

#include <gtest/gtest.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <memory>

#include "tests/support/serving_instance.h"

namespace mangoyoke {
namespace {

constexpr char kStoreAddress[] = "127.0.0.1:18971";

class ServingStateTest : public ::testing::Test {
 protected:
  ServingStateTest()
      : endpoint_(io_, store_, kStoreAddress),
        client_(io_, kStoreAddress, metrics_),
        peers_(io_),
        state_(io_, settings_, codec_, client_, peers_, metrics_) {}

  size_t ServerCount() const { return state_.servers()->servers.size(); }

  boost::asio::io_context io_{1};
  GatewaySettings settings_;
  Metrics metrics_;
  platform::PlatformStoreCodec codec_;
  FakeStore store_{io_};
  FakeStoreEndpoint endpoint_;
  StoreClient client_;
  PeerClient peers_;
  ServingState state_;
};

// The store stops responding and later recovers, but never responds to the long
// polls that it held. Server changes must not wait for those to time out.
TEST_F(ServingStateTest, ServerChangesAreSeenSoonAfterASilentStoreIsBack) {
  PutServer(store_, "a");
  state_.Start();
  ASSERT_TRUE(RunUntil(io_, Seconds(1), [this] { return ServerCount() == 1; }));
  RunUntil(io_, Millis(100), [] { return false; });
  store_.AbandonPendingWatches();
  endpoint_.SetUnresponsive(true);
  ASSERT_TRUE(RunUntil(io_, Seconds(4), [this] {
    return client_.reachability() == StoreReachability::kUnreachable;
  }));
  PutServer(store_, "b");
  endpoint_.SetUnresponsive(false);
  EXPECT_TRUE(RunUntil(io_, Seconds(3), [this] { return ServerCount() == 2; }));
}

// Five instances of one zone. Two of them are readers.
class StoreReaderTest : public ::testing::Test {
 protected:
  static constexpr int kInstances = 5;
  // A change has to be known everywhere within the smallest of the users'
  // bounds for leaving servers, also when a reader fails.
  static constexpr Seconds kChangeBound{3};
  // Longer than it takes to notice that the store is down.
  static constexpr Seconds kOutage{6};

  StoreReaderTest() {
    PutConfig(store_, 1);
    PutServer(store_, "first");
    zone_ = std::make_unique<ServingZone>(io_, store_, kInstances);
    readers_ = zone_->readers();
    followers_ = zone_->followers();
  }

  bool AllHave(const std::vector<ServingInstance*>& instances,
               const BackendId& id) {
    return std::all_of(
        instances.begin(), instances.end(),
        [&id](const ServingInstance* instance) { return instance->Has(id); });
  }
  bool NoneHas(const std::vector<ServingInstance*>& instances,
               const BackendId& id) {
    return std::none_of(
        instances.begin(), instances.end(),
        [&id](const ServingInstance* instance) { return instance->Has(id); });
  }
  void WaitForAll() {
    ASSERT_TRUE(RunUntil(io_, Seconds(3), [this] {
      return AllHave(readers_, "first") && AllHave(followers_, "first");
    }));
  }

  boost::asio::io_context io_{1};
  FakeStore store_{io_};
  std::unique_ptr<ServingZone> zone_;
  std::vector<ServingInstance*> readers_;
  std::vector<ServingInstance*> followers_;
};

TEST_F(StoreReaderTest, FollowersGetChangesWithoutCallingTheStore) {
  ASSERT_EQ(readers_.size(), kReadersPerZone);
  WaitForAll();
  PutServer(store_, "second");
  EXPECT_TRUE(RunUntil(io_, Seconds(1),
                       [this] { return AllHave(followers_, "second"); }));
  store_.Put("servers", "first", std::nullopt);
  EXPECT_TRUE(RunUntil(io_, Seconds(1),
                       [this] { return NoneHas(followers_, "first"); }));
  RunUntil(io_, Seconds(3), [] { return false; });
  for (ServingInstance* follower : followers_) {
    EXPECT_EQ(follower->StoreCalls(), 0);
  }
}

// A change answers the followers' polls just before the readers' views are
// confirmed; then nothing changes for a while.
TEST_F(StoreReaderTest, FollowersOfWorkingReadersDoNotReadTheStore) {
  WaitForAll();
  Millis watch =
      DeriveChangeTimeouts(GatewaySettings{}.change_bound).config_watch;
  for (const std::string id : {"second", "third", "fourth"}) {
    uint64_t watches = readers_[0]->endpoint().watches("op");
    ASSERT_TRUE(RunUntil(io_, Seconds(5), [this, watches] {
      return readers_[0]->endpoint().watches("op") > watches;
    }));
    RunUntil(io_, watch - Millis(30), [] { return false; });
    PutServer(store_, id);
    RunUntil(io_, Seconds(2), [] { return false; });
  }
  for (ServingInstance* follower : followers_) {
    EXPECT_EQ(follower->StoreCalls(), 0);
  }
}

// At the start of a fleet each instance takes itself for a reader until it
// knows the others.
TEST_F(StoreReaderTest, InstanceThatIsNoReaderAnyMoreStopsReading) {
  ServingInstance& late = *followers_[0];
  std::vector<MemberRecord> members;
  for (ServingInstance* instance : zone_->all()) {
    members.push_back(instance->record());
  }
  late.state().SetMembers(late.record().id, {late.record()});
  ASSERT_TRUE(
      RunUntil(io_, Seconds(2), [&late] { return late.StoreCalls() > 0; }));
  late.state().SetMembers(late.record().id, members);
  RunUntil(io_, Seconds(5), [] { return false; });
  double calls = late.StoreCalls();
  RunUntil(io_, Seconds(4), [] { return false; });
  EXPECT_EQ(late.StoreCalls(), calls);
}

TEST_F(StoreReaderTest, ChangesArriveWhenAReaderIsFrozen) {
  WaitForAll();
  readers_[0]->Freeze();
  PutServer(store_, "second");
  EXPECT_TRUE(RunUntil(io_, kChangeBound,
                       [this] { return AllHave(followers_, "second"); }));
}

TEST_F(StoreReaderTest, ChangesArriveWhenAllReadersAreKilled) {
  WaitForAll();
  for (ServingInstance* reader : readers_) {
    reader->StopServingPeers();
  }
  PutServer(store_, "second");
  EXPECT_TRUE(RunUntil(io_, kChangeBound,
                       [this] { return AllHave(followers_, "second"); }));
}

TEST_F(StoreReaderTest, ChangesArriveWhenTheStoreTurnsAReaderAway) {
  WaitForAll();
  readers_[0]->endpoint().SetUnavailable(true);
  PutServer(store_, "second");
  EXPECT_TRUE(RunUntil(io_, kChangeBound, [this] {
    return AllHave(followers_, "second") && AllHave(readers_, "second");
  }));
}

TEST_F(StoreReaderTest, ChangesArriveWhenTheStoreDoesNotRespondToAnyReader) {
  WaitForAll();
  for (ServingInstance* reader : readers_) {
    reader->endpoint().SetUnavailable(true);
  }
  PutServer(store_, "second");
  EXPECT_TRUE(RunUntil(io_, Seconds(4), [this] {
    return AllHave(followers_, "second") && AllHave(readers_, "second");
  }));
}

// Rows expire while the store is down. Followers keep the servers as long as
// readers do.
TEST_F(StoreReaderTest, FollowersKeepServersWhoseRowsExpiredInAnOutage) {
  WaitForAll();
  for (ServingInstance* instance : zone_->all()) {
    instance->endpoint().SetUnavailable(true);
  }
  RunUntil(io_, kOutage, [] { return false; });
  store_.Put("servers", "first", std::nullopt);
  PutServer(store_, "second");
  for (ServingInstance* instance : zone_->all()) {
    instance->endpoint().SetUnavailable(false);
  }
  ASSERT_TRUE(RunUntil(io_, kChangeBound,
                       [this] { return AllHave(followers_, "second"); }));
  EXPECT_TRUE(AllHave(readers_, "first"));
  EXPECT_TRUE(AllHave(followers_, "first"));
  // It does not register again, so it is gone.
  EXPECT_TRUE(RunUntil(io_, Seconds(3), [this] {
    return NoneHas(readers_, "first") && NoneHas(followers_, "first");
  }));
}

// A follower read the store itself in an outage, and stopped since its
// readers were confirmed first. Much later the readers freeze, and it reads
// again. A row that is removed by then has not expired in an outage.
TEST_F(StoreReaderTest, PastOutageKeepsNoServerThatIsGone) {
  WaitForAll();
  ServingInstance& follower = *followers_[0];
  for (ServingInstance* instance : zone_->all()) {
    instance->endpoint().SetUnavailable(true);
  }
  ASSERT_TRUE(RunUntil(io_, kOutage, [&follower] {
    return follower.client().reachability() == StoreReachability::kUnreachable;
  }));
  for (ServingInstance* reader : readers_) {
    reader->endpoint().SetUnavailable(false);
  }
  // Its readers confirm its view; its own calls fail until it makes none.
  RunUntil(io_, Seconds(5), [] { return false; });
  double calls = follower.StoreCalls();
  follower.endpoint().SetUnavailable(false);
  RunUntil(io_, Seconds(4), [] { return false; });
  ASSERT_EQ(follower.StoreCalls(), calls);
  for (ServingInstance* reader : readers_) {
    reader->Freeze();
  }
  RunUntil(io_, Millis(100), [] { return false; });
  store_.Put("servers", "first", std::nullopt);
  PutServer(store_, "second");
  ASSERT_TRUE(RunUntil(io_, kChangeBound,
                       [&follower] { return follower.Has("second"); }));
  EXPECT_FALSE(follower.Has("first"));
}

// An instance that starts again and asks only one with an old view must not
// count as current.
TEST_F(StoreReaderTest, OldViewConfirmsNothing) {
  WaitForAll();
  for (ServingInstance* instance : zone_->all()) {
    instance->endpoint().SetUnavailable(true);
  }
  RunUntil(io_, kOutage, [] { return false; });
  double age_ms = 0;
  followers_[0]->state().HandlePoll(
      EncodeServingPoll(ServingView{}, Millis(1000)),
      [&age_ms](Result<Json> result) {
        age_ms = std::get<Json>(result).at("a").get<double>();
      });
  EXPECT_GT(age_ms, ToMillis(StoreReaderOptions{}.max_unconfirmed));
}

TEST(StoreReaderRoleTest, FollowerReadsOnlyWhileNoReaderConfirms) {
  TimePoint start = TimePoint() + Seconds(100);
  StoreReaderOptions options;
  StoreReaderRole role(options, start);
  role.SetReaders(false, true);
  EXPECT_FALSE(role.UpdateAndCheckReads(start + Millis(500)));
  TimePoint confirmed = start + Millis(1500);
  role.OnConfirmed(confirmed);
  EXPECT_FALSE(role.UpdateAndCheckReads(confirmed + options.max_unconfirmed));
  TimePoint late = confirmed + options.max_unconfirmed + Millis(1);
  EXPECT_TRUE(role.UpdateAndCheckReads(late));
  role.OnConfirmed(late);
  role.OnConfirmed(late -
                   Seconds(1));  // An older confirmation changes nothing.
  EXPECT_TRUE(role.IsConfirmed(late + options.max_unconfirmed));
  TimePoint lingered = late + options.linger;
  role.OnConfirmed(lingered);
  EXPECT_FALSE(role.UpdateAndCheckReads(lingered));
}

TEST(StoreReaderRoleTest, InstanceThatHearsOfNoOtherReadsAfterAMoment) {
  TimePoint start = TimePoint() + Seconds(100);
  StoreReaderOptions options;
  StoreReaderRole role(options, start);
  EXPECT_FALSE(role.UpdateAndCheckReads(start));
  EXPECT_TRUE(role.UpdateAndCheckReads(start + options.discovery_time));
  StoreReaderRole reader(options, start);
  reader.SetReaders(true, true);
  EXPECT_TRUE(reader.UpdateAndCheckReads(start));
}

}  // namespace
}  // namespace mangoyoke
