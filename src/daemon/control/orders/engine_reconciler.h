// Sends engines the orders that bring them to the model, model version and role
// of the active plan.
//
// An order requires a lease on the engine. The lease is a row in the table
// service with its holder, its expiry and a fencing token that increases with
// each new holder:
// - The holder checks its own clock against the lease before each order.
// - Engines that check the fencing token reject a delayed order of an earlier
//   holder.
// - For engines that do not check it, a new holder waits until the previous
//   lease has expired and the longest order under it has ended, then sends the
//   order. The next polled engine state shows whether it took effect.
// - While the store is unavailable, no lease is renewed and no order is sent.

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

// Runs on the control thread.
class EngineReconciler {
 public:
  EngineReconciler(ControlContext context,
                   PlanService& plans,
                   AllocatorService& allocators,
                   EngineWatcher& watcher);

  // Starts to compare the engines of the cells allocated here with the plan.
  void Start();

 private:
  struct Lease {
    uint64_t fencing_token = 0;
    int64_t row_version = 0;
    TimePoint valid_until;   // By this process's steady clock.
    TimePoint usable_after;  // End of the wait for the previous holder.
    bool busy = false;       // A store call or an order is pending.
  };

  void Tick();
  // Whether the engine's last reported state differs from the plan. False if
  // the engine has never responded.
  bool NeedsOrder(const BackendId& id, const Backend& desired) const;
  // Reads the engine's lease row; OnLeaseRow then takes or renews the lease.
  void AcquireLease(const BackendId& id);
  void OnLeaseRow(const BackendId& id, const ClientResponse& response);
  // Writes the lease row. `other_holder`: the previous holder was another
  // instance or incarnation.
  void WriteLease(const BackendId& id,
                  uint64_t fencing_token,
                  int64_t expected_version,
                  bool other_holder);
  // Sends the order if the lease is still valid by this process's clock.
  void SendOrder(const BackendId& id);

  ControlContext context_;
  PlanService& plans_;
  AllocatorService& allocators_;
  EngineWatcher& watcher_;
  std::map<BackendId, Lease> leases_;
  std::unique_ptr<PeriodicTimer> timer_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_DAEMON_CONTROL_ORDERS_ENGINE_RECONCILER_H_
