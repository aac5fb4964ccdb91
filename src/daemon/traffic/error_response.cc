// Error responses to callers.

#include <nlohmann/json.hpp>

#include "daemon/traffic/traffic_context.h"

namespace mangoyoke {
namespace {

constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
constexpr int kRetryAfterSeconds = 1;

// Only errors that may go away with time (429 and 503) tell the caller when to
// retry.
bool HasRetryAfter(const ErrorInfo& info) {
  return info.http_status == kTooManyRequests ||
         info.http_status == kUnavailable;
}

}  // namespace

std::string ErrorJson(const Error& error) {
  const ErrorInfo& info = GetErrorInfo(error.code);
  nlohmann::json body{
      {"code", static_cast<int>(error.code)},
      {"reason", info.name},
      {"message", info.message},
      {"execution",
       info.execution == Execution::kNotExecuted ? "not_run" : "unknown"}};
  if (!error.detail.empty()) {
    body["detail"] = error.detail;
  }
  if (HasRetryAfter(info)) {
    body["retry_after_s"] = kRetryAfterSeconds;
  }
  return nlohmann::json{{"error", body}}.dump(
      -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void SendErrorResponse(Metrics& metrics,
                       const std::shared_ptr<ResponseStream>& stream,
                       const Error& error) {
  const ErrorInfo& info = GetErrorInfo(error.code);
  metrics.Increment("mangoyoke_refusals_total", "reason", info.name);
  HttpHeaders headers;
  if (HasRetryAfter(info)) {
    headers.emplace_back("Retry-After", std::to_string(kRetryAfterSeconds));
  }
  SendJson(stream, info.http_status, ErrorJson(error), headers);
}

}  // namespace mangoyoke
