// The active configuration and the registry of backend servers, read from the
// store while it responds and from other instances otherwise.
//
// A configuration becomes active only if its revision is higher than that of
// the active one, whatever its source, so the configuration never reverts.

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

// Watches the configuration table and the server table. While the store does
// not respond, or no configuration is known yet, it pulls both from the other
// instances in turn. Not thread-safe: after Start, use it only on the thread
// that runs `io`.
class ServingState {
 public:
  // All references must outlive the object.
  ServingState(boost::asio::io_context& io,
               const GatewaySettings& settings,
               const StoreCodec& codec,
               StoreClient& store,
               PeerClient& peers,
               Metrics& metrics);

  // Starts reading and watching the store. Call once.
  void Start();

  // Requests newer configuration and servers from the instance at `address`. If
  // that fails, nothing changes.
  void PullFrom(const std::string& address);
  // Returns the response to another instance's pull: the configuration and the
  // server rows, each only if newer than what `message` says the peer has.
  Json HandlePull(const Json& message) const;
  // Returns the addresses of the instances to pull from while the store does
  // not respond. Set before Start.
  std::function<std::vector<std::string>()> peer_addresses;

  // Null until a configuration is known.
  std::shared_ptr<const ServingConfig> config() const { return config_; }
  std::shared_ptr<const ServerSnapshot> servers() const {
    return registry_.Snapshot();
  }

  // Notified after a new configuration became active.
  Observers<> on_config_changed;
  // Notified after servers() changed.
  Observers<> on_servers_changed;

 private:
  void ApplyConfigRow(const StoreRow& row, std::string_view source);
  void ReplaceServers(const std::vector<StoreRow>& rows, uint64_t version);
  void ApplyServerChanges(const std::vector<StoreRow>& rows, uint64_t version);
  // A change without a server if the row was deleted or cannot be decoded.
  RegistryChange DecodeServerRow(const StoreRow& row) const;
  void ApplyPullResponse(const Json& response);
  void Tick();

  boost::asio::io_context& io_;
  const StoreCodec& codec_;
  StoreClient& store_;
  PeerClient& peers_;
  Metrics& metrics_;
  BackendRegistry registry_;
  std::shared_ptr<const ServingConfig> config_;
  // Rows as read from the store, sent to peers that pull them.
  StoreRow config_row_;
  std::map<BackendId, std::string> server_rows_;
  TableWatcher config_watcher_;
  TableWatcher server_watcher_;
  std::unique_ptr<PeriodicTimer> tick_timer_;
  size_t next_peer_ = 0;
  int ticks_without_store_or_config_ = 0;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CONTROL_SERVING_STATE_H_
