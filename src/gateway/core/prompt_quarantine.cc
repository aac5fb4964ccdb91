// Evidence against parts of prompts, and the verdicts that follow from it.

#include "gateway/core/prompt_quarantine.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "mangoyoke/rendezvous.h"

namespace mangoyoke {
namespace {

// Ends needed to blame a part with which no request was ever served, from this
// many different prompts.
constexpr size_t kEndsOfNewPart = 3;
constexpr size_t kDifferentPrompts = 2;
// Ends needed for any other part, and for ends of one prompt alone.
constexpr size_t kEndsOfAnyPart = 5;
// A part is blamed if its ends are less likely than this otherwise. Very small,
// as there are many parts and each gets many chances.
constexpr double kMaxChanceOfNewPart = 1e-6;
constexpr double kMaxChanceOfAnyPart = 1e-8;
// An end sooner after the request than this says no more than one at this time.
constexpr Duration kShortestAfter = Millis(150);
// What outcomes of requests are counted.
constexpr Duration kOutcomeMemory = Seconds(60);
constexpr size_t kMaxOutcomes = 512;
// Added to the time in which requests were in progress, so that few outcomes do
// not look certain.
constexpr Duration kOutcomePrior = Seconds(10);
// Ends needed before requests with the part are no longer repeated.
constexpr size_t kSuspectEnds = 2;
// Ends closer together than this count as one.
constexpr Duration kSameMoment = Millis(250);
// Requests without the part that must have been served since its first end.
constexpr size_t kOthersServed = 2;
// The same before the first end of a part that was never served.
constexpr Duration kOthersServedBefore = Seconds(30);
// Bounds of the memory used.
constexpr size_t kMaxRecords = 2048;
constexpr size_t kMaxEndsPerPart = 16;
constexpr size_t kMaxSuccesses = 4096;
// Times that other instances report are late by the time that the report took.
constexpr Duration kReportDelay = Seconds(1);

// The number of moments in `times`, which are sorted.
size_t CountMoments(const std::vector<TimePoint>& times) {
  size_t moments = 0;
  std::optional<TimePoint> last;
  for (TimePoint time : times) {
    if (!last || time - *last >= kSameMoment) {
      ++moments;
      last = time;
    }
  }
  return moments;
}

size_t CountMoments(const std::vector<ServerEnd>& ends) {
  std::vector<TimePoint> times;
  for (const ServerEnd& end : ends) {
    times.push_back(end.at);
  }
  return CountMoments(times);
}

size_t CountPrompts(const std::vector<ServerEnd>& ends) {
  std::set<uint64_t> prompts;
  for (const ServerEnd& end : ends) {
    prompts.insert(end.prompt);
  }
  return prompts.size();
}

}  // namespace

void PromptQuarantine::RecordSuccess(const PromptParts& prompt,
                                     Duration time,
                                     TimePoint now) {
  AddOutcome(Outcome{now, time, 0});
  for (const PromptPartId& part : prompt.shared) {
    RememberSuccess(part, now);
    if (PartRecord* record = Find(part)) {
      ApplySuccess(*record, now);
    }
  }
}

void PromptQuarantine::RecordServerEnd(std::string_view incarnation,
                                       const PromptParts& prompt,
                                       Duration after,
                                       TimePoint now) {
  ServerEnd end{StableHash(incarnation), StableHash(prompt.own), now, after};
  AddOutcome(Outcome{now, after, end.server});
  for (const PromptPartId& part : prompt.shared) {
    if (PartRecord* record = FindOrAdd(part, now)) {
      AddEnd(*record, end);
    }
  }
}

void PromptQuarantine::Merge(const PartRecord& other, TimePoint now) {
  PartRecord* record = FindOrAdd(other.part, now);
  if (record == nullptr) {
    return;
  }
  if (other.last_success &&
      (!record->last_success ||
       *other.last_success > *record->last_success + kReportDelay)) {
    RememberSuccess(other.part, *other.last_success);
    ApplySuccess(*record, *other.last_success);
  }
  for (const ServerEnd& end : other.ends) {
    AddEnd(*record, end);
  }
  if (other.verdict && now < other.verdict->until) {
    TakeOverVerdict(*record, *other.verdict);
  }
}

void PromptQuarantine::TakeOverVerdict(PartRecord& record,
                                       const QuarantineVerdict& verdict) {
  if (record.last_success && *record.last_success > verdict.first_end) {
    changed_.insert(record.part);  // Tells the sender of the success.
    return;
  }
  if (record.verdict && verdict.count <= record.verdict->count &&
      verdict.until <= record.verdict->until + kReportDelay) {
    return;
  }
  record.verdict = verdict;
  changed_.insert(record.part);
  unreported_.push_back(
      QuarantineChange{.part = record.part, .verdict = verdict});
}

std::optional<QuarantinedPart> PromptQuarantine::Find(const PromptParts& prompt,
                                                      TimePoint now) const {
  if (records_.empty()) {
    return std::nullopt;
  }
  for (const PromptPartId& part : prompt.shared) {
    auto found = records_.find(part);
    if (found != records_.end() && found->second.verdict &&
        now < found->second.verdict->until) {
      return QuarantinedPart{part, found->second.verdict->until};
    }
  }
  return std::nullopt;
}

bool PromptQuarantine::IsSuspect(const PromptParts& prompt) const {
  return std::any_of(prompt.shared.begin(), prompt.shared.end(),
                     [this](const PromptPartId& part) {
                       auto found = records_.find(part);
                       return found != records_.end() &&
                              !found->second.last_success &&
                              CountMoments(found->second.ends) >= kSuspectEnds;
                     });
}

std::vector<PartRecord> PromptQuarantine::TakeChanges(size_t limit) {
  std::vector<PartRecord> changes;
  while (!changed_.empty() && changes.size() < limit) {
    auto part = changed_.extract(changed_.begin());
    if (const PartRecord* record = Find(part.value())) {
      changes.push_back(*record);
    }
  }
  return changes;
}

std::vector<PartRecord> PromptQuarantine::Records(TimePoint now) {
  DropOutdated(now);
  std::vector<PartRecord> records;
  for (const auto& [part, record] : records_) {
    records.push_back(record);
  }
  return records;
}

size_t PromptQuarantine::VerdictCount(TimePoint now) const {
  return static_cast<size_t>(
      std::count_if(records_.begin(), records_.end(), [now](const auto& entry) {
        return entry.second.verdict && now < entry.second.verdict->until;
      }));
}

PartRecord* PromptQuarantine::Find(const PromptPartId& part) {
  auto found = records_.find(part);
  return found == records_.end() ? nullptr : &found->second;
}

PartRecord* PromptQuarantine::FindOrAdd(const PromptPartId& part,
                                        TimePoint now) {
  if (PartRecord* record = Find(part)) {
    return record;
  }
  if (records_.size() >= kMaxRecords) {
    DropOutdated(now);
  }
  if (records_.size() >= kMaxRecords) {
    return nullptr;
  }
  PartRecord& record = records_[part];
  record.part = part;
  record.last_success = KnownSuccess(part);
  return &record;
}

void PromptQuarantine::AddEnd(PartRecord& record, const ServerEnd& end) {
  if (record.last_success && end.at <= *record.last_success) {
    changed_.insert(record.part);  // Tells the sender of the success.
    return;
  }
  auto same = std::find_if(
      record.ends.begin(), record.ends.end(),
      [&end](const ServerEnd& known) { return known.server == end.server; });
  if (same != record.ends.end()) {
    if (end.after > same->after) {
      same->after = end.after;
      changed_.insert(record.part);
    }
    return;
  }
  if (record.ends.size() >= kMaxEndsPerPart) {
    return;
  }
  auto place = std::upper_bound(
      record.ends.begin(), record.ends.end(), end,
      [](const ServerEnd& a, const ServerEnd& b) { return a.at < b.at; });
  record.ends.insert(place, end);
  changed_.insert(record.part);
}

void PromptQuarantine::ApplySuccess(PartRecord& record, TimePoint at) {
  if (record.last_success && at <= *record.last_success) {
    return;
  }
  record.last_success = at;
  size_t voided = std::erase_if(
      record.ends, [at](const ServerEnd& end) { return end.at <= at; });
  if (voided > 0) {
    changed_.insert(record.part);
  }
  if (record.verdict && record.verdict->first_end < at) {
    record.verdict.reset();
    changed_.insert(record.part);
    unreported_.push_back(QuarantineChange{record.part});
  }
}

void PromptQuarantine::RememberSuccess(const PromptPartId& part, TimePoint at) {
  auto [entry, added] = successes_.try_emplace(part, at);
  entry->second = std::max(entry->second, at);
  if (!added) {
    return;
  }
  success_order_.push_back(part);
  if (success_order_.size() > kMaxSuccesses) {
    successes_.erase(success_order_.front());
    success_order_.pop_front();
  }
}

std::optional<TimePoint> PromptQuarantine::KnownSuccess(
    const PromptPartId& part) const {
  auto found = successes_.find(part);
  return found == successes_.end() ? std::nullopt
                                   : std::optional<TimePoint>(found->second);
}

std::vector<QuarantineChange> PromptQuarantine::Decide(TimePoint now) {
  std::vector<Candidate> candidates = Candidates(now);
  std::erase_if(candidates, [this](const Candidate& candidate) {
    return !IsToBlame(candidate);
  });
  size_t most = 0;
  for (const Candidate& candidate : candidates) {
    most = std::max(most, candidate.moments);
  }
  // The part that was present most often explains the ends. Others are looked
  // at again without those.
  for (const Candidate& candidate : candidates) {
    if (candidate.moments == most) {
      PassVerdict(candidate, now);
    }
  }
  return std::exchange(unreported_, {});
}

std::vector<PromptQuarantine::Candidate> PromptQuarantine::Candidates(
    TimePoint now) {
  std::set<uint64_t> explained;
  for (const auto& [part, record] : records_) {
    if (record.verdict) {
      for (const ServerEnd& end : record.ends) {
        explained.insert(end.server);
      }
    }
  }
  std::vector<Candidate> candidates;
  for (auto& [part, record] : records_) {
    bool enough = record.verdict ? now >= record.verdict->until
                                 : record.ends.size() >= kEndsOfNewPart;
    if (!enough) {
      continue;
    }
    Candidate candidate{&record, record.ends, 0};
    if (!record.verdict) {
      std::erase_if(candidate.ends, [&explained](const ServerEnd& end) {
        return explained.contains(end.server);
      });
    }
    candidate.moments = CountMoments(candidate.ends);
    if (candidate.moments > 0) {
      candidates.push_back(std::move(candidate));
    }
  }
  return candidates;
}

bool PromptQuarantine::IsToBlame(const Candidate& candidate) const {
  TimePoint first = candidate.ends.front().at;
  if (const auto& verdict = candidate.record->verdict) {
    // It has run out, and one more end renews it.
    return candidate.ends.back().at > verdict->until;
  }
  // Earlier successes may be with the part itself, if it was ever served.
  bool served_before = candidate.record->last_success.has_value();
  if (!OthersServedSince(served_before ? first : first - kOthersServedBefore)) {
    return false;
  }
  double chance = ChanceOf(candidate.ends);
  if (candidate.moments >= kEndsOfAnyPart && chance <= kMaxChanceOfAnyPart) {
    return true;
  }
  return !served_before && candidate.moments >= kEndsOfNewPart &&
         CountPrompts(candidate.ends) >= kDifferentPrompts &&
         chance <= kMaxChanceOfNewPart;
}

void PromptQuarantine::PassVerdict(const Candidate& candidate, TimePoint now) {
  PartRecord& record = *candidate.record;
  QuarantineVerdict verdict;
  verdict.first_end = candidate.ends.front().at;
  verdict.count = record.verdict ? record.verdict->count + 1 : 1;
  Duration length = kFirstVerdict;
  for (int i = 1; i < verdict.count && length < kMaxVerdict; ++i) {
    length *= 2;
  }
  verdict.until = now + std::min(length, kMaxVerdict);
  record.verdict = verdict;
  changed_.insert(record.part);
  unreported_.push_back(
      QuarantineChange{.part = record.part,
                       .verdict = verdict,
                       .ends = candidate.ends.size(),
                       .prompts = CountPrompts(candidate.ends),
                       .decided_here = true});
}

double PromptQuarantine::ChanceOf(const std::vector<ServerEnd>& ends) const {
  double rate = CutOffRate(ends);
  double chance = 1;
  std::optional<TimePoint> last;
  for (const ServerEnd& end : ends) {
    if (!last || end.at - *last >= kSameMoment) {
      Duration after = std::max<Duration>(end.after, kShortestAfter);
      chance *= 1 - std::exp(-rate * ToMillis(after));
      last = end.at;
    }
  }
  return chance;
}

double PromptQuarantine::CutOffRate(const std::vector<ServerEnd>& ends) const {
  Duration time = kOutcomePrior;
  double cut_off = 1;
  for (const Outcome& outcome : outcomes_) {
    time += outcome.time;
    bool by_these =
        std::any_of(ends.begin(), ends.end(), [&](const ServerEnd& end) {
          return end.server == outcome.ended_server;
        });
    cut_off += outcome.ended_server == 0 || by_these ? 0 : 1;
  }
  return cut_off / ToMillis(time);
}

void PromptQuarantine::AddOutcome(const Outcome& outcome) {
  outcomes_.push_back(outcome);
  while (outcomes_.size() > kMaxOutcomes ||
         outcome.at - outcomes_.front().at > kOutcomeMemory) {
    outcomes_.pop_front();
  }
}

bool PromptQuarantine::OthersServedSince(TimePoint from) const {
  // A success with the part would have voided its ends, so all of them are of
  // requests without it.
  auto served = std::count_if(
      outcomes_.begin(), outcomes_.end(), [from](const Outcome& outcome) {
        return outcome.at > from && outcome.ended_server == 0;
      });
  return static_cast<size_t>(served) >= kOthersServed;
}

void PromptQuarantine::DropOutdated(TimePoint now) {
  for (auto& [part, record] : records_) {
    std::erase_if(record.ends, [now](const ServerEnd& end) {
      return now - end.at > kMemory;
    });
  }
  std::erase_if(records_, [this, now](const auto& entry) {
    const PartRecord& record = entry.second;
    bool judged = record.verdict && now < record.verdict->until + kMaxVerdict;
    // What successes_ keeps of it is enough once the others were told.
    bool told = !changed_.contains(record.part);
    return record.ends.empty() && !judged && told;
  });
}

}  // namespace mangoyoke
