// Applies registry changes and keeps servers whose rows expired during a store
// outage.

#include "gateway/core/backend_registry.h"

#include <set>

#include "base/log.h"

namespace mangoyoke {

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

void BackendRegistry::Replace(uint64_t version,
                              const std::vector<RegistryChange>& rows,
                              TimePoint now) {
  if (version < version_) {
    LogEvent("registry_stale_read", LogLevel::kWarning)
        .Field("version", static_cast<int64_t>(version))
        .Field("known", static_cast<int64_t>(version_));
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

void BackendRegistry::Apply(uint64_t version,
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
  }
  Publish();
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
