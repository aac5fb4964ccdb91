// Runs calls of plain services against their backend servers.
//
// A call that surely did not reach a server goes to the next one. Anything
// else is repeated, or hedged, only if it is idempotent and within the retry
// budget.

#ifndef MANGOYOKE_DAEMON_TRAFFIC_SERVICE_RUNNER_H_
#define MANGOYOKE_DAEMON_TRAFFIC_SERVICE_RUNNER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "daemon/traffic/traffic_context.h"
#include "mangoyoke/concurrency_limit.h"
#include "mangoyoke/straggler_detector.h"

namespace mangoyoke {

class ServiceRunner {
 public:
  using Callback = ControlInterface::OutcomeCallback;

  explicit ServiceRunner(TrafficContext& context);
  ~ServiceRunner();

  // Runs one call. `callback` is called once.
  void Run(ServiceRequest request, Callback callback);
  size_t open() const { return open_; }

 private:
  struct Call;
  struct ServiceState {
    explicit ServiceState(int64_t maximum) : limit(maximum) {}
    ConcurrencyLimit limit;
    double mean_ms = 0;  // Smoothed latency; 0 if unknown.
  };

  ServiceState& StateOf(const Service& service);
  std::vector<BackendId> Candidates(const Plan& plan, const ServiceId& service);
  void Attempt(const std::shared_ptr<Call>& call);
  void ArmHedge(const std::shared_ptr<Call>& call);
  void OnAnswer(const std::shared_ptr<Call>& call,
                const BackendId& backend,
                TimePoint sent,
                ClientResponse response);
  void OnFailure(const std::shared_ptr<Call>& call,
                 const BackendId& backend,
                 const ClientResponse& response);
  void Finish(const std::shared_ptr<Call>& call, Outcome outcome);

  TrafficContext& context_;
  std::map<ServiceId, ServiceState> services_;
  std::map<BackendId, int64_t> in_flight_;
  StragglerDetector stragglers_;
  size_t open_ = 0;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_DAEMON_TRAFFIC_SERVICE_RUNNER_H_
