// Implementation of the table of outcomes.

#include "mangoyoke/outcome_table.h"

#include <utility>

namespace mangoyoke {
namespace {

bool IsNotRun(const Outcome& outcome) {
  const auto* error = std::get_if<Error>(&outcome);
  return error != nullptr &&
         InfoOf(error->code).execution == Execution::kNotRun;
}

}  // namespace

OutcomeTable::OutcomeTable(OutcomeTableOptions options) : options_(options) {}

OutcomeTable::Begun OutcomeTable::Begin(const std::string& key,
                                        uint64_t fingerprint,
                                        TimePoint now,
                                        Waiter waiter) {
  Expire(now);
  if (auto it = keys_.find(key); it != keys_.end()) {
    Entry& entry = it->second;
    if (entry.fingerprint != fingerprint) {
      waiter(Error{ErrorCode::kKeyReused, ""});
    } else if (entry.done) {
      waiter(entry.outcome);
    } else {
      entry.waiters.push_back(std::move(waiter));
    }
    return Begun::kPending;
  }
  if (keys_.size() >= options_.max_keys || bytes_ >= options_.max_bytes) {
    waiter(Error{ErrorCode::kOutcomeTableFull, ""});
    return Begun::kPending;
  }
  Entry& entry = keys_[key];
  entry.fingerprint = fingerprint;
  ++running_;
  return Begun::kRun;
}

void OutcomeTable::Complete(const std::string& key,
                            Outcome outcome,
                            TimePoint now) {
  auto it = keys_.find(key);
  if (it == keys_.end() || it->second.done) {
    return;
  }
  --running_;
  std::vector<Waiter> waiters = std::move(it->second.waiters);
  if (IsNotRun(outcome)) {
    keys_.erase(it);
  } else {
    it->second.outcome = outcome;
    it->second.waiters.clear();
    Remember(key, it->second, now);
  }
  for (const Waiter& waiter : waiters) {
    waiter(outcome);
  }
}

void OutcomeTable::Adopt(const std::string& key,
                         uint64_t fingerprint,
                         Outcome outcome,
                         TimePoint now) {
  Expire(now);
  if (keys_.contains(key) || keys_.size() >= options_.max_keys ||
      bytes_ >= options_.max_bytes) {
    return;
  }
  Entry& entry = keys_[key];
  entry.fingerprint = fingerprint;
  entry.outcome = std::move(outcome);
  Remember(key, entry, now);
}

const Outcome* OutcomeTable::Find(const std::string& key) const {
  auto it = keys_.find(key);
  return it != keys_.end() && it->second.done ? &it->second.outcome : nullptr;
}

void OutcomeTable::Expire(TimePoint now) {
  while (!finished_.empty() &&
         now - finished_.front().first >= options_.retention) {
    if (auto it = keys_.find(finished_.front().second); it != keys_.end()) {
      bytes_ -= it->second.bytes;
      keys_.erase(it);
    }
    finished_.pop_front();
  }
}

void OutcomeTable::Remember(const std::string& key,
                            Entry& entry,
                            TimePoint now) {
  entry.done = true;
  entry.bytes = key.size();
  if (const auto* answer = std::get_if<ServiceAnswer>(&entry.outcome)) {
    entry.bytes += answer->body.size();
  }
  bytes_ += entry.bytes;
  finished_.emplace_back(now, key);
}

}  // namespace mangoyoke
