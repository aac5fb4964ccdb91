// Compares a response with what its request expects.

#include "gateway/core/response_check.h"

namespace mangoyoke {
namespace {

constexpr unsigned kInterimClass = 1;
constexpr unsigned kSuccessClass = 2;
constexpr unsigned kLastClass = 5;
constexpr unsigned kSwitchingProtocols = 101;

unsigned ClassOf(unsigned status) {
  return status / 100;
}

bool IsFinalStatus(unsigned status) {
  return ClassOf(status) >= kSuccessClass && ClassOf(status) <= kLastClass;
}

bool IsSuccess(unsigned status) {
  return ClassOf(status) == kSuccessClass;
}

}  // namespace

std::string_view ResponseFaultName(ResponseFault fault) {
  switch (fault) {
    case ResponseFault::kNone:
      return "none";
    case ResponseFault::kInvalidStatus:
      return "invalid_status";
    case ResponseFault::kOtherRequest:
      return "other_request";
    case ResponseFault::kNoRequestId:
      return "no_request_id";
    case ResponseFault::kRepeatedField:
      return "repeated_field";
    case ResponseFault::kNoStamp:
      return "no_stamp";
    case ResponseFault::kEncodedBody:
      return "encoded_body";
  }
  return "none";
}

bool IsInterimStatus(unsigned status) {
  return ClassOf(status) == kInterimClass && status != kSwitchingProtocols;
}

ResponseFault FindResponseFault(const BackendResponse& response,
                                const ExpectedResponse& expected) {
  if (!IsFinalStatus(response.status)) {
    return ResponseFault::kInvalidStatus;
  }
  if (response.repeated_field) {
    return ResponseFault::kRepeatedField;
  }
  if (response.request_id != expected.request_id) {
    return response.request_id.empty() ? ResponseFault::kNoRequestId
                                       : ResponseFault::kOtherRequest;
  }
  if (response.encoded_body) {
    return ResponseFault::kEncodedBody;
  }
  if (expected.stamped && IsSuccess(response.status) && !response.stamped) {
    return ResponseFault::kNoStamp;
  }
  return ResponseFault::kNone;
}

}  // namespace mangoyoke
