// Applies configurations and servers read from the store or pulled from peers.

#include "gateway/control/serving_state.h"

#include <algorithm>

#include "base/log.h"

namespace mangoyoke {
namespace {

constexpr Duration kTickInterval = Millis(200);
// While the store does not respond, one peer is asked every this many ticks.
constexpr int kTicksBetweenPulls = 3;
constexpr Millis kPullTimeout{500};
// How long the store may hold a long poll for a new configuration. Short enough
// to detect an unresponsive connection before a change has to be active.
constexpr Millis kConfigWatchTimeout{1800};
// The same for server changes. Longer, to save calls: an unresponsive store is
// detected by the configuration watch, a dead connection by TCP keep-alive.
constexpr Millis kServerWatchTimeout{8000};
// The next watch for server changes starts this long after a change, so that
// many changes arrive in one response.
constexpr Duration kServerBatchInterval = Millis(350);

}  // namespace

ServingState::ServingState(boost::asio::io_context& io,
                           const GatewaySettings& settings,
                           const StoreCodec& codec,
                           StoreClient& store,
                           PeerClient& peers,
                           Metrics& metrics)
    : io_(io),
      codec_(codec),
      store_(store),
      peers_(peers),
      metrics_(metrics),
      registry_(settings.server_reregistration_timeout),
      config_watcher_(
          io,
          store,
          codec,
          TableWatcherOptions{codec.ConfigTable(), kConfigWatchTimeout,
                              Duration::zero()},
          [this](const std::vector<StoreRow>& rows, uint64_t) {
            for (const StoreRow& row : rows) {
              ApplyConfigRow(row, "store");
            }
          },
          [this](const std::vector<StoreRow>& rows, uint64_t) {
            for (const StoreRow& row : rows) {
              ApplyConfigRow(row, "store");
            }
          }),
      server_watcher_(
          io,
          store,
          codec,
          TableWatcherOptions{codec.ServerTable(), kServerWatchTimeout,
                              kServerBatchInterval},
          [this](const std::vector<StoreRow>& rows, uint64_t version) {
            ReplaceServers(rows, version);
          },
          [this](const std::vector<StoreRow>& rows, uint64_t version) {
            ApplyServerChanges(rows, version);
          }) {}

void ServingState::Start() {
  store_.on_success.Add(
      [this] { registry_.OnStoreSuccess(SteadyClock::now()); });
  store_.on_failure.Add([this] { registry_.OnStoreFailure(); });
  store_.on_recovered.Add([this] { server_watcher_.RestartWatch(); });
  config_watcher_.Start();
  server_watcher_.Start();
  tick_timer_ =
      std::make_unique<PeriodicTimer>(io_, kTickInterval, [this] { Tick(); });
}

void ServingState::ApplyConfigRow(const StoreRow& row,
                                  std::string_view source) {
  auto decoded = codec_.DecodeConfig(row);
  if (const auto* error = std::get_if<Error>(&decoded)) {
    LogEvent("config_unreadable", LogLevel::kWarning)
        .Field("source", source)
        .Field("why", error->detail);
    metrics_.Increment("mangoyoke_configs_unreadable_total");
    return;
  }
  const auto& config = std::get<ServingConfig>(decoded);
  Revision active_revision = config_ ? config_->revision() : 0;
  if (config.revision() <= active_revision) {
    return;
  }
  config_ = std::make_shared<ServingConfig>(config);
  config_row_ = row;
  LogEvent("config_in_force")
      .Field("revision", static_cast<int64_t>(config.revision()))
      .Field("before", static_cast<int64_t>(active_revision))
      .Field("routes", static_cast<int64_t>(config.route_count()))
      .Field("source", source);
  metrics_.SetGauge("mangoyoke_config_revision",
                    static_cast<double>(config.revision()));
  on_config_changed.Notify();
}

RegistryChange ServingState::DecodeServerRow(const StoreRow& row) const {
  RegistryChange change{row.key, std::nullopt};
  if (!row.value) {
    return change;
  }
  change.server = codec_.DecodeServer(row);
  if (!change.server) {
    LogEvent("server_row_unreadable", LogLevel::kWarning)
        .Field("server", row.key);
    metrics_.Increment("mangoyoke_server_rows_unreadable_total");
  }
  return change;
}

void ServingState::ReplaceServers(const std::vector<StoreRow>& rows,
                                  uint64_t version) {
  if (version < registry_.version()) {
    return;
  }
  server_rows_.clear();
  std::vector<RegistryChange> servers;
  for (const StoreRow& row : rows) {
    servers.push_back(DecodeServerRow(row));
    server_rows_[row.key] = row.value.value_or("");
  }
  registry_.Replace(version, servers, SteadyClock::now());
  on_servers_changed.Notify();
}

void ServingState::ApplyServerChanges(const std::vector<StoreRow>& rows,
                                      uint64_t version) {
  if (version <= registry_.version()) {
    return;  // Already pulled from a peer.
  }
  std::vector<RegistryChange> changes;
  for (const StoreRow& row : rows) {
    changes.push_back(DecodeServerRow(row));
    if (row.value) {
      server_rows_[row.key] = *row.value;
    } else {
      server_rows_.erase(row.key);
    }
  }
  registry_.Apply(version, changes, SteadyClock::now());
  on_servers_changed.Notify();
}

void ServingState::Tick() {
  if (registry_.RemoveLapsedServers(SteadyClock::now())) {
    on_servers_changed.Notify();
  }
  if (store_.reachable() && config_) {
    ticks_without_store_or_config_ = 0;
    return;
  }
  if (++ticks_without_store_or_config_ % kTicksBetweenPulls != 0 ||
      !peer_addresses) {
    return;
  }
  std::vector<std::string> peers = peer_addresses();
  if (!peers.empty()) {
    next_peer_ = (next_peer_ + 1) % peers.size();
    PullFrom(peers[next_peer_]);
  }
}

void ServingState::PullFrom(const std::string& address) {
  Json request{{"c", config_ ? config_->revision() : 0},
               {"g", registry_.version()}};
  peers_.Call(address, "/serving/pull", request, kPullTimeout,
              [this](Result<Json> result) {
                if (const auto* response = std::get_if<Json>(&result)) {
                  ApplyPullResponse(*response);
                }
              });
}

Json ServingState::HandlePull(const Json& message) const {
  Json response = Json::object();
  if (config_ && config_->revision() > message.value("c", Revision{0})) {
    response["k"] = config_row_.key;
    response["c"] = config_row_.value.value_or("");
  }
  if (registry_.version() > message.value("g", uint64_t{0})) {
    response["g"] = registry_.version();
    response["s"] = server_rows_;
  }
  return response;
}

void ServingState::ApplyPullResponse(const Json& response) {
  if (response.contains("c")) {
    StoreRow row{response.value("k", ""), response.value("c", "")};
    ApplyConfigRow(row, "instance");
  }
  if (response.contains("g")) {
    std::vector<StoreRow> rows;
    for (const auto& [key, value] : response.at("s").items()) {
      rows.push_back(StoreRow{key, value.get<std::string>()});
    }
    ReplaceServers(rows, response.at("g").get<uint64_t>());
  }
}

}  // namespace mangoyoke
