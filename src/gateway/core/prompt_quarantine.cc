// Evidence against parts of prompts, and the verdicts that follow from it.

#include "gateway/core/prompt_quarantine.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "mangoyoke/rendezvous.h"

namespace mangoyoke {
namespace {

// Ends needed to blame a part with which no request was ever served, from this
// many different prompts; or a whole prompt.
constexpr size_t kEndsOfNewPart = 3;
constexpr size_t kDifferentPrompts = 2;
// Ends needed for any other part, and if all are of one prompt.
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

// The records of whole prompts have ids that begin with this, which no part's
// id does.
constexpr std::string_view kWholePrefix = "whole ";

bool IsWhole(const PromptPartId& id) {
  return id.starts_with(kWholePrefix);
}

// The id of the whole prompt whose own part has this hash; nothing if the
// caller does not name that part.
std::optional<PromptPartId> WholeOf(uint64_t own_hash) {
  if (own_hash == StableHash("")) {
    return std::nullopt;
  }
  return std::string(kWholePrefix) + std::to_string(own_hash);
}

std::optional<PromptPartId> WholeOf(const PromptParts& prompt) {
  return WholeOf(StableHash(prompt.own));
}

// What may be to blame for the end of a server under `prompt`.
std::vector<PromptPartId> SuspectsOf(const PromptParts& prompt) {
  std::vector<PromptPartId> suspects = prompt.shared;
  if (auto whole = WholeOf(prompt)) {
    suspects.push_back(*whole);
  }
  return suspects;
}

// The ends in `ends`, sorted by time, that did not come at the moment of the
// one before. Of a whole prompt (`is_whole`), an end at a server that got it
// after the end before has a moment of its own: that server was sound then.
std::vector<ServerEnd> SelectMoments(const std::vector<ServerEnd>& ends,
                                     bool is_whole) {
  std::vector<ServerEnd> selected;
  std::optional<TimePoint> last;
  for (const ServerEnd& end : ends) {
    bool sent_later = is_whole && last && end.at - end.after > *last;
    if (!last || end.at - *last >= kSameMoment || sent_later) {
      selected.push_back(end);
      last = end.at;
    }
  }
  return selected;
}

size_t CountMoments(const PartRecord& record) {
  return SelectMoments(record.ends, IsWhole(record.part)).size();
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
  if (records_.empty()) {
    return;
  }
  // Most prompts come once, so that their successes are not remembered.
  if (auto whole = WholeOf(prompt)) {
    if (PartRecord* record = Find(*whole)) {
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
  auto whole = WholeOf(prompt);
  if (!whole) {
    return;
  }
  // Most prompts come once: there is a record only of those that came again.
  PartRecord* record =
      prompt.shared.empty() ? FindOrAdd(*whole, now) : Find(*whole);
  if (record != nullptr) {
    AddEnd(*record, end);
  }
}

void PromptQuarantine::RecordRepeatedPrompt(const PartRecord& record,
                                            uint64_t prompt) {
  auto whole = WholeOf(prompt);
  auto is_of_prompt = [prompt](const ServerEnd& end) {
    return end.prompt == prompt;
  };
  auto ends =
      std::count_if(record.ends.begin(), record.ends.end(), is_of_prompt);
  if (IsWhole(record.part) || !whole || ends < 2) {
    return;
  }
  PartRecord* whole_record = FindOrAdd(*whole, record.ends.back().at);
  if (whole_record == nullptr) {
    return;
  }
  for (const ServerEnd& end : record.ends) {
    if (is_of_prompt(end)) {
      AddEnd(*whole_record, end);
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
  for (const PromptPartId& part : SuspectsOf(prompt)) {
    auto found = records_.find(part);
    if (found != records_.end() && found->second.verdict &&
        now < found->second.verdict->until) {
      return QuarantinedPart{part, found->second.verdict->until};
    }
  }
  return std::nullopt;
}

bool PromptQuarantine::IsSuspect(const PromptParts& prompt) const {
  auto suspects = SuspectsOf(prompt);
  return std::any_of(
      suspects.begin(), suspects.end(), [this](const PromptPartId& part) {
        auto found = records_.find(part);
        return found != records_.end() && !found->second.last_success &&
               CountMoments(found->second) >= kSuspectEnds;
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
  RecordRepeatedPrompt(record, end.prompt);
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
  std::set<uint64_t> explained_by_parts;
  std::set<uint64_t> explained;
  for (const auto& [part, record] : records_) {
    if (record.verdict) {
      for (const ServerEnd& end : record.ends) {
        explained.insert(end.server);
        if (!IsWhole(part)) {
          explained_by_parts.insert(end.server);
        }
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
      // What other prompts with the part did is not explained by one prompt.
      bool one_prompt = CountPrompts(record.ends) < kDifferentPrompts;
      const auto& others = one_prompt ? explained : explained_by_parts;
      std::erase_if(candidate.ends, [&others](const ServerEnd& end) {
        return others.contains(end.server);
      });
    }
    candidate.moments = SelectMoments(candidate.ends, IsWhole(part)).size();
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
  bool is_whole = IsWhole(candidate.record->part);
  double chance = ChanceOf(candidate.ends, is_whole);
  if (candidate.moments >= kEndsOfAnyPart && chance <= kMaxChanceOfAnyPart) {
    return true;
  }
  return !served_before && candidate.moments >= kEndsOfNewPart &&
         (is_whole || CountPrompts(candidate.ends) >= kDifferentPrompts) &&
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

double PromptQuarantine::ChanceOf(const std::vector<ServerEnd>& ends,
                                  bool is_whole) const {
  double rate = CutOffRate(ends);
  double chance = 1;
  for (const ServerEnd& end : SelectMoments(ends, is_whole)) {
    Duration after = std::max<Duration>(end.after, kShortestAfter);
    chance *= 1 - std::exp(-rate * ToMillis(after));
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
