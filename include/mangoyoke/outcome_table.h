// Remembers what became of each non-idempotent key, so that a key runs at
// most once in its owner and every retry gets the one result.

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

// A plain service's whole answer.
struct ServiceResponse {
  int status = 0;
  std::string content_type;
  std::string body;

  bool operator==(const ServiceResponse&) const = default;
};

using Outcome = Result<ServiceResponse>;

struct OutcomeTableOptions {
  size_t max_keys = 50'000;
  size_t max_bytes = 16 << 20;  // Of remembered answers and keys.
  // Finished keys are kept this long. Must exceed the life of tickets plus
  // the largest difference between clocks.
  Duration retention = Seconds(900);
};

class OutcomeTable {
 public:
  using Waiter = std::function<void(const Outcome&)>;

  explicit OutcomeTable(OutcomeTableOptions options);

  // What the caller of Begin must do.
  enum class BeginResult {
    kExecute,  // Run it now, then call Complete.
    kPending,  // `waiter` was or will be called.
  };

  // Starts or joins `key`. `fingerprint` identifies the request's content; a
  // key that comes back with another one is refused. `waiter` gets the
  // outcome, at once if it is known; it is not called on kExecute.
  BeginResult Begin(const std::string& key,
                    uint64_t fingerprint,
                    TimePoint now,
                    Waiter waiter);

  // Ends a running key and calls all waiters. An outcome that says "not run"
  // frees the key, so that a retry may run it; all others are remembered.
  void Complete(const std::string& key, Outcome outcome, TimePoint now);

  // Stores the outcome of a key of another owner, received as a replica.
  void AddReplica(const std::string& key,
                  uint64_t fingerprint,
                  Outcome outcome,
                  TimePoint now);

  // The known outcome, if the key finished here or was adopted.
  const Outcome* Find(const std::string& key) const;
  bool Contains(const std::string& key) const { return keys_.contains(key); }

  // Drops keys that finished longer ago than the retention.
  void Expire(TimePoint now);

  size_t size() const { return keys_.size(); }
  size_t running() const { return running_; }

 private:
  struct Entry {
    uint64_t fingerprint = 0;
    bool done = false;
    Outcome outcome;
    std::vector<Waiter> waiters;  // Empty once done.
    size_t bytes = 0;
  };

  void StoreOutcome(const std::string& key, Entry& entry, TimePoint now);

  OutcomeTableOptions options_;
  std::unordered_map<std::string, Entry> keys_;
  // Finished keys with the time they finished, oldest first.
  std::list<std::pair<TimePoint, std::string>> finished_;
  size_t running_ = 0;
  size_t bytes_ = 0;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_OUTCOME_TABLE_H_
