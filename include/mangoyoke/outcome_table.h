// Keeps the outcomes of non-idempotent requests by their idempotency key, so
// that the key's owner executes a request at most once and every retry gets the
// same outcome.

#ifndef MANGOYOKE_OUTCOME_TABLE_H_
#define MANGOYOKE_OUTCOME_TABLE_H_

#include <cstdint>
#include <functional>
#include <list>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "mangoyoke/clock.h"
#include "mangoyoke/error.h"

namespace mangoyoke {

// The complete response of a plain service.
struct ServiceResponse {
  int status = 0;
  std::string content_type;
  std::string body;

  bool operator==(const ServiceResponse&) const = default;
};

// The response, or the error that the request ended with.
using Outcome = Result<ServiceResponse>;

// Limits of an OutcomeTable.
struct OutcomeTableOptions {
  size_t max_keys = 50'000;
  size_t max_bytes = 16 << 20;  // Of finished keys and their bodies.
  // Time for which finished keys are kept. Must exceed the TTL of tickets plus
  // the largest clock skew between instances.
  Duration retention = Seconds(900);
};

// A bounded table of active and finished keys. Not thread-safe.
class OutcomeTable {
 public:
  // Receives the outcome of a request.
  using Waiter = std::function<void(const Outcome&)>;

  explicit OutcomeTable(OutcomeTableOptions options);

  // What the code that called Begin must do next.
  enum class BeginResult {
    kExecute,  // Execute the request, then call Complete.
    kPending,  // Nothing: `waiter` was or will be called.
  };

  // Registers `key`, or waits for the request already registered under it.
  // `fingerprint` is a hash of the request's content. `waiter` gets the
  // outcome, at once if it is known, or one of the errors kKeyReused (the key
  // belongs to a request with another fingerprint) and kOutcomeTableFull. On
  // kExecute the waiter is neither called nor kept.
  BeginResult Begin(const std::string& key,
                    uint64_t fingerprint,
                    TimePoint now,
                    Waiter waiter);

  // Sets the outcome of an active key and calls all waiters. An error that
  // means "not executed" deletes the key, so that a retry may execute it; all
  // other outcomes are kept. Does nothing for keys that are unknown or
  // finished.
  void Complete(const std::string& key, Outcome outcome, TimePoint now);

  // Stores the outcome of a key of another owner, received as a replica.
  // Ignored if the key is known or the table is full.
  void AddReplica(const std::string& key,
                  uint64_t fingerprint,
                  Outcome outcome,
                  TimePoint now);

  // Returns the outcome of a finished or replicated key, else nullptr.
  const Outcome* Find(const std::string& key) const;
  bool Contains(const std::string& key) const { return keys_.contains(key); }

  // Deletes the keys that finished at least `retention` ago.
  void Expire(TimePoint now);

  // Number of keys, active and finished.
  size_t size() const { return keys_.size(); }
  // Number of active keys.
  size_t running() const { return running_; }

 private:
  struct Entry {
    uint64_t fingerprint = 0;
    bool done = false;
    Outcome outcome;
    std::vector<Waiter> waiters;  // Empty when done.
    size_t bytes = 0;
  };

  // Marks `entry`, whose outcome is set, as finished.
  void StoreOutcome(const std::string& key, Entry& entry, TimePoint now);

  OutcomeTableOptions options_;
  std::unordered_map<std::string, Entry> keys_;
  // Finished keys with the time at which they finished, oldest first.
  std::list<std::pair<TimePoint, std::string>> finished_;
  size_t running_ = 0;  // Active keys.
  size_t bytes_ = 0;    // Of finished keys.
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_OUTCOME_TABLE_H_
