// Computes the local part and the shared part of the retry budget.

#include "gateway/core/shared_retry_budget.h"

#include <algorithm>

namespace mangoyoke {
namespace {

// Fractions of the budget that are the local parts of all instances and the
// shared part. Their sum is below 1, so that the bound holds even if every
// instance uses its local part just after the shared part was used up.
constexpr double kLocalFraction = 0.45;
constexpr double kSharedFraction = 0.5;

}  // namespace

void SharedRetryBudget::SetInstances(size_t instance_count,
                                     std::set<InstanceId> cell_peers,
                                     TimePoint now) {
  cell_peers_ = std::move(cell_peers);
  while (instance_counts_.size() > 1 &&
         now - instance_counts_[1].first > options_.window) {
    instance_counts_.pop_front();
  }
  instance_counts_.emplace_back(now, instance_count);
}

double SharedRetryBudget::CellFraction(TimePoint now) const {
  size_t instance_count =
      instance_counts_.empty() ? 1 : instance_counts_.back().second;
  if (cell_peers_.size() + 1 >= instance_count) {
    return 1;
  }
  return static_cast<double>(cell_peers_.size() + 1) /
         static_cast<double>(MaxInstanceCount(now));
}

size_t SharedRetryBudget::MaxInstanceCount(TimePoint now) const {
  size_t max_count = 1;
  for (size_t i = 0; i < instance_counts_.size(); ++i) {
    // Each count was valid until the next one was set.
    bool in_window = i + 1 == instance_counts_.size() ||
                     now - instance_counts_[i + 1].first <= options_.window;
    if (in_window) {
      max_count = std::max(max_count, instance_counts_[i].second);
    }
  }
  return max_count;
}

void SharedRetryBudget::RemoveExpired(History& history, TimePoint now) const {
  for (auto* times : {&history.requests, &history.retries}) {
    while (!times->empty() && now - times->front() > options_.window) {
      times->pop_front();
    }
  }
}

void SharedRetryBudget::OnRequest(const ServiceId& service, TimePoint now) {
  History& history = local_history_[service];
  RemoveExpired(history, now);
  history.requests.push_back(now);
}

bool SharedRetryBudget::Allows(const ServiceId& service, TimePoint now) {
  History& history = local_history_[service];
  RemoveExpired(history, now);
  double local_limit =
      kLocalFraction *
      (options_.share * static_cast<double>(history.requests.size()) +
       FixedRetries(now) / static_cast<double>(MaxInstanceCount(now)));
  bool local_allows =
      static_cast<double>(history.retries.size()) + 1 <= local_limit;
  return local_allows || SharedPartAllows(service, history, now);
}

bool SharedRetryBudget::TryAcquire(const ServiceId& service, TimePoint now) {
  if (!Allows(service, now)) {
    return false;
  }
  local_history_[service].retries.push_back(now);
  return true;
}

bool SharedRetryBudget::SharedPartAllows(const ServiceId& service,
                                         const History& local,
                                         TimePoint now) const {
  size_t reporting_peers = 0;
  RetryCounts sum{static_cast<int64_t>(local.requests.size()),
                  static_cast<int64_t>(local.retries.size())};
  sum.retries += RetriesOfReplacedProcesses(service, now);
  for (const auto& [instance, report] : reports_) {
    if (now - report.received_at > options_.window) {
      continue;
    }
    bool recent = now - report.received_at <= options_.report_ttl &&
                  cell_peers_.contains(instance);
    reporting_peers += recent ? 1 : 0;
    if (auto found = report.counts.find(service);
        found != report.counts.end()) {
      // Retries of an instance that stopped reporting or left the cell still
      // count within the window; its requests do not.
      sum.requests += recent ? found->second.requests : 0;
      sum.retries += found->second.retries;
    }
  }
  double limit =
      kSharedFraction * (options_.share * static_cast<double>(sum.requests) +
                         CellFraction(now) * FixedRetries(now));
  return reporting_peers >= cell_peers_.size() &&
         static_cast<double>(sum.retries) + 1 <= limit;
}

void SharedRetryBudget::UpdatePeerCounts(
    const InstanceId& instance,
    uint64_t incarnation,
    std::map<ServiceId, RetryCounts> counts,
    TimePoint now) {
  while (!replaced_reports_.empty() &&
         now - replaced_reports_.front().received_at > options_.window) {
    replaced_reports_.pop_front();
  }
  auto found = reports_.find(instance);
  if (found != reports_.end() && found->second.incarnation != incarnation) {
    replaced_reports_.push_back(std::move(found->second));
  }
  reports_.insert_or_assign(instance,
                            PeerReport{incarnation, std::move(counts), now});
}

double SharedRetryBudget::FixedRetries(TimePoint now) const {
  return now - started_ > options_.window ? options_.fixed : 0;
}

int64_t SharedRetryBudget::RetriesOfReplacedProcesses(const ServiceId& service,
                                                      TimePoint now) const {
  int64_t retries = 0;
  for (const PeerReport& report : replaced_reports_) {
    auto found = report.counts.find(service);
    if (found != report.counts.end() &&
        now - report.received_at <= options_.window) {
      retries += found->second.retries;
    }
  }
  return retries;
}

std::map<ServiceId, RetryCounts> SharedRetryBudget::LocalCounts(TimePoint now) {
  std::map<ServiceId, RetryCounts> counts;
  for (auto& [service, history] : local_history_) {
    RemoveExpired(history, now);
    counts[service] = RetryCounts{static_cast<int64_t>(history.requests.size()),
                                  static_cast<int64_t>(history.retries.size())};
  }
  return counts;
}

}  // namespace mangoyoke
