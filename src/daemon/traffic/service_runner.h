// Sends calls of plain services to their backend servers, with retries and
// hedging.
//
// An attempt that failed to connect was certainly not executed, so the call is
// sent to the next server. After any other failure a call is retried, and a
// slow call is hedged, only if it is idempotent and the retry budget allows it.

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

// Runs on the event loop of one traffic thread.
class ServiceRunner {
 public:
  using Callback = ControlInterface::OutcomeCallback;

  explicit ServiceRunner(TrafficContext& context);
  ~ServiceRunner();

  // Runs one call. `callback` is called once, with the response of a backend
  // server or an error, possibly before Run returns.
  void Run(ServiceRequest request, Callback callback);
  // Calls without an outcome yet.
  size_t active_calls() const { return active_calls_; }

 private:
  struct Call;
  // Concurrency limit and latency of one service, as seen by this thread.
  struct ServiceState {
    explicit ServiceState(int64_t maximum) : limit(maximum) {}
    ConcurrencyLimit limit;
    double mean_ms = 0;  // Moving average of the latency; 0 if unknown.
  };

  ServiceState& GetState(const Service& service);
  // Returns the servers of `service`, the preferred first: healthy ones by
  // attempts in flight, then ejected ones. Leaving servers are left out.
  std::vector<BackendId> RankBackends(const Plan& plan,
                                      const ServiceId& service);
  // Sends the call to the best server not tried yet. If there is none, or the
  // deadline or the limit of attempts is reached, finishes the call unless
  // another attempt is in flight.
  void StartAttempt(const std::shared_ptr<Call>& call);
  // Starts a timer for a second attempt, if the call is idempotent.
  void ScheduleHedge(const std::shared_ptr<Call>& call);
  void OnResponse(const std::shared_ptr<Call>& call,
                  const BackendId& backend,
                  TimePoint sent,
                  ClientResponse response);
  void OnFailure(const std::shared_ptr<Call>& call,
                 const BackendId& backend,
                 const ClientResponse& response);
  void Finish(const std::shared_ptr<Call>& call, Outcome outcome);

  TrafficContext& context_;
  std::map<ServiceId, ServiceState> services_;
  std::map<BackendId, int64_t> in_flight_;  // Attempts in flight per server.
  StragglerDetector stragglers_;
  size_t active_calls_ = 0;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_DAEMON_TRAFFIC_SERVICE_RUNNER_H_
