// HTTP interface for operators, served on the instance's admin address.

#ifndef MANGOYOKE_DAEMON_CONTROL_ADMIN_ADMIN_API_H_
#define MANGOYOKE_DAEMON_CONTROL_ADMIN_ADMIN_API_H_

#include <memory>

#include "daemon/control/control_plane.h"
#include "http/http_dispatcher.h"

namespace mangoyoke {

// Runs on the control thread.
class AdminApi : public ServerRequestHandler {
 public:
  AdminApi(ControlPlane& control, Metrics& metrics);

  void OnRequest(ServerRequest request,
                 std::shared_ptr<ResponseStream> stream) override;
  void OnDisconnect(uint64_t) override {}

 private:
  void GetPlan(const std::shared_ptr<ResponseStream>& stream);
  // Expects a JSON body with the fields text, base and submission_id.
  void SubmitPlan(const ServerRequest& request,
                  const std::shared_ptr<ResponseStream>& stream);

  ControlPlane& control_;
  Metrics& metrics_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_DAEMON_CONTROL_ADMIN_ADMIN_API_H_
