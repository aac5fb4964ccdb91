// The traffic thread's part of the gateway: listener, router, shared state and
// load reports.

#ifndef MANGOYOKE_GATEWAY_TRAFFIC_GATEWAY_TRAFFIC_H_
#define MANGOYOKE_GATEWAY_TRAFFIC_GATEWAY_TRAFFIC_H_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

#include "base/metrics.h"
#include "base/periodic_timer.h"
#include "gateway/core/preview_query.h"
#include "gateway/gateway.h"
#include "gateway/net/http_listener.h"
#include "gateway/settings.h"
#include "gateway/traffic/load_reporter.h"
#include "gateway/traffic/request_router.h"
#include "gateway/traffic/traffic_context.h"

namespace mangoyoke {

// What a process that stops has to wait for.
struct OpenWork {
  size_t requests = 0;  // Active requests.
  // Callers' connections on which a request is being read or responded to.
  size_t connections = 0;

  bool None() const { return requests == 0 && connections == 0; }
  bool operator==(const OpenWork&) const = default;
};

// Used on the traffic thread only.
class GatewayTraffic {
 public:
  // `settings` must outlive the object.
  GatewayTraffic(boost::asio::io_context& io,
                 const GatewaySettings& settings,
                 const GatewayCodecs& codecs,
                 Metrics& metrics);

  // Listens for callers and, if a load port is set, for load reports. Returns
  // an error if a socket cannot be opened.
  Result<Unit> Start();
  // Replaces the active configuration for new requests.
  void SetConfig(std::shared_ptr<const ServingConfig> config);
  // Replaces the list of backend servers; drops health records of removed ones.
  void SetServers(std::shared_ptr<const ServerSnapshot> servers);
  // Sets the peers that load is reported to.
  void SetPeers(const ReportGroup& group);
  // Where a request like `query` would go now, as JSON.
  std::string Preview(const PreviewQuery& query);
  void SetRetryBudget(const SharedRetryBudgetOptions& options);
  // From now on responses tell callers that their connection will be closed.
  // Requests that cannot be served before `stops_at` are rejected.
  void StartDraining(TimePoint stops_at);
  // Accepts no new connections and closes idle ones.
  void Stop() { listener_.Stop(); }
  // Ends the requests that are still active, or still being read, with an
  // error.
  void EndAllRequests() {
    listener_.RejectUnfinished();
    router_.EndAll();
  }
  OpenWork open_work() const {
    return OpenWork{router_.active_requests(), listener_.busy_connections()};
  }

 private:
  // Closes pooled connections that are expired or lead to removed servers.
  void SweepConnections();

  const GatewaySettings& settings_;
  TrafficContext context_;
  RequestRouter router_;
  HttpListener listener_;
  LoadReporter reporter_;
  PeriodicTimer sweep_timer_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_TRAFFIC_GATEWAY_TRAFFIC_H_
