// Result codes, and the type Result<T> that functions which can fail return.
//
// Such functions return an Error and do not throw. The numbers of the codes are
// part of the interface to callers and operators: docs/result-codes.md lists
// them, and a test compares that page with ErrorTable().

#ifndef MANGOYOKE_ERROR_H_
#define MANGOYOKE_ERROR_H_

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace mangoyoke {

// Whether a request that ended with an error was executed.
enum class Execution {
  // Guaranteed not executed, now or later, so that a retry is safe for any
  // request.
  kNotExecuted,
  // Possibly executed, so that only an idempotent request may be retried.
  kUnknown,
};

enum class ErrorCode : int {
  // 1xx: the request is invalid; an unchanged retry fails again.
  kMalformedRequest = 100,  // The body or a header cannot be read.
  kRequestTooLarge = 101,   // The request exceeds the instance's limit.
  kUnknownModel = 102,      // The plan has no such model.
  kUnknownService = 103,    // The plan has no such service or path.
  kUnknownPath = 104,       // The instance serves nothing at this path.
  kUnknownAccount = 105,    // The plan has no such client account.
  kMissingKey = 106,        // Non-idempotent call without Idempotency-Key.
  kBadDeadline = 108,       // The deadline header is not in range.
  kKeyReused = 109,         // The key was used before for another request.
  kHeaderTooLarge = 110,    // The header exceeds the configured limit.
  kRequestTimeout = 111,    // The request did not arrive whole in time.
  kUnknownApiKey = 112,     // No client account has the request's API key.
  kApiKeyWithdrawn = 113,   // The key was withdrawn while the request waited.

  // 2xx: refused before execution; may be retried after the given time.
  kNotReady = 200,           // The instance has no plan yet.
  kLeaving = 201,            // The instance is stopping.
  kQueueFull = 202,          // The admission queue is full.
  kDeadlineTooShort = 203,   // First token predicted after the deadline.
  kDeadlineExpired = 204,    // The deadline passed while waiting.
  kAccountLimit = 205,       // The account has too many active requests.
  kServiceLimit = 206,       // The service's concurrency limit is reached.
  kNoBackend = 207,          // No usable backend server for the request.
  kClaimUnavailable = 208,   // The store could not record the key's owner.
  kOutcomeTableFull = 209,   // No memory left to keep outcomes.
  kConnectFailed = 210,      // Could not connect to the backend server.
  kInstanceSuspended = 211,  // The instance was paused and is rejoining.
  kPromptQuarantined = 212,  // A part of the prompt crashes servers.
  kNoMemory = 213,           // No memory left for the body of the request.
  kQuotaExceeded = 214,      // The account's quota is used up.

  // 3xx: the request may have been executed.
  kOwnerGone = 300,         // The key's owner died; the outcome is unknown.
  kOwnerUnreachable = 301,  // The key's owner does not respond.
  kKeyExpired = 302,        // Outcomes are not kept for a key this old.
  kBackendTimeout = 303,    // The backend server did not respond in time.
  kBackendBroken = 304,     // The backend server's response was truncated.
  kStreamLost = 305,        // The stream to resume no longer exists.

  // 4xx: operator actions.
  kPlanInvalid = 400,       // The plan has an error.
  kPlanConflict = 401,      // Another plan revision was accepted first.
  kStoreUnavailable = 402,  // The store does not respond.
  kSubmitUnknown = 403,     // The submission may have been accepted.
  kSettingsInvalid = 404,   // The settings file has an error.
  kOrderRejected = 405,     // A model server refused an order.

  // 5xx: communication between instances, and internal errors.
  kPeerUnreachable = 500,  // No response from another instance.
  kPeerMalformed = 501,    // A message from another instance is invalid.
  kInternal = 599,         // A bug in this program.
};

// The properties of one result code.
struct ErrorInfo {
  ErrorCode code;
  std::string_view name;  // In metrics and logs; snake case.
  int http_status;        // Sent to callers.
  Execution execution;
  std::string_view message;
};

// Returns the properties of all codes, ordered by number.
std::span<const ErrorInfo> ErrorTable();

// Returns the properties of `code`. Every enumerator has a row in ErrorTable().
const ErrorInfo& GetErrorInfo(ErrorCode code);

// A result code with a detail (may be empty) on this occurrence of it.
struct Error {
  ErrorCode code = ErrorCode::kInternal;
  std::string detail;

  bool operator==(const Error&) const = default;
};

// The value of a Result of an operation that returns none.
struct Unit {
  bool operator==(const Unit&) const = default;
};

// Either the value of a successful operation or an Error.
template <typename T>
using Result = std::variant<T, Error>;

// True if `result` holds a value.
template <typename T>
bool Ok(const Result<T>& result) {
  return result.index() == 0;
}

}  // namespace mangoyoke

#endif  // MANGOYOKE_ERROR_H_
