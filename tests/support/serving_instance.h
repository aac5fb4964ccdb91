// One instance of a deployment as far as configuration and backend servers go:
// its view of both, with its own address of a fake store, so that the store can
// turn it away alone, and its own address for other instances.

#ifndef MANGOYOKE_TESTS_SUPPORT_SERVING_INSTANCE_H_
#define MANGOYOKE_TESTS_SUPPORT_SERVING_INSTANCE_H_

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "gateway/control/serving_state.h"
#include "platform/store_codec.h"
#include "tests/support/fake_store.h"

namespace mangoyoke {

// Writes the row of a ready server.
void PutServer(FakeStore& store, const BackendId& id);
// Writes a configuration without routes.
void PutConfig(FakeStore& store, Revision revision);
// Writes a configuration of `routes` routes, one of which differs from that of
// the revision before.
void PutLargeConfig(FakeStore& store, Revision revision, int routes);
// Runs the event loop until `done`, for at most `timeout`. Returns `done()`.
bool RunUntil(boost::asio::io_context& io,
              Duration timeout,
              const std::function<bool()>& done);

// Instances have consecutive numbers from 0, which determine their ports.
class ServingInstance : public PeerHandler {
 public:
  ServingInstance(boost::asio::io_context& io,
                  FakeStore& store,
                  int number,
                  GatewaySettings settings = {})
      : store_address_("127.0.0.1:" + std::to_string(kFirstPort + number)),
        settings_(std::move(settings)),
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
    state_.HandlePoll(
        message, [this, respond = std::move(respond)](Result<Json> response) {
          if (!frozen_) {
            respond(std::move(response));
          }
        });
  }

  // Ends all connections of peers and accepts no more.
  void StopServingPeers() { server_.reset(); }
  // Polls, also those that are held, get no response any more.
  void Freeze() { frozen_ = true; }

  double StoreCalls() const {
    return metrics_.CounterValue("mangoyoke_store_calls_total");
  }
  // Bytes that it exchanged with instances that it asked.
  uint64_t BytesFromPeers() const { return peers_.BytesTransferred(); }
  const MemberRecord& record() const { return record_; }
  FakeStoreEndpoint& endpoint() { return endpoint_; }
  StoreClient& client() { return client_; }
  ServingState& state() { return state_; }
  bool Has(const BackendId& id) const {
    return state_.servers()->Find(id) != nullptr;
  }
  // Revision of the active configuration; 0 if there is none.
  Revision revision() const {
    return state_.config() ? state_.config()->revision() : 0;
  }

 private:
  static constexpr int kFirstPort = 18972;

  std::string store_address_;
  GatewaySettings settings_;
  FakeStoreEndpoint endpoint_;
  Metrics metrics_;
  platform::PlatformStoreCodec codec_;
  StoreClient client_;
  PeerClient peers_;
  std::unique_ptr<PeerServer> server_;
  ServingState state_;
  MemberRecord record_;
  bool frozen_ = false;
};

// Instances of one availability zone that know each other from the start, and
// no membership probes. At most two of them read the store.
class ServingZone {
 public:
  // Starts `count` instances, at most ten.
  ServingZone(boost::asio::io_context& io,
              FakeStore& store,
              int count,
              const GatewaySettings& settings = {});

  const std::vector<ServingInstance*>& all() const { return all_; }
  const std::vector<ServingInstance*>& readers() const { return readers_; }
  const std::vector<ServingInstance*>& followers() const { return followers_; }

 private:
  std::vector<std::unique_ptr<ServingInstance>> instances_;
  std::vector<ServingInstance*> all_;
  std::vector<ServingInstance*> readers_;
  std::vector<ServingInstance*> followers_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_TESTS_SUPPORT_SERVING_INSTANCE_H_
