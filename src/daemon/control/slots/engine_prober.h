// Probes ejected engines with small synthetic requests, so that no caller's
// request is delayed to find out whether a straggler is still slow.

#ifndef MANGOYOKE_DAEMON_CONTROL_SLOTS_ENGINE_PROBER_H_
#define MANGOYOKE_DAEMON_CONTROL_SLOTS_ENGINE_PROBER_H_

#include <map>
#include <memory>
#include <string>

#include "daemon/control/control_context.h"
#include "daemon/control/plan/plan_service.h"
#include "daemon/control/slots/allocator_service.h"

namespace mangoyoke {

// Runs on the control thread. Probes prefill servers with one prefill, decode
// servers with a prefill at a healthy server and a decode at the target.
class EngineProber {
 public:
  EngineProber(ControlContext context,
               PlanService& plans,
               AllocatorService& allocators);

  void Start();

 private:
  struct Probe {
    BackendId target;
    BackendId prefill;  // Server that runs the probe's prefill.
    std::string request_id;
    double expected_ms = 0;  // Duration of the probed stage if not slow.
    TimePoint started;
  };

  void Tick();
  void StartProbe(const BackendId& target);
  void Prefill(const Probe& probe);
  void Decode(Probe probe, const std::string& handle);
  // Reports the slowness of the target: measured duration divided by
  // expected duration.
  void Finish(const Probe& probe, bool succeeded);
  // Cancels the probe's request at `backend` and frees what it holds there.
  void Cancel(const Probe& probe, const BackendId& backend);

  ControlContext context_;
  PlanService& plans_;
  AllocatorService& allocators_;
  uint64_t last_id_ = 0;
  std::map<BackendId, Probe> active_probes_;  // By target, at most one each.
  std::unique_ptr<PeriodicTimer> timer_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_DAEMON_CONTROL_SLOTS_ENGINE_PROBER_H_
