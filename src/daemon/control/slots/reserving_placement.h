// Placement by promise: asks the allocator of a cell for a prefill and a
// decode server together, before any work begins.

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

  // Tells the allocators again what this instance holds.
  void ReportHeldGrants();
  // Whether this instance still has the request open.
  bool IsOpen(const RequestId& id) const { return open_.contains(id); }

 private:
  // A request from Reserve until Release.
  struct Open {
    SlotRequest request;
    GrantCallback callback;     // Empty once called.
    std::vector<CellId> cells;  // To be tried, current one first.
    size_t attempt = 0;         // Allocators tried for the current cell.
    InstanceId allocator;
    bool granted = false;
    bool prefill_done = false;
    SlotGrant grant;
  };

  std::vector<CellId> CellsFor(const SlotRequest& request);
  void Ask(const RequestId& id);
  void OnReply(const RequestId& id,
               const InstanceId& allocator,
               const AllocatorService::Reply& reply);
  void TryNextAllocator(Open& open);
  void Finish(Open& open, Result<SlotGrant> result);
  void Tell(const Open& open, const std::string& path, Json message);
  void ReportHeldGrant(Open& open, const InstanceId& allocator);
  InstanceId AllocatorOf(const CellId& cell, size_t attempt) const;

  ControlContext context_;
  PlanService& plans_;
  AllocatorService& allocators_;
  std::shared_ptr<const Plan> plan_;  // Of cells_.
  std::map<CellId, Cell> cells_;
  std::map<CellId, SlotAllocator::Summary> summaries_;
  std::map<RequestId, Open> open_;
  std::minstd_rand random_;
};

// Serves the messages that Tell and Ask send, for other instances' entries.
// Returns false if `path` is none of them.
bool HandleSlotMessage(AllocatorService& allocators,
                       const std::string& path,
                       const Json& message,
                       const PeerResponder& respond);

}  // namespace mangoyoke

#endif  // MANGOYOKE_DAEMON_CONTROL_SLOTS_RESERVING_PLACEMENT_H_
