// Bookkeeping of work in flight.

#include "gateway/core/server_load.h"

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

void ServerLoad::Report(const InstanceId& entry,
                        LoadByServer load,
                        TimePoint now) {
  reports_.insert_or_assign(entry, Reported{std::move(load), now});
}

LoadCharge ServerLoad::At(const BackendId& server, TimePoint now) const {
  LoadCharge sum;
  if (auto found = own_.find(server); found != own_.end()) {
    sum = found->second;
  }
  for (const auto& [entry, report] : reports_) {
    if (now - report.at > report_life_) {
      continue;
    }
    if (auto found = report.load.find(server); found != report.load.end()) {
      sum += found->second;
    }
  }
  return sum;
}

}  // namespace mangoyoke
