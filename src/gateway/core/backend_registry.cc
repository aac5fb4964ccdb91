// Merging of registry rows, with lapses during trouble of the store.

#include "gateway/core/backend_registry.h"

#include <set>

#include "base/log.h"

namespace mangoyoke {

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
      Remove(change.id, now);
      continue;
    }
    lapsed_.erase(change.id);
    servers_.insert_or_assign(change.id, *change.server);
  }
  Publish();
}

void BackendRegistry::OnStoreFailure() {
  store_in_trouble_ = true;
}

void BackendRegistry::OnStoreSuccess(TimePoint now) {
  if (!store_in_trouble_) {
    return;
  }
  store_in_trouble_ = false;
  store_returned_ = now;
  for (auto& [id, gone_at] : lapsed_) {
    gone_at = now + return_time_;
  }
}

bool BackendRegistry::RowsMayLapse(TimePoint now) const {
  return store_in_trouble_ ||
         (store_returned_ && now < *store_returned_ + return_time_);
}

void BackendRegistry::Remove(const BackendId& id, TimePoint now) {
  auto found = servers_.find(id);
  if (found == servers_.end() || lapsed_.contains(id)) {
    return;
  }
  // A server that was leaving does not come back.
  if (RowsMayLapse(now) && found->second.state == ServerState::kReady) {
    lapsed_[id] = store_in_trouble_ ? now + return_time_
                                    : *store_returned_ + return_time_;
    LogEvent("server_lapsed").Field("server", id);
    return;
  }
  LogEvent("server_gone").Field("server", id);
  servers_.erase(found);
}

bool BackendRegistry::RemoveLapsedServers(TimePoint now) {
  if (store_in_trouble_) {
    return false;
  }
  bool dropped = false;
  for (auto it = lapsed_.begin(); it != lapsed_.end();) {
    if (now < it->second) {
      ++it;
      continue;
    }
    LogEvent("server_gone").Field("server", it->first).Field("why", "lapsed");
    servers_.erase(it->first);
    it = lapsed_.erase(it);
    dropped = true;
  }
  if (dropped) {
    Publish();
  }
  return dropped;
}

void BackendRegistry::Publish() {
  snapshot_ =
      std::make_shared<ServerSnapshot>(ServerSnapshot{version_, servers_});
}

}  // namespace mangoyoke
