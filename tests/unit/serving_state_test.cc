// Tests of ServingState against a fake store, alone and with other instances.

#include <gtest/gtest.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>

#include "gateway/control/serving_state.h"
#include "platform/store_codec.h"
#include "tests/support/fake_store.h"

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

  void PutServer(const std::string& id) {
    store_.Put("servers", id,
               nlohmann::json{{"Service", "s"},
                              {"Address", "127.0.0.1:1"},
                              {"Zone", "z"},
                              {"Version", "v1"},
                              {"Slots", 1},
                              {"State", "ready"},
                              {"ColdRemainingMs", 0},
                              {"Seq", 1}}
                   .dump());
  }

  // Runs the event loop until `done`, for at most `timeout`.
  bool RunUntil(Duration timeout, const std::function<bool()>& done) {
    TimePoint end = SteadyClock::now() + timeout;
    while (!done() && SteadyClock::now() < end) {
      io_.run_for(Millis(10));
    }
    return done();
  }

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
  PutServer("a");
  state_.Start();
  ASSERT_TRUE(RunUntil(Seconds(1), [this] { return ServerCount() == 1; }));
  RunUntil(Millis(100), [] { return false; });
  store_.AbandonPendingWatches();
  endpoint_.SetUnresponsive(true);
  ASSERT_TRUE(RunUntil(Seconds(4), [this] { return !client_.reachable(); }));
  PutServer("b");
  endpoint_.SetUnresponsive(false);
  EXPECT_TRUE(RunUntil(Seconds(3), [this] { return ServerCount() == 2; }));
}

// One instance with its own address of the store, so that the store can turn it
// away, and its own address for peers.
class Instance : public PeerHandler {
 public:
  Instance(boost::asio::io_context& io, FakeStore& store, int number)
      : store_address_("127.0.0.1:" + std::to_string(kFirstPort + number)),
        endpoint_(io, store, store_address_),
        client_(io, store_address_, metrics_),
        peers_(io),
        server_(std::make_unique<PeerServer>(io, *this)),
        state_(io, settings_, codec_, client_, peers_, metrics_) {
    record_.id = "i" + std::to_string(number);
    record_.zone = "z";
    record_.peer_address =
        "127.0.0.1:" + std::to_string(kFirstPort + 10 + number);
    EXPECT_TRUE(Ok(server_->Listen(record_.peer_address)));
  }

  void OnPeerRequest(const std::string& path,
                     const Json& message,
                     PeerResponder respond) override {
    EXPECT_EQ(path, kServingPollPath);
    if (!frozen_) {
      state_.HandlePoll(message, std::move(respond));
    }
  }

  // Ends all connections of peers and accepts no more.
  void StopServingPeers() { server_.reset(); }
  // Polls get no response any more.
  void Freeze() { frozen_ = true; }
  double StoreCalls() const {
    return metrics_.CounterValue("mangoyoke_store_calls_total");
  }
  const MemberRecord& record() const { return record_; }
  FakeStoreEndpoint& endpoint() { return endpoint_; }
  ServingState& state() { return state_; }
  bool Has(const BackendId& id) const {
    return state_.servers()->Find(id) != nullptr;
  }

 private:
  static constexpr int kFirstPort = 18972;

  std::string store_address_;
  FakeStoreEndpoint endpoint_;
  GatewaySettings settings_;
  Metrics metrics_;
  platform::PlatformStoreCodec codec_;
  StoreClient client_;
  PeerClient peers_;
  std::unique_ptr<PeerServer> server_;
  ServingState state_;
  MemberRecord record_;
  bool frozen_ = false;
};

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
    store_.Put("op", "config",
               nlohmann::json{{"Version", 1},
                              {"Routes", nlohmann::json::array()},
                              {"Services", nlohmann::json::array()}}
                   .dump());
    PutServer("first");
    std::vector<MemberRecord> members;
    for (int i = 0; i < kInstances; ++i) {
      instances_.push_back(std::make_unique<Instance>(io_, store_, i));
      members.push_back(instances_.back()->record());
    }
    std::set<InstanceId> reader_ids;
    for (const MemberRecord& reader : ChooseStoreReaders("z", members)) {
      reader_ids.insert(reader.id);
    }
    for (auto& instance : instances_) {
      bool reads = reader_ids.contains(instance->record().id);
      (reads ? readers_ : followers_).push_back(instance.get());
      instance->state().SetMembers(instance->record().id, members);
      instance->state().Start();
    }
  }

  void PutServer(const std::string& id) {
    store_.Put("servers", id,
               nlohmann::json{{"Service", "s"},
                              {"Address", "127.0.0.1:1"},
                              {"Zone", "z"},
                              {"Version", "v1"},
                              {"Slots", 1},
                              {"State", "ready"},
                              {"ColdRemainingMs", 0},
                              {"Seq", 1}}
                   .dump());
  }

  bool RunUntil(Duration timeout, const std::function<bool()>& done) {
    TimePoint end = SteadyClock::now() + timeout;
    while (!done() && SteadyClock::now() < end) {
      io_.run_for(Millis(10));
    }
    return done();
  }
  bool AllHave(const std::vector<Instance*>& instances, const BackendId& id) {
    return std::all_of(
        instances.begin(), instances.end(),
        [&id](const Instance* instance) { return instance->Has(id); });
  }
  bool NoneHas(const std::vector<Instance*>& instances, const BackendId& id) {
    return std::none_of(
        instances.begin(), instances.end(),
        [&id](const Instance* instance) { return instance->Has(id); });
  }
  void WaitForAll() {
    ASSERT_TRUE(RunUntil(Seconds(3), [this] {
      return AllHave(readers_, "first") && AllHave(followers_, "first");
    }));
  }

  boost::asio::io_context io_{1};
  FakeStore store_{io_};
  std::vector<std::unique_ptr<Instance>> instances_;
  std::vector<Instance*> readers_;
  std::vector<Instance*> followers_;
};

TEST_F(StoreReaderTest, FollowersGetChangesWithoutCallingTheStore) {
  ASSERT_EQ(readers_.size(), kReadersPerZone);
  WaitForAll();
  PutServer("second");
  EXPECT_TRUE(
      RunUntil(Seconds(1), [this] { return AllHave(followers_, "second"); }));
  store_.Put("servers", "first", std::nullopt);
  EXPECT_TRUE(
      RunUntil(Seconds(1), [this] { return NoneHas(followers_, "first"); }));
  RunUntil(Seconds(3), [] { return false; });
  for (Instance* follower : followers_) {
    EXPECT_EQ(follower->StoreCalls(), 0);
  }
}

// At the start of a fleet each instance takes itself for a reader until it
// knows the others.
TEST_F(StoreReaderTest, InstanceThatIsNoReaderAnyMoreStopsReading) {
  Instance& late = *followers_[0];
  std::vector<MemberRecord> members;
  for (auto& instance : instances_) {
    members.push_back(instance->record());
  }
  late.state().SetMembers(late.record().id, {late.record()});
  ASSERT_TRUE(RunUntil(Seconds(2), [&late] { return late.StoreCalls() > 0; }));
  late.state().SetMembers(late.record().id, members);
  RunUntil(Seconds(5), [] { return false; });
  double calls = late.StoreCalls();
  RunUntil(Seconds(4), [] { return false; });
  EXPECT_EQ(late.StoreCalls(), calls);
}

TEST_F(StoreReaderTest, ChangesArriveWhenAReaderIsFrozen) {
  WaitForAll();
  readers_[0]->Freeze();
  PutServer("second");
  EXPECT_TRUE(
      RunUntil(kChangeBound, [this] { return AllHave(followers_, "second"); }));
}

TEST_F(StoreReaderTest, ChangesArriveWhenAllReadersAreKilled) {
  WaitForAll();
  for (Instance* reader : readers_) {
    reader->StopServingPeers();
  }
  PutServer("second");
  EXPECT_TRUE(
      RunUntil(kChangeBound, [this] { return AllHave(followers_, "second"); }));
}

TEST_F(StoreReaderTest, ChangesArriveWhenTheStoreTurnsAReaderAway) {
  WaitForAll();
  readers_[0]->endpoint().SetUnavailable(true);
  PutServer("second");
  EXPECT_TRUE(RunUntil(kChangeBound, [this] {
    return AllHave(followers_, "second") && AllHave(readers_, "second");
  }));
}

TEST_F(StoreReaderTest, ChangesArriveWhenTheStoreDoesNotRespondToAnyReader) {
  WaitForAll();
  for (Instance* reader : readers_) {
    reader->endpoint().SetUnavailable(true);
  }
  PutServer("second");
  EXPECT_TRUE(RunUntil(Seconds(4), [this] {
    return AllHave(followers_, "second") && AllHave(readers_, "second");
  }));
}

// Rows expire while the store is down. Followers keep the servers as long as
// readers do.
TEST_F(StoreReaderTest, FollowersKeepServersWhoseRowsExpiredInAnOutage) {
  WaitForAll();
  for (auto& instance : instances_) {
    instance->endpoint().SetUnavailable(true);
  }
  RunUntil(kOutage, [] { return false; });
  store_.Put("servers", "first", std::nullopt);
  PutServer("second");
  for (auto& instance : instances_) {
    instance->endpoint().SetUnavailable(false);
  }
  ASSERT_TRUE(
      RunUntil(kChangeBound, [this] { return AllHave(followers_, "second"); }));
  EXPECT_TRUE(AllHave(readers_, "first"));
  EXPECT_TRUE(AllHave(followers_, "first"));
  // It does not register again, so it is gone.
  EXPECT_TRUE(RunUntil(Seconds(3), [this] {
    return NoneHas(readers_, "first") && NoneHas(followers_, "first");
  }));
}

// An instance that starts again and asks only one with an old view must not
// count as current.
TEST_F(StoreReaderTest, OldViewConfirmsNothing) {
  WaitForAll();
  for (auto& instance : instances_) {
    instance->endpoint().SetUnavailable(true);
  }
  RunUntil(kOutage, [] { return false; });
  double age_ms = 0;
  followers_[0]->state().HandlePoll(
      EncodeServingPoll(ServingVersions{}, Millis(1000)),
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
