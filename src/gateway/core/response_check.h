// Decides whether what a server sent is the response to the request in
// progress, from the decoded head alone. The only place that does, for each
// exchange of a connection and for each kind of request.

#ifndef MANGOYOKE_GATEWAY_CORE_RESPONSE_CHECK_H_
#define MANGOYOKE_GATEWAY_CORE_RESPONSE_CHECK_H_

#include <string>
#include <string_view>

#include "gateway/core/codecs.h"

namespace mangoyoke {

// What the response to a request has to bear.
struct ExpectedResponse {
  // The id that the request bears; empty if it has none.
  std::string request_id;
  // A success tells that the request was executed, and bears a stamp.
  bool stamped = false;

  bool operator==(const ExpectedResponse&) const = default;
};

// Why a response is not the one to the request in progress.
enum class ResponseFault {
  kNone,
  kInvalidStatus,  // The status is not one of a final response.
  kOtherRequest,   // Bears the id of another request.
  kNoRequestId,    // Bears no id, although the request does.
  kRepeatedField,  // Bears several ids or stamps.
  kNoStamp,        // A success without the stamp that it has to bear.
  kEncodedBody,    // The body is in an encoding that was not asked for.
};

// The name of `fault` in logs.
std::string_view ResponseFaultName(ResponseFault fault);

// Whether a response with `status` announces another one (1xx). Not 101, which
// would end the use of HTTP and which no request asks for.
bool IsInterimStatus(unsigned status);

// Returns what is wrong with `response`, which is not an interim one.
ResponseFault FindResponseFault(const BackendResponse& response,
                                const ExpectedResponse& expected);

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CORE_RESPONSE_CHECK_H_
