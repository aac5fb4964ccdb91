// Applies registry changes and keeps servers whose rows expired during a store
// outage.

#include "gateway/core/backend_registry.h"

#include <set>

#include "base/log.h"

namespace mangoyoke {
namespace {

// How long a departure is remembered, and how long a bar stands. The copy from
// which a store comes back is some seconds old, and the row of a server that is
// gone expires a few heartbeats after the store's return.
constexpr Duration kDepartureMemory = Seconds(60);
constexpr Duration kBarTime = Seconds(30);

}  // namespace

std::string IncarnationOf(const BackendServer& server) {
  return server.id + "/" + std::to_string(server.start_time_ms);
}

std::string_view StageName(ServerStage stage) {
  switch (stage) {
    case ServerStage::kCombined:
      return "whole";
    case ServerStage::kPrefill:
      return "prefill";
    case ServerStage::kDecode:
      return "decode";
  }
  return "whole";
}

void BackendRegistry::Replace(const StoreVersion& version,
                              const std::vector<RegistryChange>& rows,
                              TimePoint now) {
  if (version < version_) {
    LogEvent("registry_stale_read", LogLevel::kWarning)
        .Field("era", static_cast<int64_t>(version.era))
        .Field("version", static_cast<int64_t>(version.number))
        .Field("known", static_cast<int64_t>(version_.number));
    return;
  }
  std::vector<RegistryChange> changes = rows;
  std::set<BackendId> present;
  for (const RegistryChange& row : rows) {
    present.insert(row.id);
  }
  for (const auto& [id, server] : servers_) {
    if (!present.contains(id)) {
      changes.push_back(RegistryChange{id, std::nullopt});
    }
  }
  Apply(version, changes, now);
}

void BackendRegistry::Apply(const StoreVersion& version,
                            const std::vector<RegistryChange>& changes,
                            TimePoint now) {
  version_ = std::max(version_, version);
  for (const RegistryChange& change : changes) {
    if (!change.server) {
      Remove(change, now);
      continue;
    }
    lapsed_.erase(change.id);
    servers_.insert_or_assign(change.id, *change.server);
    if (change.server->state == ServerState::kLeaving) {
      RecordDeparture(*change.server, now);
    } else {
      departures_.erase(change.id);
    }
  }
  Publish();
}

void BackendRegistry::BeginEra(StoreEra era, TimePoint now) {
  if (era < version_.era) {
    // The era of the known rows was none: any rows are newer.
    version_ = StoreVersion{era, 0};
  }
  store_recovered_at_ = now;
  era_began_at_ = now;
  for (auto& [id, removal_time] : lapsed_) {
    removal_time = now + renewal_timeout_;
  }
  ForgetOldDepartures(now);
  for (const auto& [id, server] : servers_) {
    if (server.state == ServerState::kLeaving) {
      departures_[id] = Departure{server.start_time_ms, now};
    }
  }
  for (auto& [id, departure] : departures_) {
    departure.barred = true;
  }
}

void BackendRegistry::ForgetOldDepartures(TimePoint now) {
  std::erase_if(departures_, [now](const auto& entry) {
    return !entry.second.barred && now - entry.second.at > kDepartureMemory;
  });
}

void BackendRegistry::RecordDeparture(const BackendServer& server,
                                      TimePoint now) {
  ForgetOldDepartures(now);
  Departure& departure = departures_[server.id];
  bool same = departure.start_time_ms == server.start_time_ms;
  departure = Departure{server.start_time_ms, now, same && departure.barred};
}

void BackendRegistry::DropEarlierRow(RegistryChange& change) const {
  if (!change.server || !era_began_at_) {
    return;
  }
  bool barred = IsBarred(*change.server);
  if (!barred && !IsOutdated(*change.server)) {
    return;
  }
  LogEvent("server_row_dropped")
      .Field("server", change.id)
      .Field("why", barred ? "left" : "started_again");
  change.names_no_server = barred;
  change.server.reset();
}

bool BackendRegistry::IsBarred(const BackendServer& server) const {
  auto found = departures_.find(server.id);
  return server.state == ServerState::kReady && found != departures_.end() &&
         found->second.barred &&
         found->second.start_time_ms == server.start_time_ms;
}

bool BackendRegistry::IsOutdated(const BackendServer& server) const {
  auto found = servers_.find(server.id);
  return found != servers_.end() &&
         found->second.start_time_ms > server.start_time_ms;
}

bool BackendRegistry::LiftBars(TimePoint now) {
  if (!era_began_at_ || now < *era_began_at_ + kBarTime) {
    return false;
  }
  era_began_at_.reset();
  return std::erase_if(departures_, [](const auto& entry) {
           return entry.second.barred;
         }) > 0;
}

void BackendRegistry::OnStoreFailure() {
  store_failing_ = true;
}

void BackendRegistry::OnStoreSuccess(TimePoint now) {
  if (!store_failing_) {
    return;
  }
  store_failing_ = false;
  store_recovered_at_ = now;
  for (auto& [id, removal_time] : lapsed_) {
    removal_time = now + renewal_timeout_;
  }
}

bool BackendRegistry::RowMayHaveExpired(TimePoint now) const {
  return store_failing_ ||
         (store_recovered_at_ && now < *store_recovered_at_ + renewal_timeout_);
}

std::vector<BackendId> BackendRegistry::LapsedServers() const {
  std::vector<BackendId> ids;
  for (const auto& [id, removal_time] : lapsed_) {
    ids.push_back(id);
  }
  return ids;
}

void BackendRegistry::Remove(const RegistryChange& change, TimePoint now) {
  auto found = servers_.find(change.id);
  if (found == servers_.end()) {
    return;
  }
  if (change.names_no_server) {
    RecordDeparture(found->second, now);
    LogEvent("server_gone")
        .Field("server", change.id)
        .Field("why", "unreadable");
    lapsed_.erase(change.id);
    servers_.erase(found);
    return;
  }
  if (lapsed_.contains(change.id)) {
    return;
  }
  // A leaving server is not expected to renew its row, so it is not kept.
  if ((change.lapsed || RowMayHaveExpired(now)) &&
      found->second.state == ServerState::kReady) {
    bool recovered_here = !change.lapsed && !store_failing_;
    lapsed_[change.id] =
        (recovered_here ? *store_recovered_at_ : now) + renewal_timeout_;
    LogEvent("server_lapsed").Field("server", change.id);
    return;
  }
  LogEvent("server_gone").Field("server", change.id);
  RecordDeparture(found->second, now);
  servers_.erase(found);
}

bool BackendRegistry::RemoveLapsedServers(TimePoint now) {
  if (store_failing_) {
    return false;
  }
  bool removed_any = false;
  for (auto it = lapsed_.begin(); it != lapsed_.end();) {
    if (now < it->second) {
      ++it;
      continue;
    }
    LogEvent("server_gone").Field("server", it->first).Field("why", "lapsed");
    RecordDeparture(servers_.at(it->first), now);
    servers_.erase(it->first);
    it = lapsed_.erase(it);
    removed_any = true;
  }
  if (removed_any) {
    Publish();
  }
  return removed_any;
}

void BackendRegistry::Publish() {
  snapshot_ =
      std::make_shared<ServerSnapshot>(ServerSnapshot{version_, servers_});
}

}  // namespace mangoyoke
