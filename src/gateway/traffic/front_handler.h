// Takes callers' requests, finds their route and starts their runs.

#ifndef MANGOYOKE_GATEWAY_TRAFFIC_FRONT_HANDLER_H_
#define MANGOYOKE_GATEWAY_TRAFFIC_FRONT_HANDLER_H_

#include "gateway/net/http_listener.h"
#include "gateway/traffic/engine_admission.h"
#include "gateway/traffic/request_run.h"

namespace mangoyoke {

class FrontHandler : public RequestHandler {
 public:
  explicit FrontHandler(TrafficContext& context);

  void OnRequest(HttpRequest request,
                 std::shared_ptr<Exchange> exchange) override;
  CallerLimits Limits() const override;
  HttpResponse OnBadRequest(const Error& error) const override;

  size_t open() const { return runs_.size(); }

 private:
  void Refuse(Exchange& exchange,
              const CallerRequest& facts,
              ErrorCode code,
              std::string_view why);
  bool HasEngines(const ServiceId& service) const;

  TrafficContext& context_;
  RunTable runs_;
  EngineAdmission admission_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_TRAFFIC_FRONT_HANDLER_H_
