// Allocates the capacity of one cell of backend servers: each request is
// granted prefill time and a decode slot together, before its prefill begins.
//
// - A cell is a group of model servers of one model and region that is small
//   enough for one instance to allocate (see cell_map.h). All instances ask the
//   same allocator, so that they don't overfill a server because of lagging
//   load reports.
// - Requests wait in the admission queue of the allocator, before prefill. They
//   are ordered by priority, then by fair share of the client accounts, then by
//   deadline. Requests that cannot be served in time are refused early.
// - All state is soft. A new allocator rebuilds it from the requests that the
//   servers list as active and the grants that instances report to hold.
// - If two instances allocate a cell for a moment, the only harm is that some
//   requests queue at a server.

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

// The incarnation of the instance that serves a request and holds its grant.
struct RequestOwner {
  InstanceId instance;
  uint64_t incarnation = 0;

  bool operator==(const RequestOwner&) const = default;
  bool operator<(const RequestOwner& other) const {
    return std::tie(instance, incarnation) <
           std::tie(other.instance, other.incarnation);
  }
};

// A request for a grant.
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
  // Servers that failed this request. Used only if there are no others.
  std::vector<BackendId> exclude;
};

// A prefill server and a slot of a decode server, reserved for a request.
struct SlotGrant {
  RequestId id;
  BackendId prefill;
  BackendId decode;
  double predicted_ms = 0;    // Predicted, until prefill ends.
  double prefill_ms = 0;      // Part of it: executing the prefill.
  int64_t prefix_tokens = 0;  // Expected prefix hit.

  bool operator==(const SlotGrant&) const = default;
};

// A grant for a request, or the error with which it is refused.
struct SlotDecision {
  RequestId id;
  Result<SlotGrant> result;
};

// A grant with its owner, as instances report it to a new allocator.
struct OwnedGrant {
  SlotGrant grant;
  RequestOwner owner;
  AccountId account;
  bool prefill_done = false;
};

// Limits and cost estimates of a SlotAllocator.
struct SlotAllocatorOptions {
  size_t max_waiting = 2000;  // Requests in the admission queue.
  // A prefill server is granted the next prompt when at most this much prefill
  // time is left, so that it does not idle and has a short queue.
  double prefill_lookahead_ms = 40;
  // Largest share of a decode server's slots that is granted although in use,
  // because the slots are expected to be released before the prefill ends. 0
  // disables overcommit.
  double max_overcommit_share = 0;
  // Longest predicted wait of a prefill result for the KV link of its server.
  double max_link_wait_ms = 300;
  // Added cost of a pair of servers in different availability zones.
  double cross_zone_ms = 5;
  // Decode slots of a new server are not granted until it has listed its active
  // requests, but at most for this time.
  Duration recovery_timeout = Millis(1000);
};

// The slot allocator of one cell. Not thread-safe. Does no I/O: the host
// reports events and carries out the decisions of ProcessQueue.
class SlotAllocator {
 public:
  explicit SlotAllocator(SlotAllocatorOptions options);

  // Adds a server or updates its configuration.
  void SetBackend(const Backend& backend, const Model& model, TimePoint now);
  // Removes a server, with its prefixes and health.
  void RemoveBackend(const BackendId& id);
  bool HasBackend(const BackendId& id) const { return servers_.contains(id); }
  std::vector<BackendId> BackendIds() const;

  // Adds a request to the admission queue. ProcessQueue grants or refuses it.
  void Enqueue(SlotRequest request);
  // Records that the prefill of a grant ended, so that its server can take the
  // next one.
  void OnPrefillDone(const RequestId& id, TimePoint now);
  // Removes a waiting request from the queue or releases a grant.
  void Release(const RequestId& id, TimePoint now);
  // Returns the requests that can be granted or must be refused now, and
  // removes them from the queue.
  std::vector<SlotDecision> ProcessQueue(TimePoint now);

  // Adds a grant that its owner holds from an earlier allocator. Ignored if
  // known.
  void RestoreGrant(const OwnedGrant& owned, TimePoint now);
  // Removes the waiting requests and grants of a dead owner. Their decode slots
  // still count as in use until the next list of the server shows otherwise.
  void OnOwnerDead(const RequestOwner& owner, TimePoint now);
  // Sets the requests that the server lists as active.
  void UpdateRunningRequests(const BackendId& id,
                             const std::vector<RequestId>& running,
                             TimePoint now);
  // Sets whether the server is reachable. Unreachable servers get no grants.
  void SetReachable(const BackendId& id, bool reachable);

  // Record what instances observed of a server (see StragglerDetector).
  // Slowness is the observed time divided by the expected time.
  void ObserveSlowness(const BackendId& id, double slowness, TimePoint now);
  void ObserveFailure(const BackendId& id, TimePoint now);
  // The index of the prompt prefixes that the prefill servers hold.
  PrefixIndex& prefixes() { return prefixes_; }

  // Returns the grants that are at least `age` old, for checking with their
  // owners whether they are still held.
  std::vector<OwnedGrant> GrantsOlderThan(Duration age, TimePoint now) const;

  // The load of the cell, by which instances choose between cells.
  struct Summary {
    int64_t free_slots = 0;
    int64_t waiting = 0;

    bool operator==(const Summary&) const = default;
  };
  Summary Summarize(TimePoint now) const;
  // Numbers of grants and of waiting requests.
  size_t grants() const { return grants_.size(); }
  size_t waiting() const { return waiting_.size(); }
  uint64_t ejections() const { return stragglers_.ejections(); }
  StragglerDetector::Health HealthOf(const BackendId& id, TimePoint now) const {
    return stragglers_.HealthOf(id, now);
  }

 private:
  // A grant in effect.
  struct Grant {
    SlotGrant slots;
    RequestOwner owner;
    AccountId account;
    TimePoint granted_at;
    bool prefill_done = false;
  };
  // A backend server of the cell.
  struct Server {
    Backend config;
    Model model;
    TimePoint added_at;
    // The server has listed its active requests since it was added.
    bool running_list_received = false;
    bool reachable = true;
    // Grants on the server. On a prefill server only those with open prefills.
    std::set<RequestId> open_grants;
    // Active on the server, but without a grant.
    std::set<RequestId> unknown_requests;
    TimePoint prefill_free_at;  // Prefill: predicted end of granted prefills.
    TimePoint link_free_at;     // Prefill: predicted end of their transfers.
    std::deque<TimePoint> release_times;  // Decode: recent, oldest first.
  };
  // A possible pair of servers for a request.
  struct Candidate {
    Server* prefill = nullptr;
    Server* decode = nullptr;
    double cost_ms = 0;
  };

  // True if the server has this role and the request's model, is reachable and
  // does not drain.
  bool Serves(const Server& server,
              BackendRole role,
              const SlotRequest& request) const;
  // True if the server is reachable, does not drain and is not ejected.
  bool Usable(const Server& server, TimePoint now) const;
  // Free slots of a decode server, plus overcommit for a prefill that ends in
  // `prefill_end_ms`. Negative if more requests are active than it has slots.
  int64_t FreeSlots(const Server& server,
                    double prefill_end_ms,
                    TimePoint now) const;
  // Recent rate of slot releases; 0 if there are fewer than two.
  double ReleasesPerSecond(const Server& server, TimePoint now) const;
  // Predicted time until the granted prefills of the server end.
  double BacklogMs(const Server& server, TimePoint now) const;
  // Predicted time of the prefill, without tokens of a prefix hit.
  double PrefillMs(const Server& server, const SlotRequest& request) const;
  // Predicted time of the transfer of the KV cache over the server's link.
  double TransferMs(const Server& server, const SlotRequest& request) const;
  // Wait for the server's KV link after a prefill that ends in
  // `prefill_end_ms`.
  double LinkWaitMs(const Server& server,
                    double prefill_end_ms,
                    TimePoint now) const;
  // Time for which a request occupies a prefill server, at the best of them.
  // Prefill and transfer of different requests overlap, so the longer one
  // counts.
  double PrefillOccupancyMs(const SlotRequest& request) const;
  // True if the server can be granted another prefill now.
  bool CanAcceptPrefill(const Server& server,
                        const SlotRequest& request,
                        TimePoint now) const;
  // Ids of the servers with the same role and model.
  std::vector<BackendId> PoolOf(const Server& server) const;
  // True if a usable server is not excluded by the request. If there is none,
  // the excluded servers are used.
  bool HasNonExcludedServer(const SlotRequest& request,
                            BackendRole role,
                            TimePoint now) const;
  // Returns the pair with the lowest cost; null pointers if there is none.
  Candidate ChooseServers(const SlotRequest& request, TimePoint now);
  // Grants the request if a pair of servers is free.
  std::optional<SlotGrant> TryGrant(const SlotRequest& request, TimePoint now);
  // Returns the error with which to refuse a request that cannot be granted
  // now, or nothing if it is to wait. `requests_ahead` and `prefill_ahead_ms`:
  // number and prefill time of the requests before it in the queue.
  std::optional<Error> RefusalReason(const SlotRequest& request,
                                     double prefill_ahead_ms,
                                     size_t requests_ahead,
                                     TimePoint now) const;
  // Predicted time until the first token; 0 if no prefill server is usable.
  double PredictedFirstTokenMs(const SlotRequest& request,
                               double prefill_ahead_ms,
                               size_t requests_ahead,
                               TimePoint now) const;
  // Charges the grant to its servers and its account.
  void AddGrant(Grant grant, TimePoint now);
  // Marks the prefill as done and corrects the backlog of its server.
  void EndPrefill(Grant& grant, TimePoint now);
  // Ids of the waiting requests in the order in which they are to be granted.
  std::vector<RequestId> QueueOrder() const;

  SlotAllocatorOptions options_;
  std::map<BackendId, Server> servers_;
  std::map<RequestId, Grant> grants_;
  std::map<RequestId, SlotRequest> waiting_;
  std::map<AccountId, int64_t> account_grants_;  // Number of grants.
  StragglerDetector stragglers_;
  PrefixIndex prefixes_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_SLOT_ALLOCATOR_H_
