// Configurations of hundreds of routes reach all instances over slow links:
// instances send each other what has changed, and a response of the store that
// comes slowly is not given up and asked for again.

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <memory>

#include "tests/support/serving_instance.h"

namespace mangoyoke {
namespace {

constexpr int kRoutes = 760;
constexpr int kInstances = 5;
constexpr Revision kFirst = 10;
constexpr Revision kLast = 25;
// Twice what an instance with nothing to transfer may use, 11 KB/s, in the time
// of the test; a whole configuration has over 100 KB.
constexpr uint64_t kMaxBytes = 60'000;

class LargeConfigsTest : public ::testing::Test {
 protected:
  bool AllHave(Revision revision) {
    return RunUntil(io_, Seconds(2), [&] {
      for (const ServingInstance* instance : zone_->all()) {
        if (instance->revision() != revision) {
          return false;
        }
      }
      return true;
    });
  }

  boost::asio::io_context io_{1};
  FakeStore store_{io_};
  std::unique_ptr<ServingZone> zone_;
};

// Each change was sent whole to everyone (review/5).
TEST_F(LargeConfigsTest, ChangesCostFollowersLittle) {
  PutLargeConfig(store_, kFirst, kRoutes);
  PutServer(store_, "server");
  zone_ = std::make_unique<ServingZone>(io_, store_, kInstances);
  ASSERT_TRUE(AllHave(kFirst));
  std::vector<uint64_t> before;
  for (const ServingInstance* follower : zone_->followers()) {
    before.push_back(follower->BytesFromPeers());
  }
  for (Revision revision = kFirst + 1; revision <= kLast; ++revision) {
    PutLargeConfig(store_, revision, kRoutes);
    ASSERT_TRUE(AllHave(revision)) << revision;
  }
  for (size_t i = 0; i < before.size(); ++i) {
    ServingInstance& follower = *zone_->followers()[i];
    EXPECT_LT(follower.BytesFromPeers() - before[i], kMaxBytes);
    EXPECT_EQ(follower.state().config()->route_count(), kRoutes);
  }
}

// An instance that gives one configuration, and then differences that do not
// fit.
class MisfittingPeer : public PeerHandler {
 public:
  void OnPeerRequest(const std::string& /*path*/,
                     const Json& message,
                     PeerResponder respond) override {
    known.push_back(message.at("c").get<Revision>());
    Json update{{"a", 0.0}, {"k", "config"}};
    if (known.size() == 1) {
      update["c"] = R"({"Version":7,"Routes":[],"Services":[]})";
    } else {
      update.update({{"b", 7}, {"x", {"text"}}, {"h", 1}});
    }
    respond(update);
  }

  std::vector<Revision> known;  // By each poll, the configuration it names.
};

TEST(ConfigDifferenceTest, MisfitIsReplacedByTheWholeConfiguration) {
  boost::asio::io_context io{1};
  FakeStore store{io};
  ServingInstance instance(io, store, 0);
  MisfittingPeer peer;
  PeerServer server(io, peer);
  const std::string address = "127.0.0.1:18999";
  ASSERT_TRUE(Ok(server.Listen(address)));
  for (size_t polls = 1; polls <= 3; ++polls) {
    instance.state().PullFrom(address, 8);
    ASSERT_TRUE(
        RunUntil(io, Seconds(2), [&] { return peer.known.size() >= polls; }));
    RunUntil(io, Millis(50), [] { return false; });
  }
  EXPECT_EQ(instance.revision(), 7);
  EXPECT_EQ(peer.known, (std::vector<Revision>{0, 7, 0}));
}

TEST(ConfigHistoryTest, OnlyWhoAcceptsADifferenceAndHasABaseGetsOne) {
  ConfigHistory history;
  for (Revision revision = 1; revision <= 20; ++revision) {
    history.Add(revision, StoreRow{"config", std::to_string(revision)});
  }
  for (const auto& [known, accepts, difference] :
       {std::tuple(Revision{19}, true, true),
        {19, false, false},
        {1, true, false},
        {0, true, false}}) {
    Json update;
    history.WriteUpdate(known, accepts, update);
    EXPECT_EQ(update.contains("x"), difference) << known;
    auto row = history.ReadUpdate(update);
    ASSERT_TRUE(Ok(row));
    EXPECT_EQ(std::get<StoreRow>(row).value, "20");
  }
}

}  // namespace
}  // namespace mangoyoke
