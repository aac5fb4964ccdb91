// HTTP handler of the control thread: instance list, readiness and metrics.

#ifndef MANGOYOKE_GATEWAY_CONTROL_CONTROL_HANDLER_H_
#define MANGOYOKE_GATEWAY_CONTROL_CONTROL_HANDLER_H_

#include <functional>
#include <random>

#include "base/metrics.h"
#include "gateway/net/http_listener.h"
#include "mangoyoke/membership.h"

namespace mangoyoke {

// Serves three endpoints: the instances that callers may use, the readiness of
// this instance, and its metrics in the Prometheus text format. Any other path
// gets an error response (kUnknownPath).
class ControlHandler : public RequestHandler {
 public:
  // `codec`, `membership` and `metrics` must outlive the handler. `is_ready`
  // returns whether this instance accepts new requests. `instance_list_ttl` is
  // how long callers may use an instance list.
  ControlHandler(const CallerCodec& codec,
                 const Membership& membership,
                 Metrics& metrics,
                 Duration instance_list_ttl,
                 std::function<bool()> is_ready);

  void OnRequest(HttpRequest request,
                 std::shared_ptr<HttpResponder> responder) override;
  CallerLimits Limits() const override;
  HttpResponse MakeParseErrorResponse(const Error& error) const override;

 private:
  HttpResponse HandleRequest(const HttpRequest& request);
  HttpResponse MakeInstanceListResponse(const CallerLocation& location);
  HttpResponse MakeReadinessResponse() const;
  HttpResponse MakeMetricsResponse() const;

  const CallerCodec& codec_;
  const Membership& membership_;
  Metrics& metrics_;
  Duration instance_list_ttl_;
  std::function<bool()> is_ready_;
  std::mt19937_64 random_{std::random_device{}()};
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CONTROL_CONTROL_HANDLER_H_
