// Bookkeeping of work in flight.

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
  charges_.emplace(id, Charged{server, charge});
  own_[server] += charge;
  return id;
}

void ServerLoad::Change(uint64_t id, const LoadCharge& charge) {
  if (auto found = charges_.find(id); found != charges_.end()) {
    LoadCharge& sum = own_[found->second.server];
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
  auto sum = own_.find(found->second.server);
  sum->second -= found->second.charge;
  if (sum->second == LoadCharge{}) {
    own_.erase(sum);
  }
  charges_.erase(found);
}

void ServerLoad::UpdatePeerLoad(const InstanceId& instance,
                                LoadByServer load,
                                TimePoint now) {
  DropReport(instance);
  for (const auto& [server, charge] : load) {
    reported_[server] += charge;
  }
  if (reports_.empty()) {
    oldest_report_ = now;
  }
  reports_.emplace(instance, Reported{std::move(load), now});
}

void ServerLoad::DropReport(const InstanceId& instance) {
  auto found = reports_.find(instance);
  if (found == reports_.end()) {
    return;
  }
  for (const auto& [server, charge] : found->second.load) {
    auto sum = reported_.find(server);
    sum->second -= charge;
    if (sum->second == LoadCharge{}) {
      reported_.erase(sum);
    }
  }
  reports_.erase(found);
}

void ServerLoad::DropOldReports(TimePoint now) {
  if (now - oldest_report_ <= report_ttl_) {
    return;
  }
  std::vector<InstanceId> old;
  oldest_report_ = now;
  for (const auto& [instance, report] : reports_) {
    if (now - report.at > report_ttl_) {
      old.push_back(instance);
    } else {
      oldest_report_ = std::min(oldest_report_, report.at);
    }
  }
  for (const InstanceId& instance : old) {
    DropReport(instance);
  }
}

LoadCharge ServerLoad::At(const BackendId& server, TimePoint now) {
  DropOldReports(now);
  LoadCharge sum;
  if (auto found = own_.find(server); found != own_.end()) {
    sum = found->second;
  }
  if (auto found = reported_.find(server); found != reported_.end()) {
    sum += found->second;
  }
  return sum;
}

}  // namespace mangoyoke
