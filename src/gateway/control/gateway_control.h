// The components of the control thread and how they are connected.

#ifndef MANGOYOKE_GATEWAY_CONTROL_GATEWAY_CONTROL_H_
#define MANGOYOKE_GATEWAY_CONTROL_GATEWAY_CONTROL_H_

#include <boost/asio/io_context.hpp>
#include <string>
#include <vector>

#include "base/metrics.h"
#include "base/observers.h"
#include "gateway/control/control_handler.h"
#include "gateway/control/operator_handler.h"
#include "gateway/control/serving_state.h"
#include "gateway/control/store_client.h"
#include "gateway/core/report_group.h"
#include "gateway/gateway.h"
#include "gateway/settings.h"
#include "membership/membership_service.h"
#include "peer/peer_transport.h"

namespace mangoyoke {

// Owns membership, the store client, the serving state (active configuration
// and backend servers) and the HTTP listeners for instance list, readiness and
// metrics. Also handles the requests of other instances. Not thread-safe: after
// Start, use it only on the control thread.
class GatewayControl : public PeerHandler {
 public:
  // All references must outlive the object.
  GatewayControl(boost::asio::io_context& io,
                 const GatewaySettings& settings,
                 const GatewayCodecs& codecs,
                 Metrics& metrics);

  // Opens the listeners, then starts watching the store and probing the other
  // instances. Returns an error if an address cannot be listened on.
  Result<Unit> Start();
  // Applies the settings that may change at run time: the store's address and
  // new seed addresses.
  void Reload(const GatewaySettings& settings);
  // Announces that this instance is leaving, so that it is removed from the
  // instance list and no longer reports ready.
  void StartDraining();

  // Sets how previews for operators are made.
  void SetPreview(OperatorHandler::Preview preview) {
    operator_handler_.SetPreview(std::move(preview));
  }

  ServingState& serving_state() { return serving_state_; }
  // The other instances that are not dead, by how load is reported to them.
  ReportGroup PeersToReportTo() const;
  // Notified after membership records changed, with their ids.
  Observers<const std::vector<InstanceId>&>& on_members_changed() {
    return membership_service_.on_change;
  }

  void OnPeerRequest(const std::string& path,
                     const Json& message,
                     PeerResponder respond) override;

 private:
  bool IsReady() const;
  Result<Unit> ListenAll();
  void OnConfigChanged();
  // Publishes the caller address in the membership record once this instance is
  // ready, so that instance lists include it.
  void PublishCallerAddress();

  const GatewaySettings& settings_;
  PeerClient peer_client_;
  PeerServer peer_server_;
  Membership membership_;
  MembershipService membership_service_;
  StoreClient store_;
  ServingState serving_state_;
  ControlHandler control_handler_;
  OperatorHandler operator_handler_;
  HttpListener instance_list_listener_;
  HttpListener readiness_listener_;
  HttpListener metrics_listener_;
  bool draining_ = false;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CONTROL_GATEWAY_CONTROL_H_
