// How an entry finds a prefill and a decode server for a request.

#ifndef MANGOYOKE_DAEMON_CONTROL_SLOTS_PLACEMENT_POLICY_H_
#define MANGOYOKE_DAEMON_CONTROL_SLOTS_PLACEMENT_POLICY_H_

#include <functional>
#include <vector>

#include "daemon/control_interface.h"
#include "mangoyoke/slot_allocator.h"

namespace mangoyoke {

// All calls and callbacks are on the control thread.
class PlacementPolicy {
 public:
  using GrantCallback = std::function<void(Result<SlotGrant>)>;

  virtual ~PlacementPolicy() = default;

  virtual void Reserve(SlotRequest request, GrantCallback callback) = 0;
  virtual void OnPrefillDone(const RequestId& id) = 0;
  // Withdraws a waiting request or releases its grant.
  virtual void Release(const RequestId& id) = 0;
  virtual void ReportObservation(const RequestId& id,
                                 const BackendObservation& observation) = 0;
  // Membership or plan changed.
  virtual void OnTopologyChange() = 0;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_DAEMON_CONTROL_SLOTS_PLACEMENT_POLICY_H_
