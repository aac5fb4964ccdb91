// Parameters of completion requests, parsed from HTTP.

#ifndef MANGOYOKE_DAEMON_TRAFFIC_COMPLETION_PARAMETERS_H_
#define MANGOYOKE_DAEMON_TRAFFIC_COMPLETION_PARAMETERS_H_

#include <cstdint>
#include <optional>
#include <string>

#include "http/http_server.h"
#include "mangoyoke/error.h"
#include "mangoyoke/plan.h"

namespace mangoyoke {

// Position at which to resume a stream that broke off, from Last-Event-ID.
struct ResumePoint {
  std::string request_id;  // Id of the attempt that produced the event.
  BackendId decode;
  int64_t next = 0;  // Index of the first token that the caller lacks.

  bool operator==(const ResumePoint&) const = default;
};

// A validated completion request.
struct CompletionParameters {
  ModelId model;
  std::string prompt;
  int64_t max_tokens = 16;
  bool stream = false;
  bool chat = false;
  AccountId account;
  int priority = 1;
  Millis timeout{0};  // For the complete response.
  std::optional<ResumePoint> resume;

  bool operator==(const CompletionParameters&) const = default;
};

// Request headers common to completions and service calls.
struct CallerHeaders {
  AccountId account;
  int priority = 1;
  Millis timeout{0};
};

// Parses X-Client-Account, X-Priority (0 to 9) and X-Deadline-Ms (1 to 600000).
// If the plan lists accounts, an unknown account is an error.
Result<CallerHeaders> ParseCallerHeaders(const ServerRequest& request,
                                         const Plan& plan,
                                         Millis default_timeout);

// Parses and validates the headers and the JSON body of a request to
// /v1/completions or /v1/chat/completions.
Result<CompletionParameters> ParseCompletion(const ServerRequest& request,
                                             const Plan& plan);

// Hash of model and prompt, in hexadecimal. Request ids end with it, so that
// a caller can only resume a stream of its own request.
std::string RequestFingerprint(const ModelId& model, const std::string& prompt);

// Formats the id of an event: "<attempt id>|<decode server>|<token index>".
std::string FormatEventId(const std::string& request_id,
                          const BackendId& decode,
                          int64_t index);

}  // namespace mangoyoke

#endif  // MANGOYOKE_DAEMON_TRAFFIC_COMPLETION_PARAMETERS_H_
