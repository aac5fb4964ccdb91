// Own part and common part of the repeat budget.

#include "gateway/core/shared_retry_budget.h"

#include <algorithm>

namespace mangoyoke {
namespace {

// Together below 1, so that the bound holds even if every entry uses its own
// part just after the common part was used up.
constexpr double kOwnPart = 0.45;
constexpr double kCommonPart = 0.5;

}  // namespace

void SharedRetryBudget::SetInstanceCount(size_t instance_count, TimePoint now) {
  while (instance_counts_.size() > 1 &&
         now - instance_counts_[1].first > options_.window) {
    instance_counts_.pop_front();
  }
  instance_counts_.emplace_back(now, instance_count);
}

// The most entries of the last window.
size_t SharedRetryBudget::InstanceCount(TimePoint now) const {
  size_t most = 1;
  for (size_t i = 0; i < instance_counts_.size(); ++i) {
    // A count holds until the next one came.
    bool held = i + 1 == instance_counts_.size() ||
                now - instance_counts_[i + 1].first <= options_.window;
    if (held) {
      most = std::max(most, instance_counts_[i].second);
    }
  }
  return most;
}

void SharedRetryBudget::Expire(History& history, TimePoint now) const {
  for (auto* times : {&history.requests, &history.retries}) {
    while (!times->empty() && now - times->front() > options_.window) {
      times->pop_front();
    }
  }
}

void SharedRetryBudget::OnRequest(const ServiceId& service, TimePoint now) {
  History& history = own_[service];
  Expire(history, now);
  history.requests.push_back(now);
}

bool SharedRetryBudget::TryAcquire(const ServiceId& service, TimePoint now) {
  History& history = own_[service];
  Expire(history, now);
  double own_limit =
      kOwnPart *
      (options_.share * static_cast<double>(history.requests.size()) +
       Fixed(now) / static_cast<double>(InstanceCount(now)));
  bool own_allows =
      static_cast<double>(history.retries.size()) + 1 <= own_limit;
  if (!own_allows && !CommonAllows(service, history, now)) {
    return false;
  }
  history.retries.push_back(now);
  return true;
}

bool SharedRetryBudget::CommonAllows(const ServiceId& service,
                                     const History& own,
                                     TimePoint now) const {
  size_t heard = 1;
  size_t current =
      instance_counts_.empty() ? 1 : instance_counts_.back().second;
  RetryCounts sum{static_cast<int64_t>(own.requests.size()),
                  static_cast<int64_t>(own.retries.size())};
  sum.retries += RetriesOfReplaced(service, now);
  for (const auto& [instance, report] : reports_) {
    if (now - report.at > options_.window) {
      continue;
    }
    bool fresh = now - report.at <= options_.report_ttl;
    heard += fresh ? 1 : 0;
    if (auto found = report.counts.find(service);
        found != report.counts.end()) {
      // What an entry used before it went still counts; its requests may not.
      sum.requests += fresh ? found->second.requests : 0;
      sum.retries += found->second.retries;
    }
  }
  double limit =
      kCommonPart *
      (options_.share * static_cast<double>(sum.requests) + Fixed(now));
  return heard >= current && static_cast<double>(sum.retries) + 1 <= limit;
}

void SharedRetryBudget::UpdatePeerCounts(
    const InstanceId& instance,
    uint64_t incarnation,
    std::map<ServiceId, RetryCounts> counts,
    TimePoint now) {
  while (!replaced_.empty() && now - replaced_.front().at > options_.window) {
    replaced_.pop_front();
  }
  auto found = reports_.find(instance);
  if (found != reports_.end() && found->second.incarnation != incarnation) {
    replaced_.push_back(std::move(found->second));
  }
  reports_.insert_or_assign(instance,
                            Reported{incarnation, std::move(counts), now});
}

double SharedRetryBudget::Fixed(TimePoint now) const {
  return now - started_ > options_.window ? options_.fixed : 0;
}

int64_t SharedRetryBudget::RetriesOfReplaced(const ServiceId& service,
                                             TimePoint now) const {
  int64_t retries = 0;
  for (const Reported& report : replaced_) {
    auto found = report.counts.find(service);
    if (found != report.counts.end() && now - report.at <= options_.window) {
      retries += found->second.retries;
    }
  }
  return retries;
}

std::map<ServiceId, RetryCounts> SharedRetryBudget::LocalCounts(TimePoint now) {
  std::map<ServiceId, RetryCounts> counts;
  for (auto& [service, history] : own_) {
    Expire(history, now);
    counts[service] = RetryCounts{static_cast<int64_t>(history.requests.size()),
                                  static_cast<int64_t>(history.retries.size())};
  }
  return counts;
}

}  // namespace mangoyoke
