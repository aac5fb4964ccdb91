// All that runs on the traffic thread, wired together.

#ifndef MANGOYOKE_GATEWAY_TRAFFIC_GATEWAY_TRAFFIC_H_
#define MANGOYOKE_GATEWAY_TRAFFIC_GATEWAY_TRAFFIC_H_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

#include "base/metrics.h"
#include "base/periodic_timer.h"
#include "gateway/gateway.h"
#include "gateway/net/http_listener.h"
#include "gateway/settings.h"
#include "gateway/traffic/load_reporter.h"
#include "gateway/traffic/request_router.h"
#include "gateway/traffic/traffic_context.h"

namespace mangoyoke {

class GatewayTraffic {
 public:
  // `settings` must outlive the object.
  GatewayTraffic(boost::asio::io_context& io,
                 const GatewaySettings& settings,
                 const GatewayCodecs& codecs,
                 Metrics& metrics);

  Result<Unit> Start();
  void SetConfig(std::shared_ptr<const ServingConfig> config);
  void SetServers(std::shared_ptr<const ServerSnapshot> servers);
  // The IPs of the other entries.
  void SetPeers(const std::vector<std::string>& ips);
  void SetRetryBudget(const SharedRetryBudgetOptions& options);
  // Answers tell callers from now on that their connection closes.
  void StartDraining() { front_.StartDraining(); }
  // Takes no new connections and closes idle ones.
  void Stop() { front_.Stop(); }
  // Requests under way.
  size_t active_requests() const { return handler_.active_requests(); }

 private:
  // Closes connections that outlived their use.
  void Sweep();

  const GatewaySettings& settings_;
  TrafficContext context_;
  RequestRouter handler_;
  HttpListener front_;
  LoadReporter reporter_;
  PeriodicTimer sweep_timer_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_TRAFFIC_GATEWAY_TRAFFIC_H_
