// Polls the engines of the cells allocated here for their running requests,
// their cache events and whether they respond. Cancels orphaned requests, which
// no caller waits for, and releases grants whose release message was lost.
//
// Each engine is polled only by the allocator of its cell. The poll interval
// grows with the number of engines, so that the polls stay within a fixed
// budget of bytes per second.

#ifndef MANGOYOKE_DAEMON_CONTROL_SLOTS_ENGINE_WATCHER_H_
#define MANGOYOKE_DAEMON_CONTROL_SLOTS_ENGINE_WATCHER_H_

#include <functional>
#include <map>
#include <memory>

#include "daemon/control/control_context.h"
#include "daemon/control/plan/plan_service.h"
#include "daemon/control/slots/allocator_service.h"

namespace mangoyoke {

// Runs on the control thread.
class EngineWatcher {
 public:
  // Returns whether a request of this instance is still active.
  using IsActive = std::function<bool(const RequestId&)>;

  EngineWatcher(ControlContext context,
                PlanService& plans,
                AllocatorService& allocators,
                IsActive is_active);

  // Starts the polls of engines and the check of old grants.
  void Start();
  // Responds to a peer with those of the listed requests that are active here.
  Json OnActiveRequestsQuery(const Json& message) const;

  // Returns the last reported state of an engine, or null if it has never
  // responded.
  const EngineState* GetState(const BackendId& id) const;

 private:
  struct Engine {
    EngineState state;
    bool has_state = false;  // The engine has responded.
    bool polling = false;
    int failures = 0;  // Consecutive failed polls.
    TimePoint next_poll;
    int64_t last_event = 0;  // Sequence number of the last cache event.
    // When each request was first seen without a live owner or without a client
    // that reads its response.
    std::map<RequestId, TimePoint> orphaned_since;
  };

  void Tick();
  void Poll(const BackendId& id);
  void OnState(const BackendId& id, const ClientResponse& response);
  void PollCacheEvents(const BackendId& id, const std::string& url);
  void OnCacheEvents(const BackendId& id, const Json& response_json);
  // Cancels requests that have been without a live owner and without a reader
  // for the grace period. If only the reader is missing, asks the owner first.
  void FindOrphans(const BackendId& id, Engine& engine);
  // Asks `owner` which of the requests are active, and cancels the others.
  void CancelIfInactive(const BackendId& id,
                        const RequestOwner& owner,
                        const std::vector<RequestId>& ids);
  void CancelRequest(const BackendId& id, const RequestId& request_id);
  // Asks the owners of old grants whether the requests are active, and releases
  // the grants of the others.
  void CheckOldGrants();
  bool IsOwnerAlive(const RequestOwner& owner) const;
  Duration PollInterval() const;

  ControlContext context_;
  PlanService& plans_;
  AllocatorService& allocators_;
  IsActive is_active_;
  std::map<BackendId, Engine> engines_;
  std::unique_ptr<PeriodicTimer> tick_timer_;
  std::unique_ptr<PeriodicTimer> grant_timer_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_DAEMON_CONTROL_SLOTS_ENGINE_WATCHER_H_
