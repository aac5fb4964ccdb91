// The active configuration and the registry of backend servers, read from the
// store by a few instances of each availability zone and from those by all
// others (core/store_reader_role.h).
//
// A configuration becomes active only if its revision is higher than that of
// the active one, whatever its source, so the configuration never reverts.

#ifndef MANGOYOKE_GATEWAY_CONTROL_SERVING_STATE_H_
#define MANGOYOKE_GATEWAY_CONTROL_SERVING_STATE_H_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/metrics.h"
#include "base/observers.h"
#include "base/periodic_timer.h"
#include "gateway/control/config_history.h"
#include "gateway/control/server_row_history.h"
#include "gateway/control/serving_feed.h"
#include "gateway/control/serving_follower.h"
#include "gateway/control/store_client.h"
#include "gateway/control/table_watcher.h"
#include "gateway/core/backend_registry.h"
#include "gateway/core/change_timeouts.h"
#include "gateway/core/codecs.h"
#include "gateway/core/store_era_tracker.h"
#include "gateway/core/store_reader_role.h"
#include "gateway/settings.h"
#include "peer/peer_transport.h"

namespace mangoyoke {

// Watches the configuration table and the server table if this instance is a
// reader, and follows the readers otherwise. A reader that the store does not
// respond to follows the others. Not thread-safe: after Start, use it only on
// the thread that runs `io`.
class ServingState {
 public:
  // All references must outlive the object.
  ServingState(boost::asio::io_context& io,
               const GatewaySettings& settings,
               const StoreCodec& codec,
               StoreClient& store,
               PeerClient& peers,
               Metrics& metrics);

  // Starts reading the store or following its readers. Call once.
  void Start();
  // Sets the members of the deployment, which determine the readers. `self` is
  // the id of this instance.
  void SetMembers(const InstanceId& self,
                  const std::vector<MemberRecord>& members);

  // The instance at `address` has the newer configuration `revision`: requests
  // it. If that fails, nothing changes.
  void PullFrom(const std::string& address, Revision revision);
  // Responds to another instance's poll: the configuration and the server rows,
  // each only if newer than what the instance has. Throws
  // nlohmann::json::exception if `message` is malformed.
  void HandlePoll(const Json& message, PeerResponder respond) {
    feed_.Poll(message, std::move(respond));
  }

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
  void LogAccountProblems(const ServingConfig& config);
  void ReplaceServers(const std::vector<StoreRow>& rows,
                      const std::set<BackendId>& lapsed,
                      const StoreVersion& version);
  void ApplyServerChanges(const std::vector<StoreRow>& rows,
                          const std::set<BackendId>& lapsed,
                          const StoreVersion& version);
  // An answer of the store, or of another instance, states `era`, which held at
  // `as_of` or later. Returns what to do with the answer.
  EraVerdict OnEra(StoreEra era, TimePoint as_of);
  // Logs what became of the servers when the first rows of an era replaced
  // those `before`.
  void LogFirstRows(const StoreVersion& before) const;
  // A change without a server if the row was deleted or cannot be decoded.
  RegistryChange DecodeServerRow(const StoreRow& row) const;

  ServingVersions Versions() const;
  ServingView View() const;
  // What the view is to say in polls of other instances.
  ServingView ViewForPolls() const;
  // What `requester` lacks, and the age of this view.
  Json MakeUpdate(const ServingRequester& requester) const;
  // Applies the update of another instance. Returns whether its view is
  // current.
  bool ApplyUpdate(const Json& update);
  void ApplyConfigUpdate(const Json& update);
  void ApplyServerUpdate(const Json& update);
  // Whether this instance reads the store and the last call succeeded.
  bool StoreResponds() const;
  // Whether this instance reads the store and the store confirmed the view
  // recently. A long poll that hangs confirms nothing.
  bool ReadsCurrently() const;
  // Time since the store confirmed the view, to this instance or to a reader.
  Duration ViewAge() const;
  bool IsCurrent() const;
  void OnStoreFailure();
  void Tick();
  // Starts or stops reading the store.
  void UpdateRole(TimePoint now);

  const StoreCodec& codec_;
  StoreClient& store_;
  Metrics& metrics_;
  boost::asio::io_context& io_;
  const ChangeTimeouts timeouts_;
  BackendRegistry registry_;
  StoreEraTracker era_;
  std::shared_ptr<const ServingConfig> config_;
  // The highest revision that any instance claimed to have, and since when it
  // is known here. Tells in the log whether a change was late to be heard of or
  // late to arrive.
  Revision heard_revision_ = 0;
  TimePoint heard_at_{};
  ConfigHistory config_history_;
  // A difference did not fit: the whole configuration is asked for.
  bool needs_whole_config_ = false;
  ServerRowHistory server_rows_;  // Sent to other instances.
  TableWatcher config_watcher_;
  TableWatcher server_watcher_;
  StoreReaderRole role_;
  bool reads_store_ = false;
  ServingFeed feed_;
  ServingFollower follower_;
  std::unique_ptr<PeriodicTimer> tick_timer_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CONTROL_SERVING_STATE_H_
