// Finds the route and service of each caller's request and starts serving it.

#ifndef MANGOYOKE_GATEWAY_TRAFFIC_REQUEST_ROUTER_H_
#define MANGOYOKE_GATEWAY_TRAFFIC_REQUEST_ROUTER_H_

#include "gateway/core/authentication.h"
#include "gateway/net/http_listener.h"
#include "gateway/traffic/account_gate.h"
#include "gateway/traffic/active_request.h"
#include "gateway/traffic/engine_admission.h"

namespace mangoyoke {

// Used on the traffic thread only.
class RequestRouter : public RequestHandler {
 public:
  explicit RequestRouter(TrafficContext& context);

  void OnRequest(HttpRequest request,
                 std::shared_ptr<HttpResponder> responder) override;
  // Finds out whether the request has to be rejected for its API key.
  std::optional<Error> CheckHead(
      const http::request_header<>& head) const override;
  CallerLimits Limits() const override;
  HttpResponse MakeParseErrorResponse(const Error& error) const override;

  // Another configuration is in force.
  void OnConfigChanged() { requests_.NotifyConfig(); }
  // Ends every active request with an error, since the process stops.
  void EndAll() { requests_.EndAll(); }
  // Number of active requests.
  size_t active_requests() const { return requests_.size(); }

 private:
  // The route and the caller of a request that may be served.
  struct Entry {
    const RouteRule* route = nullptr;
    AuthenticatedCaller caller;
  };

  // Finds the route of a request, and its caller by the API key. An error if
  // the request has to be rejected.
  Result<Entry> CheckEntry(const CallerRequest& caller_request) const;
  // Counts and logs a request that is rejected for its key, or because nobody
  // serves it.
  void LogRejected(const CallerRequest& caller_request,
                   const Error& error) const;
  // The response to a request that is rejected; counts it. `retry_after`: when
  // its caller may return, if `error` itself does not tell.
  HttpResponse MakeErrorResponse(const Error& error,
                                 std::optional<Duration> retry_after) const;
  // Rejects and logs a request for which no ActiveRequest was created.
  void SendErrorResponse(HttpResponder& responder,
                         const CallerRequest& caller_request,
                         const Error& error,
                         std::optional<Duration> retry_after = std::nullopt);
  // Whether `service` has servers that are not combined servers.
  bool HasPrefillOrDecodeServers(const ServiceId& service) const;

  TrafficContext& context_;
  AccountGate account_gate_;
  EngineAdmission admission_;
  ActiveRequestTable requests_;  // Requests leave `admission_` when they end.
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_TRAFFIC_REQUEST_ROUTER_H_
