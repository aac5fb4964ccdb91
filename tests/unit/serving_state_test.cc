// Tests of ServingState against a fake store.

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <nlohmann/json.hpp>

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

}  // namespace
}  // namespace mangoyoke
