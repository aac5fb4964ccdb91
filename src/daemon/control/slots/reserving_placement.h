// Placement by reservation: reserves a prefill and a decode server together at
// the allocator of a cell, before any work on the request begins.

#ifndef MANGOYOKE_DAEMON_CONTROL_SLOTS_RESERVING_PLACEMENT_H_
#define MANGOYOKE_DAEMON_CONTROL_SLOTS_RESERVING_PLACEMENT_H_

#include <map>
#include <random>
#include <string>
#include <vector>

#include "daemon/control/control_context.h"
#include "daemon/control/plan/plan_service.h"
#include "daemon/control/slots/allocator_service.h"
#include "daemon/control/slots/placement_policy.h"

namespace mangoyoke {

class ReservingPlacement : public PlacementPolicy {
 public:
  ReservingPlacement(ControlContext context,
                     PlanService& plans,
                     AllocatorService& allocators);

  void Reserve(SlotRequest request, GrantCallback callback) override;
  void OnPrefillDone(const RequestId& id) override;
  void Release(const RequestId& id) override;
  void ReportObservation(const RequestId& id,
                         const BackendObservation& observation) override;
  void OnTopologyChange() override;

  // Reports all grants that this instance holds to their allocators again.
  void ReportHeldGrants();
  // Returns whether the request is waiting for a grant or holds one here.
  bool IsActive(const RequestId& id) const {
    return active_requests_.contains(id);
  }

 private:
  // A request between Reserve and its Release or failure.
  struct ActiveRequest {
    SlotRequest request;
    GrantCallback callback;     // Empty once called.
    std::vector<CellId> cells;  // Still to be tried, the current one first.
    size_t allocator_rank = 0;  // Rank of the allocator in the current cell.
    InstanceId allocator;
    bool granted = false;
    bool prefill_done = false;
    SlotGrant grant;
  };

  // Returns the cells to try: the less loaded of two random cells in this
  // region first, the other one next, then the cells of other regions.
  std::vector<CellId> CellsFor(const SlotRequest& request);
  // Sends the reservation to the allocator of the current cell and rank.
  void RequestGrant(const RequestId& id);
  void OnReply(const RequestId& id,
               const InstanceId& allocator,
               const AllocatorService::Reply& reply);
  // Continues with the cell's next allocator after one was unreachable.
  void TryNextAllocator(ActiveRequest& active);
  // Calls the request's callback; forgets the request if it was not granted.
  void Finish(ActiveRequest& active, Result<SlotGrant> result);
  // Sends a message about the request to its allocator, which may be this
  // instance. Failures are ignored.
  void SendToAllocator(const ActiveRequest& active,
                       const std::string& path,
                       Json message);
  // Reports a held grant to `allocator`, which becomes the request's allocator.
  void ReportHeldGrant(ActiveRequest& active, const InstanceId& allocator);
  // Returns the instance that ranks at position `allocator_rank` (0 is the
  // preferred one) as allocator of the cell, or an empty id.
  InstanceId AllocatorOf(const CellId& cell, size_t allocator_rank) const;

  ControlContext context_;
  PlanService& plans_;
  AllocatorService& allocators_;
  std::shared_ptr<const Plan> plan_;  // The plan that cells_ was built from.
  std::map<CellId, Cell> cells_;
  // Load of each cell as last reported by its allocator.
  std::map<CellId, SlotAllocator::Summary> summaries_;
  std::map<RequestId, ActiveRequest> active_requests_;
  std::minstd_rand random_;
};

// Handles the slot messages that peers' ReservingPlacements send. Returns false
// if `path` is not the path of a slot message.
bool HandleSlotMessage(AllocatorService& allocators,
                       const std::string& path,
                       const Json& message,
                       const PeerResponder& respond);

}  // namespace mangoyoke

#endif  // MANGOYOKE_DAEMON_CONTROL_SLOTS_RESERVING_PLACEMENT_H_
