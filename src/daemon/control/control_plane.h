// The control thread: owns all control state and its services, and gives
// traffic threads access to them.

#ifndef MANGOYOKE_DAEMON_CONTROL_CONTROL_PLANE_H_
#define MANGOYOKE_DAEMON_CONTROL_CONTROL_PLANE_H_

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "daemon/control/calls/at_most_once_service.h"
#include "daemon/control/control_context.h"
#include "daemon/control/orders/engine_reconciler.h"
#include "daemon/control/plan/plan_service.h"
#include "daemon/control/slots/allocator_service.h"
#include "daemon/control/slots/engine_prober.h"
#include "daemon/control/slots/engine_watcher.h"
#include "daemon/control/slots/least_loaded_placement.h"
#include "daemon/control/slots/reserving_placement.h"
#include "daemon/control_interface.h"
#include "membership/membership_service.h"

namespace mangoyoke {

class ControlPlane : public ControlInterface, public PeerHandler {
 public:
  // `io` is the control thread's loop. All references outlive the object.
  ControlPlane(boost::asio::io_context& io,
               const Settings& settings,
               Metrics& metrics);
  ~ControlPlane() override;

  // Registers where service calls run. Before Start.
  void AddRunner(boost::asio::io_context& loop, Runner runner);
  // Listens for other instances and starts all services.
  Result<Unit> Start();

  // On the control thread from here on.
  void StartDraining();
  bool draining() const { return draining_; }
  PlanService& plans() { return *plans_; }
  Json DescribeInstance() const;
  // Asks all usable members; the callback gets one object for each.
  void DescribeCluster(std::function<void(Json)> callback);
  // Calls and keyed runs that are not finished.
  size_t OpenCalls() const { return at_most_once_->running(); }

  // ControlInterface.
  std::shared_ptr<const Plan> CurrentPlan() const override;
  std::optional<ErrorCode> RefusalReason() const override;
  const RequestOwner& Self() const override { return self_; }
  void Reserve(boost::asio::io_context& loop,
               SlotRequest request,
               GrantCallback callback) override;
  void OnPrefillDone(const RequestId& id) override;
  void Release(const RequestId& id) override;
  void ReportObservation(const RequestId& id,
                         BackendObservation observation) override;
  void ExecuteAtMostOnce(boost::asio::io_context& loop,
                         ServiceRequest request,
                         OutcomeCallback callback) override;
  void ListInstances(boost::asio::io_context& loop,
                     const ZoneId& zone,
                     InstanceListCallback callback) override;

  // PeerHandler.
  void OnPeerRequest(const std::string& path,
                     const Json& message,
                     PeerResponder respond) override;

 private:
  struct LoopRunner {
    boost::asio::io_context* loop;
    Runner runner;
  };

  void ConnectServices();
  void OnTopologyChange();
  void RunCall(ServiceRequest request, OutcomeCallback callback);
  void MeasureCost();
  // Asks the platform for its list of instances.
  void ReadInstanceList();
  std::vector<InstanceAddress> InstancesForZone(const ZoneId& zone);

  boost::asio::io_context& io_;
  const Settings& settings_;
  Metrics& metrics_;
  RequestOwner self_;
  PeerClient peer_client_;
  HttpClient http_;
  Membership membership_;
  PeerServer peer_server_;
  std::unique_ptr<MembershipService> members_;
  std::unique_ptr<PlanService> plans_;
  std::unique_ptr<AllocatorService> allocators_;
  std::unique_ptr<ReservingPlacement> reserving_;
  std::unique_ptr<LeastLoadedPlacement> least_loaded_;
  PlacementPolicy* placement_ = nullptr;  // One of the two above.
  std::unique_ptr<EngineWatcher> watcher_;
  std::unique_ptr<EngineProber> prober_;
  std::unique_ptr<EngineReconciler> reconciler_;
  std::unique_ptr<AtMostOnceService> at_most_once_;
  std::unique_ptr<PeriodicTimer> cost_timer_;
  std::unique_ptr<PeriodicTimer> list_timer_;
  std::vector<LoopRunner> runners_;
  size_t next_runner_ = 0;
  size_t entries_turn_ = 0;  // Rotates the entries given to callers.
  bool draining_ = false;
  std::atomic<bool> refuses_{false};    // After the leave notice.
  std::atomic<bool> suspended_{false};  // Copy for other threads.
  std::unique_ptr<boost::asio::steady_timer> notice_timer_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_DAEMON_CONTROL_CONTROL_PLANE_H_
