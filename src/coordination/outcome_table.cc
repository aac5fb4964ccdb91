// Lookup, storage and expiry of outcomes by idempotency key.

#include "mangoyoke/outcome_table.h"

#include <utility>

namespace mangoyoke {
namespace {

// True if the outcome promises that no backend server executed the request.
bool IsNotExecuted(const Outcome& outcome) {
  const auto* error = std::get_if<Error>(&outcome);
  return error != nullptr &&
         GetErrorInfo(error->code).execution == Execution::kNotExecuted;
}

}  // namespace

OutcomeTable::OutcomeTable(OutcomeTableOptions options) : options_(options) {}

OutcomeTable::BeginResult OutcomeTable::Begin(const std::string& key,
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
    return BeginResult::kPending;
  }
  if (keys_.size() >= options_.max_keys || bytes_ >= options_.max_bytes) {
    waiter(Error{ErrorCode::kOutcomeTableFull, ""});
    return BeginResult::kPending;
  }
  Entry& entry = keys_[key];
  entry.fingerprint = fingerprint;
  ++running_;
  return BeginResult::kExecute;
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
  if (IsNotExecuted(outcome)) {
    keys_.erase(it);
  } else {
    it->second.outcome = outcome;
    it->second.waiters.clear();
    StoreOutcome(key, it->second, now);
  }
  for (const Waiter& waiter : waiters) {
    waiter(outcome);
  }
}

void OutcomeTable::AddReplica(const std::string& key,
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
  StoreOutcome(key, entry, now);
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

void OutcomeTable::StoreOutcome(const std::string& key,
                                Entry& entry,
                                TimePoint now) {
  entry.done = true;
  entry.bytes = key.size();
  if (const auto* response = std::get_if<ServiceResponse>(&entry.outcome)) {
    entry.bytes += response->body.size();
  }
  bytes_ += entry.bytes;
  finished_.emplace_back(now, key);
}

}  // namespace mangoyoke
