// Gives out the capacity of one cell of backend servers: a decode slot and
// prefill time together, before prefill begins.
//
// A cell is a group of engines of one model and region, small enough for one
// instance to allocate. All entries ask the same allocator, so that they
// never fill the same server on a lagging report. Requests wait here, before
// prefill: by priority, then fair between client accounts, then by deadline.
// What cannot be served in time is refused early. All state is soft: a new
// allocator starts from what engines list as running and what entries assert
// that they hold. Two allocators for a moment cost a queue at an engine.

#ifndef MANGOYOKE_SLOT_ALLOCATOR_H_
#define MANGOYOKE_SLOT_ALLOCATOR_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "mangoyoke/clock.h"
#include "mangoyoke/plan.h"
#include "mangoyoke/prefix_index.h"
#include "mangoyoke/straggler_detector.h"

namespace mangoyoke {

using RequestId = std::string;

// The entry instance that a request belongs to.
struct RequestOwner {
  InstanceId instance;
  uint64_t incarnation = 0;

  bool operator==(const RequestOwner&) const = default;
  bool operator<(const RequestOwner& other) const {
    return std::tie(instance, incarnation) <
           std::tie(other.instance, other.incarnation);
  }
};

struct SlotRequest {
  RequestId id;
  RequestOwner owner;
  ModelId model;
  AccountId account;
  int64_t account_weight = 1;
  int priority = 1;    // Lower goes first.
  TimePoint deadline;  // Latest useful time of the first token.
  int64_t prompt_tokens = 0;
  std::vector<uint64_t> prefix_hashes;
  // Servers that failed this request; avoided while there are others.
  std::vector<BackendId> exclude;
};

// A prefill server and a decode server, promised together.
struct SlotGrant {
  RequestId id;
  BackendId prefill;
  BackendId decode;
  double predicted_ms = 0;    // Until prefill ends.
  double prefill_ms = 0;      // Of that, the prefill itself.
  int64_t prefix_tokens = 0;  // Expected prefix hit.

  bool operator==(const SlotGrant&) const = default;
};

struct SlotDecision {
  RequestId id;
  Result<SlotGrant> result;
};

// A grant that an entry says it holds, after the allocator changed.
struct OwnedGrant {
  SlotGrant grant;
  RequestOwner owner;
  AccountId account;
  bool prefill_done = false;
};

struct SlotAllocatorOptions {
  size_t max_waiting = 2000;
  // A prefill server gets the next prompt when this much work is left, so
  // that it never idles and never queues much.
  double prefill_lookahead_ms = 40;
  // Decode slots are promised ahead of their expected release while prefill
  // runs, by at most this share of a server's slots. 0 turns this off.
  double max_overcommit_share = 0;
  // A prefill result must be transferred within this time.
  double max_link_wait_ms = 300;
  // Cost of a transfer between availability zones.
  double cross_zone_ms = 5;
  // Until a server's list of running requests came, nothing is given out on
  // it, but at most for this long.
  Duration recovery_timeout = Millis(1000);
};

class SlotAllocator {
 public:
  explicit SlotAllocator(SlotAllocatorOptions options);

  // Starts, updates or stops allocating for a server.
  void SetBackend(const Backend& backend, const Model& model, TimePoint now);
  void RemoveBackend(const BackendId& id);
  bool HasBackend(const BackendId& id) const { return servers_.contains(id); }
  std::vector<BackendId> BackendIds() const;

  // Puts a request in the queue; ProcessQueue decides it.
  void Enqueue(SlotRequest request);
  // The prefill of a grant ended; its prefill server takes the next.
  void OnPrefillDone(const RequestId& id, TimePoint now);
  // Withdraws a waiting request or releases a grant.
  void Release(const RequestId& id, TimePoint now);
  // Grants and refuses what can be decided now.
  std::vector<SlotDecision> ProcessQueue(TimePoint now);

  // An entry asserts a grant it holds from an earlier allocator.
  void RestoreGrant(const OwnedGrant& owned, TimePoint now);
  // The owner is dead: its waiting requests and grants go. Until an engine's
  // next list shows otherwise, their decode slots count as in use.
  void OnOwnerDead(const RequestOwner& owner, TimePoint now);
  // What the engine lists as running.
  void UpdateRunningRequests(const BackendId& id,
                             const std::vector<RequestId>& running,
                             TimePoint now);
  void SetReachable(const BackendId& id, bool reachable);

  // What entries saw of a server: slowness is observed by expected time.
  void ObserveSlowness(const BackendId& id, double slowness, TimePoint now);
  void ObserveFailure(const BackendId& id, TimePoint now);
  PrefixIndex& prefixes() { return prefixes_; }

  // Grants older than `age`, to be checked with their owners.
  std::vector<OwnedGrant> GrantsOlderThan(Duration age, TimePoint now) const;

  // State for the choice between cells.
  struct Summary {
    int64_t free_slots = 0;
    int64_t waiting = 0;

    bool operator==(const Summary&) const = default;
  };
  Summary Summarize(TimePoint now) const;
  size_t grants() const { return grants_.size(); }
  size_t waiting() const { return waiting_.size(); }
  uint64_t ejections() const { return stragglers_.ejections(); }
  StragglerDetector::Health HealthOf(const BackendId& id, TimePoint now) const {
    return stragglers_.HealthOf(id, now);
  }

 private:
  struct Grant {
    SlotGrant slots;
    RequestOwner owner;
    AccountId account;
    TimePoint granted_at;
    bool prefill_done = false;
  };
  struct Server {
    Backend config;
    Model model;
    TimePoint added_at;
    bool running_list_received =
        false;  // The engine's list came since take-over.
    bool reachable = true;
    std::set<RequestId>
        open_grants;  // Grants; of prefill, the unfinished ones.
    std::set<RequestId>
        unknown_requests;       // Running on the engine without a grant.
    TimePoint prefill_free_at;  // Prefill: when the granted work ends.
    TimePoint link_free_at;     // Prefill: when the granted transfers end.
    std::deque<TimePoint> release_times;  // Decode: recent, oldest first.
  };
  // A pair under consideration.
  struct Candidate {
    Server* prefill = nullptr;
    Server* decode = nullptr;
    double cost_ms = 0;
  };

  bool Serves(const Server& server,
              BackendRole role,
              const SlotRequest& request) const;
  bool Usable(const Server& server, TimePoint now) const;
  int64_t FreeSlots(const Server& server, double lead_ms, TimePoint now) const;
  double ReleasesPerSecond(const Server& server, TimePoint now) const;
  double BacklogMs(const Server& server, TimePoint now) const;
  double PrefillMs(const Server& server, const SlotRequest& request) const;
  double TransferMs(const Server& server, const SlotRequest& request) const;
  // Wait for the server's link after prefill ends in `prefilled_ms`.
  double LinkWaitMs(const Server& server,
                    double prefilled_ms,
                    TimePoint now) const;
  // Time that a request takes from its prefill server: prefill and transfer
  // of different requests overlap, so the longer one counts.
  double WorkMs(const SlotRequest& request) const;
  bool CanAcceptPrefill(const Server& server,
                        const SlotRequest& request,
                        TimePoint now) const;
  std::vector<BackendId> PoolOf(const Server& server) const;
  // Whether servers are left besides the excluded ones. If not, the excluded
  // ones are better than none.
  bool HasNonExcludedServer(const SlotRequest& request,
                            BackendRole role,
                            TimePoint now) const;
  Candidate Choose(const SlotRequest& request, TimePoint now);
  std::optional<SlotGrant> TryGrant(const SlotRequest& request, TimePoint now);
  std::optional<Error> RefusalReason(const SlotRequest& request,
                                     double ahead_ms,
                                     size_t ahead,
                                     TimePoint now) const;
  double PredictedFirstTokenMs(const SlotRequest& request,
                               double ahead_ms,
                               size_t ahead,
                               TimePoint now) const;
  void AddGrant(Grant grant, TimePoint now);
  void EndPrefill(Grant& grant, TimePoint now);
  std::vector<RequestId> QueueOrder() const;

  SlotAllocatorOptions options_;
  std::map<BackendId, Server> servers_;
  std::map<RequestId, Grant> grants_;
  std::map<RequestId, SlotRequest> waiting_;
  std::map<AccountId, int64_t> account_grants_;
  StragglerDetector stragglers_;
  PrefixIndex prefixes_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_SLOT_ALLOCATOR_H_
