// Instance list, readiness and metrics responses.

#include "gateway/control/control_handler.h"

#include <string_view>

namespace mangoyoke {
namespace {

constexpr std::string_view kMetricsPath = "/metrics";
// The requests served here need no body.
constexpr uint64_t kMaxBodyBytes = 4 << 10;

}  // namespace

ControlHandler::ControlHandler(const CallerCodec& codec,
                               const Membership& membership,
                               Metrics& metrics,
                               Duration instance_list_ttl,
                               std::function<bool()> is_ready)
    : codec_(codec),
      membership_(membership),
      metrics_(metrics),
      instance_list_ttl_(instance_list_ttl),
      is_ready_(std::move(is_ready)) {}

void ControlHandler::OnRequest(HttpRequest request,
                               std::shared_ptr<HttpResponder> responder) {
  responder->Reply(HandleRequest(request));
}

CallerLimits ControlHandler::Limits() const {
  CallerLimits limits;
  limits.body_bytes = kMaxBodyBytes;
  return limits;
}

HttpResponse ControlHandler::MakeParseErrorResponse(const Error& error) const {
  return codec_.EncodeErrorResponse(error, std::nullopt);
}

HttpResponse ControlHandler::HandleRequest(const HttpRequest& request) {
  if (codec_.IsReadinessRequest(request)) {
    return MakeReadinessResponse();
  }
  if (auto location = codec_.DecodeInstanceListRequest(request)) {
    return MakeInstanceListResponse(*location);
  }
  std::string_view target(request.target().data(), request.target().size());
  if (target == kMetricsPath) {
    return MakeMetricsResponse();
  }
  return codec_.EncodeErrorResponse(
      Error{ErrorCode::kUnknownPath, std::string(target)}, std::nullopt);
}

HttpResponse ControlHandler::MakeInstanceListResponse(
    const CallerLocation& location) {
  std::vector<std::string> addresses = ChooseInstances(
      membership_.All(), location, InstanceListOptions{}, random_);
  bool own_zone = location.zone == membership_.self().zone;
  metrics_.Increment("mangoyoke_entries_answers_total", "caller_zone",
                     own_zone ? "own" : "other");
  if (addresses.empty()) {
    return codec_.EncodeErrorResponse(
        Error{ErrorCode::kNotReady, "no instance currently accepts callers"},
        Seconds(1));
  }
  return codec_.EncodeInstanceList(addresses, instance_list_ttl_);
}

HttpResponse ControlHandler::MakeReadinessResponse() const {
  if (!is_ready_()) {
    return codec_.EncodeErrorResponse(
        Error{ErrorCode::kNotReady,
              "not ready: the instance is draining or has not loaded "
              "a configuration and the server registry"},
        std::nullopt);
  }
  HttpResponse response(http::status::ok, 11);
  response.body() = "ready\n";
  return response;
}

HttpResponse ControlHandler::MakeMetricsResponse() const {
  metrics_.SetGauge("mangoyoke_cpu_ms", ProcessCpuMillis());
  metrics_.SetGauge("mangoyoke_resident_bytes",
                    static_cast<double>(ResidentBytes()));
  HttpResponse response(http::status::ok, 11);
  response.set(http::field::content_type, "text/plain; version=0.0.4");
  response.body() = metrics_.FormatText();
  return response;
}

}  // namespace mangoyoke
