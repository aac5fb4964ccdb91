// Taking of configurations and servers from the store and from others.

#include "gateway/control/serving_state.h"

#include <algorithm>

#include "base/log.h"

namespace mangoyoke {
namespace {

constexpr Duration kTick = Millis(200);
// While the store does not answer, others are asked every so many ticks.
constexpr int kTicksBetweenPulls = 3;
constexpr Millis kPullTimeout{500};
// How long the store may hold a call for a new configuration. Short enough to
// find a silent connection before a change has to be in force.
constexpr Millis kConfigWait{1800};
// The same for servers. Longer, since each call costs: a silent store is found
// by the calls for configurations, a dead connection by its keep-alive probes.
constexpr Millis kServerWait{8000};
// Server changes are collected this long, so that many share one call.
constexpr Duration kServerPace = Millis(350);

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
          TableWatcherOptions{codec.ConfigTable(), kConfigWait,
                              Duration::zero()},
          [this](const std::vector<StoreRow>& rows, uint64_t) {
            for (const StoreRow& row : rows) {
              TakeConfigRow(row, "store");
            }
          },
          [this](const std::vector<StoreRow>& rows, uint64_t) {
            for (const StoreRow& row : rows) {
              TakeConfigRow(row, "store");
            }
          }),
      server_watcher_(
          io,
          store,
          codec,
          TableWatcherOptions{codec.ServerTable(), kServerWait, kServerPace},
          [this](const std::vector<StoreRow>& rows, uint64_t version) {
            TakeAllServers(rows, version);
          },
          [this](const std::vector<StoreRow>& rows, uint64_t version) {
            TakeServerChanges(rows, version);
          }) {}

void ServingState::Start() {
  store_.on_answer.Add(
      [this] { registry_.OnStoreSuccess(SteadyClock::now()); });
  store_.on_failure.Add([this] { registry_.OnStoreFailure(); });
  store_.on_regained.Add([this] { server_watcher_.WatchAgain(); });
  config_watcher_.Start();
  server_watcher_.Start();
  tick_timer_ = std::make_unique<PeriodicTimer>(io_, kTick, [this] { Tick(); });
}

void ServingState::TakeConfigRow(const StoreRow& row, std::string_view source) {
  auto decoded = codec_.DecodeConfig(row);
  if (const auto* error = std::get_if<Error>(&decoded)) {
    LogEvent("config_unreadable", LogLevel::kWarning)
        .Field("source", source)
        .Field("why", error->detail);
    metrics_.Increment("mangoyoke_configs_unreadable_total");
    return;
  }
  const auto& config = std::get<ServingConfig>(decoded);
  Revision known = config_ ? config_->revision() : 0;
  if (config.revision() <= known) {
    return;
  }
  config_ = std::make_shared<ServingConfig>(config);
  config_row_ = row;
  LogEvent("config_in_force")
      .Field("revision", static_cast<int64_t>(config.revision()))
      .Field("before", static_cast<int64_t>(known))
      .Field("routes", static_cast<int64_t>(config.route_count()))
      .Field("source", source);
  metrics_.SetGauge("mangoyoke_config_revision",
                    static_cast<double>(config.revision()));
  on_config_changed.Notify();
}

RegistryChange ServingState::DecodeChange(const StoreRow& row) const {
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

void ServingState::TakeAllServers(const std::vector<StoreRow>& rows,
                                  uint64_t version) {
  if (version < registry_.version()) {
    return;
  }
  server_rows_.clear();
  std::vector<RegistryChange> all;
  for (const StoreRow& row : rows) {
    all.push_back(DecodeChange(row));
    server_rows_[row.key] = row.value.value_or("");
  }
  registry_.Replace(version, all, SteadyClock::now());
  on_servers_changed.Notify();
}

void ServingState::TakeServerChanges(const std::vector<StoreRow>& rows,
                                     uint64_t version) {
  if (version <= registry_.version()) {
    return;  // Another instance told already.
  }
  std::vector<RegistryChange> changes;
  for (const StoreRow& row : rows) {
    changes.push_back(DecodeChange(row));
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
    ticks_without_store_ = 0;
    return;
  }
  if (++ticks_without_store_ % kTicksBetweenPulls != 0 || !peer_addresses) {
    return;
  }
  std::vector<std::string> peers = peer_addresses();
  if (!peers.empty()) {
    next_peer_ = (next_peer_ + 1) % peers.size();
    PullFrom(peers[next_peer_]);
  }
}

void ServingState::PullFrom(const std::string& address) {
  Json question{{"c", config_ ? config_->revision() : 0},
                {"g", registry_.version()}};
  peers_.Call(address, "/serving/pull", question, kPullTimeout,
              [this](Result<Json> result) {
                if (const auto* answer = std::get_if<Json>(&result)) {
                  OnPulled(*answer);
                }
              });
}

Json ServingState::OnPull(const Json& message) const {
  Json answer = Json::object();
  if (config_ && config_->revision() > message.value("c", Revision{0})) {
    answer["k"] = config_row_.key;
    answer["c"] = config_row_.value.value_or("");
  }
  if (registry_.version() > message.value("g", uint64_t{0})) {
    answer["g"] = registry_.version();
    answer["s"] = server_rows_;
  }
  return answer;
}

void ServingState::OnPulled(const Json& answer) {
  if (answer.contains("c")) {
    StoreRow row{answer.value("k", ""), answer.value("c", "")};
    TakeConfigRow(row, "instance");
  }
  if (answer.contains("g")) {
    std::vector<StoreRow> rows;
    for (const auto& [key, value] : answer.at("s").items()) {
      rows.push_back(StoreRow{key, value.get<std::string>()});
    }
    TakeAllServers(rows, answer.at("g").get<uint64_t>());
  }
}

}  // namespace mangoyoke
