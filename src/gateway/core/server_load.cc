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

void ServerLoad::UpdatePeerLoad(const InstanceId& instance,
                                LoadByServer load,
                                TimePoint now) {
  RemoveReport(instance);
  for (const auto& [server, charge] : load) {
    peer_load_[server] += charge;
  }
  if (reports_.empty()) {
    oldest_report_time_ = now;
  }
  reports_.emplace(instance, PeerReport{std::move(load), now});
}

void ServerLoad::RemoveReport(const InstanceId& instance) {
  auto found = reports_.find(instance);
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
  if (now - oldest_report_time_ <= report_ttl_) {
    return;
  }
  std::vector<InstanceId> expired;
  oldest_report_time_ = now;
  for (const auto& [instance, report] : reports_) {
    if (now - report.received_at > report_ttl_) {
      expired.push_back(instance);
    } else {
      oldest_report_time_ = std::min(oldest_report_time_, report.received_at);
    }
  }
  for (const InstanceId& instance : expired) {
    RemoveReport(instance);
  }
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
