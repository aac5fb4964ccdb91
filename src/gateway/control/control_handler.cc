// Entries, readiness, metrics.

#include "gateway/control/control_handler.h"

#include <string_view>

namespace mangoyoke {
namespace {

constexpr size_t kMaxEntries = 64;
constexpr std::string_view kMetricsPath = "/metrics";

}  // namespace

ControlHandler::ControlHandler(const CallerCodec& codec,
                               const Membership& membership,
                               Metrics& metrics,
                               Duration entries_ttl,
                               std::function<bool()> ready)
    : codec_(codec),
      membership_(membership),
      metrics_(metrics),
      entries_ttl_(entries_ttl),
      ready_(std::move(ready)) {}

void ControlHandler::OnRequest(HttpRequest request,
                               std::shared_ptr<Exchange> exchange) {
  exchange->Reply(Answer(request));
}

HttpResponse ControlHandler::OnBadRequest(const Error& error) const {
  return codec_.EncodeRefusal(error, std::nullopt);
}

HttpResponse ControlHandler::Answer(const HttpRequest& request) const {
  if (codec_.IsReadyQuery(request)) {
    return Ready();
  }
  if (codec_.IsEntriesQuery(request)) {
    return Entries();
  }
  std::string_view target(request.target().data(), request.target().size());
  if (target == kMetricsPath) {
    return MetricsPage();
  }
  return codec_.EncodeRefusal(
      Error{ErrorCode::kUnknownPath, std::string(target)}, std::nullopt);
}

HttpResponse ControlHandler::Entries() const {
  std::vector<std::string> addresses;
  for (const MemberRecord& record : membership_.All()) {
    if (record.AcceptsCallers() && addresses.size() < kMaxEntries) {
      addresses.push_back(record.caller_address);
    }
  }
  metrics_.Count("mangoyoke_entries_answers_total");
  if (addresses.empty()) {
    return codec_.EncodeRefusal(
        Error{ErrorCode::kNotReady, "no instance takes callers"}, Seconds(1));
  }
  return codec_.EncodeEntries(addresses, entries_ttl_);
}

HttpResponse ControlHandler::Ready() const {
  if (!ready_()) {
    return codec_.EncodeRefusal(Error{ErrorCode::kNotReady, "not ready"},
                                std::nullopt);
  }
  HttpResponse response(http::status::ok, 11);
  response.body() = "ready\n";
  return response;
}

HttpResponse ControlHandler::MetricsPage() const {
  metrics_.Set("mangoyoke_cpu_ms", ProcessCpuMillis());
  metrics_.Set("mangoyoke_resident_bytes",
               static_cast<double>(ResidentBytes()));
  HttpResponse response(http::status::ok, 11);
  response.set(http::field::content_type, "text/plain; version=0.0.4");
  response.body() = metrics_.Print();
  return response;
}

}  // namespace mangoyoke
