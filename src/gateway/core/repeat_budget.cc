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

void RepeatBudget::SetEntries(size_t entries, TimePoint now) {
  while (entries_.size() > 1 && now - entries_[1].first > options_.window) {
    entries_.pop_front();
  }
  entries_.emplace_back(now, entries);
}

// The most entries of the last window.
size_t RepeatBudget::Entries(TimePoint now) const {
  size_t most = 1;
  for (size_t i = 0; i < entries_.size(); ++i) {
    // A count holds until the next one came.
    bool held = i + 1 == entries_.size() ||
                now - entries_[i + 1].first <= options_.window;
    if (held) {
      most = std::max(most, entries_[i].second);
    }
  }
  return most;
}

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
       Fixed(now) / static_cast<double>(Entries(now)));
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
  size_t current = entries_.empty() ? 1 : entries_.back().second;
  RepeatCounts sum{static_cast<int64_t>(own.requests.size()),
                   static_cast<int64_t>(own.repeats.size())};
  sum.repeats += RepeatsOfReplaced(service, now);
  for (const auto& [entry, report] : reports_) {
    if (now - report.at > options_.window) {
      continue;
    }
    bool fresh = now - report.at <= options_.report_life;
    heard += fresh ? 1 : 0;
    if (auto found = report.counts.find(service);
        found != report.counts.end()) {
      // What an entry used before it went still counts; its requests may not.
      sum.requests += fresh ? found->second.requests : 0;
      sum.repeats += found->second.repeats;
    }
  }
  double limit =
      kCommonPart *
      (options_.share * static_cast<double>(sum.requests) + Fixed(now));
  return heard >= current && static_cast<double>(sum.repeats) + 1 <= limit;
}

void RepeatBudget::Report(const InstanceId& entry,
                          uint64_t incarnation,
                          std::map<ServiceId, RepeatCounts> counts,
                          TimePoint now) {
  while (!replaced_.empty() && now - replaced_.front().at > options_.window) {
    replaced_.pop_front();
  }
  auto found = reports_.find(entry);
  if (found != reports_.end() && found->second.incarnation != incarnation) {
    replaced_.push_back(std::move(found->second));
  }
  reports_.insert_or_assign(entry,
                            Reported{incarnation, std::move(counts), now});
}

double RepeatBudget::Fixed(TimePoint now) const {
  return now - started_ > options_.window ? options_.fixed : 0;
}

int64_t RepeatBudget::RepeatsOfReplaced(const ServiceId& service,
                                        TimePoint now) const {
  int64_t repeats = 0;
  for (const Reported& report : replaced_) {
    auto found = report.counts.find(service);
    if (found != report.counts.end() && now - report.at <= options_.window) {
      repeats += found->second.repeats;
    }
  }
  return repeats;
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
