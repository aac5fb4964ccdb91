// The configuration and the backend servers in force: from the store while it
// answers, else from other instances.
//
// A configuration is taken only if its revision is higher than the one in
// force, wherever it comes from, so none ever reverts.

#ifndef MANGOYOKE_GATEWAY_CONTROL_SERVING_STATE_H_
#define MANGOYOKE_GATEWAY_CONTROL_SERVING_STATE_H_

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/metrics.h"
#include "base/observers.h"
#include "base/periodic_timer.h"
#include "gateway/control/store_client.h"
#include "gateway/control/table_watcher.h"
#include "gateway/core/backend_registry.h"
#include "gateway/core/codecs.h"
#include "gateway/settings.h"
#include "peer/peer_transport.h"

namespace mangoyoke {

class ServingState {
 public:
  ServingState(boost::asio::io_context& io,
               const GatewaySettings& settings,
               const StoreCodec& codec,
               StoreClient& store,
               PeerClient& peers,
               Metrics& metrics);

  void Start();

  // Asks the instance at `address` for what it knows.
  void PullFrom(const std::string& address);
  // Answers another instance's question.
  Json OnPull(const Json& message) const;
  // Where to ask while the store does not answer. Set before Start.
  std::function<std::vector<std::string>()> peer_addresses;

  // Null until one is known.
  std::shared_ptr<const ServingConfig> config() const { return config_; }
  std::shared_ptr<const ServerSnapshot> servers() const {
    return registry_.Snapshot();
  }

  Observers<> on_config_changed;
  Observers<> on_servers_changed;

 private:
  void TakeConfigRow(const StoreRow& row, std::string_view source);
  void TakeAllServers(const std::vector<StoreRow>& rows, uint64_t version);
  void TakeServerChanges(const std::vector<StoreRow>& rows, uint64_t version);
  RegistryChange DecodeChange(const StoreRow& row) const;
  void OnPulled(const Json& answer);
  void Tick();

  boost::asio::io_context& io_;
  const StoreCodec& codec_;
  StoreClient& store_;
  PeerClient& peers_;
  Metrics& metrics_;
  BackendRegistry registry_;
  std::shared_ptr<const ServingConfig> config_;
  StoreRow config_row_;                           // As read; for others.
  std::map<BackendId, std::string> server_rows_;  // As read; for others.
  TableWatcher config_watcher_;
  TableWatcher server_watcher_;
  std::unique_ptr<PeriodicTimer> tick_timer_;
  size_t next_peer_ = 0;
  int ticks_without_store_ = 0;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CONTROL_SERVING_STATE_H_
