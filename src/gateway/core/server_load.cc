// Sums the load charges of this instance and the load reports of its peers.

#include "gateway/core/server_load.h"

#include <algorithm>
#include <vector>

namespace mangoyoke {

LoadCharge& LoadCharge::operator+=(const LoadCharge& other) {
  requests += other.requests;
  prompt_tokens += other.prompt_tokens;
  kv_tokens += other.kv_tokens;
  return *this;
}

LoadCharge& LoadCharge::operator-=(const LoadCharge& other) {
  requests -= other.requests;
  prompt_tokens -= other.prompt_tokens;
  kv_tokens -= other.kv_tokens;
  return *this;
}

LoadByServer ChangedCharges(const LoadByServer& before,
                            const LoadByServer& after) {
  LoadByServer changes;
  for (const auto& [server, charge] : before) {
    if (!after.contains(server)) {
      changes[server] = LoadCharge{};
    }
  }
  for (const auto& [server, charge] : after) {
    auto found = before.find(server);
    if (found == before.end() || found->second != charge) {
      changes[server] = charge;
    }
  }
  return changes;
}

uint64_t ServerLoad::Charge(const BackendId& server, const LoadCharge& charge) {
  uint64_t id = next_id_++;
  charges_.emplace(id, ActiveCharge{server, charge});
  local_load_[server] += charge;
  return id;
}

void ServerLoad::Change(uint64_t id, const LoadCharge& charge) {
  if (auto found = charges_.find(id); found != charges_.end()) {
    LoadCharge& sum = local_load_[found->second.server];
    sum -= found->second.charge;
    sum += charge;
    found->second.charge = charge;
  }
}

void ServerLoad::Release(uint64_t id) {
  auto found = charges_.find(id);
  if (found == charges_.end()) {
    return;
  }
  auto sum = local_load_.find(found->second.server);
  sum->second -= found->second.charge;
  if (sum->second == LoadCharge{}) {
    local_load_.erase(sum);
  }
  charges_.erase(found);
}

void ServerLoad::UpdatePeerLoad(ReportScope scope,
                                const std::string& source,
                                LoadByServer load,
                                TimePoint now) {
  ReportKey key{scope, source};
  RemoveReport(key);
  for (const auto& [server, charge] : load) {
    peer_load_[server] += charge;
  }
  TimePoint expires_at = now + report_ttls_.Of(scope);
  next_expiry_ =
      reports_.empty() ? expires_at : std::min(next_expiry_, expires_at);
  reports_.emplace(std::move(key), PeerReport{std::move(load), expires_at});
}

void ServerLoad::PatchPeerLoad(ReportScope scope,
                               const std::string& source,
                               const LoadByServer& changes,
                               TimePoint now) {
  LoadByServer load;
  if (auto found = reports_.find({scope, source}); found != reports_.end()) {
    load = found->second.load;
  }
  for (const auto& [server, charge] : changes) {
    if (charge == LoadCharge{}) {
      load.erase(server);
    } else {
      load[server] = charge;
    }
  }
  UpdatePeerLoad(scope, source, std::move(load), now);
}

void ServerLoad::RemoveReport(const ReportKey& key) {
  auto found = reports_.find(key);
  if (found == reports_.end()) {
    return;
  }
  for (const auto& [server, charge] : found->second.load) {
    auto sum = peer_load_.find(server);
    sum->second -= charge;
    if (sum->second == LoadCharge{}) {
      peer_load_.erase(sum);
    }
  }
  reports_.erase(found);
}

void ServerLoad::RemoveExpiredReports(TimePoint now) {
  if (now <= next_expiry_) {
    return;
  }
  std::vector<ReportKey> expired;
  next_expiry_ = TimePoint::max();
  for (const auto& [key, report] : reports_) {
    if (now > report.expires_at) {
      expired.push_back(key);
    } else {
      next_expiry_ = std::min(next_expiry_, report.expires_at);
    }
  }
  for (const ReportKey& key : expired) {
    RemoveReport(key);
  }
}

LoadByServer ServerLoad::Sum(ReportScope max_scope, TimePoint now) {
  RemoveExpiredReports(now);
  LoadByServer sum = local_load_;
  for (const auto& [key, report] : reports_) {
    if (key.first > max_scope) {
      break;  // Ordered by scope.
    }
    for (const auto& [server, charge] : report.load) {
      sum[server] += charge;
    }
  }
  return sum;
}

LoadCharge ServerLoad::At(const BackendId& server, TimePoint now) {
  RemoveExpiredReports(now);
  LoadCharge sum;
  if (auto found = local_load_.find(server); found != local_load_.end()) {
    sum = found->second;
  }
  if (auto found = peer_load_.find(server); found != peer_load_.end()) {
    sum += found->second;
  }
  return sum;
}

}  // namespace mangoyoke
