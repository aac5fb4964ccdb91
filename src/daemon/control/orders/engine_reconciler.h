// Gives engines the orders that bring them to the plan (model version, role).
//
// An order needs a lease on the engine: a row in the table service with its
// holder, expiry and a fencing number that rises with each holder. The holder
// checks its own clock before each order. Engines that check the number
// refuse a late order of an earlier holder. For engines that do not, a new
// holder waits out the old lease and its longest order, then gives the order
// and reads it back. While the store is out, no lease is renewed and no order
// is given.

#ifndef MANGOYOKE_DAEMON_CONTROL_ORDERS_ENGINE_RECONCILER_H_
#define MANGOYOKE_DAEMON_CONTROL_ORDERS_ENGINE_RECONCILER_H_

#include <map>
#include <memory>
#include <string>

#include "daemon/control/control_context.h"
#include "daemon/control/plan/plan_service.h"
#include "daemon/control/slots/allocator_service.h"
#include "daemon/control/slots/engine_watcher.h"

namespace mangoyoke {

class EngineReconciler {
 public:
  EngineReconciler(ControlContext context,
                   PlanService& plans,
                   AllocatorService& allocators,
                   EngineWatcher& watcher);

  void Start();

 private:
  struct Lease {
    uint64_t fencing = 0;
    int64_t row_version = 0;
    TimePoint valid_until;   // By this process's steady clock.
    TimePoint usable_after;  // Waiting out the holder before.
    bool busy = false;       // A store call or order is under way.
  };

  void Tick();
  bool NeedsOrder(const BackendId& id, const Backend& wanted) const;
  void Acquire(const BackendId& id);
  void OnRow(const BackendId& id, const ClientResponse& response);
  void WriteLease(const BackendId& id,
                  uint64_t fencing,
                  int64_t expected_version,
                  bool other_holder);
  void GiveOrder(const BackendId& id);

  ControlContext context_;
  PlanService& plans_;
  AllocatorService& allocators_;
  EngineWatcher& watcher_;
  std::map<BackendId, Lease> leases_;
  std::unique_ptr<PeriodicTimer> timer_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_DAEMON_CONTROL_ORDERS_ENGINE_RECONCILER_H_
