// Probes ejected engines with small requests of its own, so that no caller's
// request pays for finding out that a straggler is still slow.

#ifndef MANGOYOKE_DAEMON_CONTROL_SLOTS_ENGINE_PROBER_H_
#define MANGOYOKE_DAEMON_CONTROL_SLOTS_ENGINE_PROBER_H_

#include <map>
#include <memory>
#include <string>

#include "daemon/control/control_context.h"
#include "daemon/control/plan/plan_service.h"
#include "daemon/control/slots/allocator_service.h"

namespace mangoyoke {

class EngineProber {
 public:
  EngineProber(ControlContext context,
               PlanService& plans,
               AllocatorService& allocators);

  void Start();

 private:
  struct Probe {
    BackendId target;
    BackendId prefill;  // Where the probe's prompt is read.
    std::string request_id;
    double expected_ms = 0;
    TimePoint started;
  };

  void Tick();
  void StartProbe(const BackendId& target);
  void Prefill(const Probe& probe);
  void Decode(Probe probe, const std::string& handle);
  void Finish(const Probe& probe, bool succeeded);
  void Cancel(const Probe& probe, const BackendId& backend);

  ControlContext context_;
  PlanService& plans_;
  AllocatorService& allocators_;
  uint64_t last_id_ = 0;
  std::map<BackendId, Probe> running_;  // By target.
  std::unique_ptr<PeriodicTimer> timer_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_DAEMON_CONTROL_SLOTS_ENGINE_PROBER_H_
