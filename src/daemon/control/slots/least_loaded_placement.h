// Baseline placement, for comparison only: each instance polls the load of all
// engines and picks the least loaded ones without a reservation. The polled
// load lags behind the actual one.

#ifndef MANGOYOKE_DAEMON_CONTROL_SLOTS_LEAST_LOADED_PLACEMENT_H_
#define MANGOYOKE_DAEMON_CONTROL_SLOTS_LEAST_LOADED_PLACEMENT_H_

#include <map>
#include <memory>
#include <random>

#include "daemon/control/control_context.h"
#include "daemon/control/plan/plan_service.h"
#include "daemon/control/slots/placement_policy.h"

namespace mangoyoke {

class LeastLoadedPlacement : public PlacementPolicy {
 public:
  LeastLoadedPlacement(ControlContext context, PlanService& plans);

  void Reserve(SlotRequest request, GrantCallback callback) override;
  void OnPrefillDone(const RequestId&) override {}
  void Release(const RequestId&) override {}
  void ReportObservation(const RequestId&, const BackendObservation&) override {
  }
  void OnTopologyChange() override {}

 private:
  void Poll();
  // Returns the least loaded server of `role` for the request's model, chosen
  // at random among equals; empty if there is none.
  BackendId FindLeastLoaded(const SlotRequest& request, BackendRole role);

  ControlContext context_;
  PlanService& plans_;
  std::map<BackendId, int64_t> loads_;  // Reported running and queued requests.
  std::minstd_rand random_;
  std::unique_ptr<PeriodicTimer> timer_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_DAEMON_CONTROL_SLOTS_LEAST_LOADED_PLACEMENT_H_
