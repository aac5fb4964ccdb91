// What a caller asks of a completion, read from HTTP.

#ifndef MANGOYOKE_DAEMON_TRAFFIC_COMPLETION_PARAMETERS_H_
#define MANGOYOKE_DAEMON_TRAFFIC_COMPLETION_PARAMETERS_H_

#include <cstdint>
#include <optional>
#include <string>

#include "http/http_server.h"
#include "mangoyoke/error.h"
#include "mangoyoke/plan.h"

namespace mangoyoke {

// Where to go on with a stream that broke off, from Last-Event-ID.
struct ResumePoint {
  std::string request_id;
  BackendId decode;
  int64_t next = 0;  // First token that the caller has not seen.

  bool operator==(const ResumePoint&) const = default;
};

struct CompletionParameters {
  ModelId model;
  std::string prompt;
  int64_t max_tokens = 16;
  bool stream = false;
  bool chat = false;
  AccountId account;
  int priority = 1;
  Millis deadline{0};  // For the whole answer.
  std::optional<ResumePoint> resume;

  bool operator==(const CompletionParameters&) const = default;
};

// Headers that completions and service calls share.
struct CallerHeaders {
  AccountId account;
  int priority = 1;
  Millis deadline{0};
};

// Reads X-Client-Account, X-Priority and X-Deadline-Ms. Unknown accounts are
// refused if the plan lists any.
Result<CallerHeaders> ParseCallerHeaders(const ServerRequest& request,
                                         const Plan& plan,
                                         Millis default_deadline);

Result<CompletionParameters> ParseCompletion(const ServerRequest& request,
                                             const Plan& plan);

// Identifies what a caller asked. Request ids end with it, so that a caller
// can only resume a stream of its own request.
std::string RequestFingerprint(const ModelId& model, const std::string& prompt);

// "<request id>|<decode server>|<token index>", the id of each event.
std::string PrintEventId(const std::string& request_id,
                         const BackendId& decode,
                         int64_t index);

}  // namespace mangoyoke

#endif  // MANGOYOKE_DAEMON_TRAFFIC_COMPLETION_PARAMETERS_H_
