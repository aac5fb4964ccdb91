// Own part and common part of the repeat budget.

#include "gateway/core/repeat_budget.h"

#include <algorithm>

namespace mangoyoke {
namespace {

// Together below 1, so that the bound holds even if every entry uses its own
// part just after the common part was used up.
constexpr double kOwnPart = 0.45;
constexpr double kCommonPart = 0.5;

}  // namespace

void RepeatBudget::Expire(History& history, TimePoint now) const {
  for (auto* times : {&history.requests, &history.repeats}) {
    while (!times->empty() && now - times->front() > options_.window) {
      times->pop_front();
    }
  }
}

void RepeatBudget::NoteRequest(const ServiceId& service, TimePoint now) {
  History& history = own_[service];
  Expire(history, now);
  history.requests.push_back(now);
}

bool RepeatBudget::TryRepeat(const ServiceId& service, TimePoint now) {
  History& history = own_[service];
  Expire(history, now);
  double own_limit =
      kOwnPart *
      (options_.share * static_cast<double>(history.requests.size()) +
       options_.fixed / static_cast<double>(std::max<size_t>(entries_, 1)));
  bool own_allows =
      static_cast<double>(history.repeats.size()) + 1 <= own_limit;
  if (!own_allows && !CommonAllows(service, history, now)) {
    return false;
  }
  history.repeats.push_back(now);
  return true;
}

bool RepeatBudget::CommonAllows(const ServiceId& service,
                                const History& own,
                                TimePoint now) const {
  size_t heard = 1;
  RepeatCounts sum{static_cast<int64_t>(own.requests.size()),
                   static_cast<int64_t>(own.repeats.size())};
  for (const auto& [entry, report] : reports_) {
    if (now - report.at > options_.report_life) {
      continue;
    }
    ++heard;
    if (auto found = report.counts.find(service);
        found != report.counts.end()) {
      sum.requests += found->second.requests;
      sum.repeats += found->second.repeats;
    }
  }
  double limit =
      kCommonPart * (options_.share * static_cast<double>(sum.requests) +
                     options_.fixed);
  return heard >= entries_ && static_cast<double>(sum.repeats) + 1 <= limit;
}

void RepeatBudget::Report(const InstanceId& entry,
                          std::map<ServiceId, RepeatCounts> counts,
                          TimePoint now) {
  reports_.insert_or_assign(entry, Reported{std::move(counts), now});
}

std::map<ServiceId, RepeatCounts> RepeatBudget::Own(TimePoint now) {
  std::map<ServiceId, RepeatCounts> counts;
  for (auto& [service, history] : own_) {
    Expire(history, now);
    counts[service] =
        RepeatCounts{static_cast<int64_t>(history.requests.size()),
                     static_cast<int64_t>(history.repeats.size())};
  }
  return counts;
}

}  // namespace mangoyoke
