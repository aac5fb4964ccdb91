// All that runs on the control thread, wired together.

#ifndef MANGOYOKE_GATEWAY_CONTROL_GATEWAY_CONTROL_H_
#define MANGOYOKE_GATEWAY_CONTROL_GATEWAY_CONTROL_H_

#include <boost/asio/io_context.hpp>
#include <string>
#include <vector>

#include "base/metrics.h"
#include "base/observers.h"
#include "gateway/control/control_handler.h"
#include "gateway/control/serving_state.h"
#include "gateway/control/store_client.h"
#include "gateway/gateway.h"
#include "gateway/settings.h"
#include "membership/membership_service.h"
#include "peer/peer_transport.h"

namespace mangoyoke {

class GatewayControl : public PeerHandler {
 public:
  // `settings` must outlive the object.
  GatewayControl(boost::asio::io_context& io,
                 const GatewaySettings& settings,
                 const GatewayCodecs& codecs,
                 Metrics& metrics);

  // Listens and starts to follow the store and the other instances.
  Result<Unit> Start();
  // Takes over what may change while running.
  void Reload(const GatewaySettings& settings);
  // Takes this instance off the list of entries.
  void StartDraining();

  ServingState& state() { return state_; }
  // "IP:port" of the other usable instances.
  std::vector<std::string> PeerAddresses() const;
  // Fired after records of instances changed.
  Observers<const std::vector<InstanceId>&>& on_members_changed() {
    return members_.on_change;
  }

  void OnPeerRequest(const std::string& path,
                     const Json& message,
                     PeerResponder respond) override;

 private:
  bool Ready() const;
  Result<Unit> ListenAll();
  void OnConfig();
  // Sends callers here once requests can be served.
  void UpdateEntry();

  const GatewaySettings& settings_;
  PeerClient peer_client_;
  PeerServer peer_server_;
  Membership membership_;
  MembershipService members_;
  StoreClient store_;
  ServingState state_;
  ControlHandler handler_;
  HttpListener entries_;
  HttpListener ready_;
  HttpListener metrics_page_;
  bool draining_ = false;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CONTROL_GATEWAY_CONTROL_H_
