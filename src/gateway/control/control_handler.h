// Answers the small questions: which entries to use, whether this instance is
// ready, and the metrics page.

#ifndef MANGOYOKE_GATEWAY_CONTROL_CONTROL_HANDLER_H_
#define MANGOYOKE_GATEWAY_CONTROL_CONTROL_HANDLER_H_

#include <functional>

#include "base/metrics.h"
#include "gateway/net/http_listener.h"
#include "mangoyoke/membership.h"

namespace mangoyoke {

class ControlHandler : public RequestHandler {
 public:
  // `ready` tells whether this instance takes new requests.
  ControlHandler(const CallerCodec& codec,
                 const Membership& membership,
                 Metrics& metrics,
                 Duration instance_list_ttl,
                 std::function<bool()> ready);

  void OnRequest(HttpRequest request,
                 std::shared_ptr<HttpResponder> responder) override;
  CallerLimits Limits() const override { return CallerLimits{}; }
  HttpResponse MakeParseErrorResponse(const Error& error) const override;

 private:
  HttpResponse Answer(const HttpRequest& request) const;
  HttpResponse InstanceList() const;
  HttpResponse Ready() const;
  HttpResponse MetricsPage() const;

  const CallerCodec& codec_;
  const Membership& membership_;
  Metrics& metrics_;
  Duration instance_list_ttl_;
  std::function<bool()> ready_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CONTROL_CONTROL_HANDLER_H_
