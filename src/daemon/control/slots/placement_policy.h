// Interface of the policies that choose a prefill and a decode server for a
// request.

#ifndef MANGOYOKE_DAEMON_CONTROL_SLOTS_PLACEMENT_POLICY_H_
#define MANGOYOKE_DAEMON_CONTROL_SLOTS_PLACEMENT_POLICY_H_

#include <functional>
#include <vector>

#include "daemon/control_interface.h"
#include "mangoyoke/slot_allocator.h"

namespace mangoyoke {

// All methods and callbacks run on the control thread.
class PlacementPolicy {
 public:
  using GrantCallback = std::function<void(Result<SlotGrant>)>;

  virtual ~PlacementPolicy() = default;

  // Chooses servers for a request. The callback gets the grant, or an error.
  virtual void Reserve(SlotRequest request, GrantCallback callback) = 0;
  // The prefill of a granted request has ended.
  virtual void OnPrefillDone(const RequestId& id) = 0;
  // Withdraws a waiting request or releases its grant.
  virtual void Release(const RequestId& id) = 0;
  // Reports how fast a server of the request's grant was, or that it failed.
  virtual void ReportObservation(const RequestId& id,
                                 const BackendObservation& observation) = 0;
  // The membership or the plan has changed.
  virtual void OnTopologyChange() = 0;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_DAEMON_CONTROL_SLOTS_PLACEMENT_POLICY_H_
