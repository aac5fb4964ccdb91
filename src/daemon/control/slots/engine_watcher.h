// Watches the engines of the cells allocated here: what they run, their cache
// events, whether they answer; and cancels what nobody waits for any more.
//
// Each engine is polled by one instance only. The interval grows with the
// number of engines, so that the traffic stays within a fixed budget.

#ifndef MANGOYOKE_DAEMON_CONTROL_SLOTS_ENGINE_WATCHER_H_
#define MANGOYOKE_DAEMON_CONTROL_SLOTS_ENGINE_WATCHER_H_

#include <functional>
#include <map>
#include <memory>

#include "daemon/control/control_context.h"
#include "daemon/control/plan/plan_service.h"
#include "daemon/control/slots/allocator_service.h"

namespace mangoyoke {

class EngineWatcher {
 public:
  // Tells whether a request of this instance is still open.
  using IsOpen = std::function<bool(const RequestId&)>;

  EngineWatcher(ControlContext context,
                PlanService& plans,
                AllocatorService& allocators,
                IsOpen is_open);

  void Start();
  // Another instance asks which of the listed requests are open here.
  Json OnOpenRequestsQuery(const Json& message) const;

  // The last state of an engine; nothing if it never answered.
  const EngineState* StateOf(const BackendId& id) const;

 private:
  struct Engine {
    EngineState state;
    bool known = false;
    bool polling = false;
    int failures = 0;
    TimePoint next_poll;
    int64_t last_event = 0;
    // When a request was first seen without a live owner or reader.
    std::map<RequestId, TimePoint> suspects;
  };

  void Tick();
  void Poll(const BackendId& id);
  void OnState(const BackendId& id, const ClientResponse& response);
  void PollCacheEvents(const BackendId& id, const std::string& url);
  void OnCacheEvents(const BackendId& id, const Json& answer);
  void FindOrphans(const BackendId& id, Engine& engine);
  void AskOwner(const BackendId& id,
                const RequestOwner& owner,
                const std::vector<RequestId>& ids);
  void CancelRequest(const BackendId& id, const RequestId& request_id);
  void CheckOldGrants();
  bool OwnerAlive(const RequestOwner& owner) const;
  Duration PollInterval() const;

  ControlContext context_;
  PlanService& plans_;
  AllocatorService& allocators_;
  IsOpen is_open_;
  std::map<BackendId, Engine> engines_;
  std::unique_ptr<PeriodicTimer> tick_timer_;
  std::unique_ptr<PeriodicTimer> grant_timer_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_DAEMON_CONTROL_SLOTS_ENGINE_WATCHER_H_
