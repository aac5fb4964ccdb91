// Owns the control state and its services, which run on the control thread,
// and gives traffic threads and peers access to them.

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
  // `io` is the control thread's event loop. The references must outlive the
  // object.
  ControlPlane(boost::asio::io_context& io,
               const Settings& settings,
               Metrics& metrics);
  ~ControlPlane() override;

  // Registers an event loop that executes service requests. Call before Start.
  void AddRunner(boost::asio::io_context& loop, Runner runner);
  // Listens for peers and starts all services. Fails if the peer address cannot
  // be bound.
  Result<Unit> Start();

  // The methods from here to ActiveCalls must be called on the control thread.

  // Announces to the peers that this instance leaves. New requests are refused
  // after the drain grace period.
  void StartDraining();
  bool draining() const { return draining_; }
  PlanService& plans() { return *plans_; }
  // Returns this instance's status and its view of the members.
  Json DescribeInstance() const;
  // Collects the descriptions of all usable members. The callback gets a JSON
  // array with one object per member.
  void DescribeCluster(std::function<void(Json)> callback);
  // Number of at-most-once requests owned here that have no outcome yet.
  size_t ActiveCalls() const { return at_most_once_->active_calls(); }

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
  struct TrafficLoop {
    boost::asio::io_context* loop;
    Runner runner;
  };

  void ConnectServices();
  // Reassigns cells after the plan or the members changed.
  void OnTopologyChange();
  // Executes a service request on one of the registered loops, in turn.
  void ExecuteOnTrafficThread(ServiceRequest request, OutcomeCallback callback);
  void UpdateProcessMetrics();
  // Reads the platform's instance list and adds its peer addresses to the
  // seeds.
  void ReadInstanceList();
  // Instances that accept callers, those of `zone` first.
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
  std::unique_ptr<PeriodicTimer> process_metrics_timer_;
  std::unique_ptr<PeriodicTimer> instance_list_timer_;
  std::vector<TrafficLoop> runners_;
  size_t next_runner_ = 0;
  size_t instance_list_rotation_ =
      0;  // Rotates the instance lists given to callers.
  bool draining_ = false;
  std::atomic<bool> refuses_requests_{
      false};                           // Set after the drain grace period.
  std::atomic<bool> suspended_{false};  // Copy that other threads read.
  std::unique_ptr<boost::asio::steady_timer> drain_grace_timer_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_DAEMON_CONTROL_CONTROL_PLANE_H_
