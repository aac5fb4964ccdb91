// The check of responses for tests of connections: by the header "Id" alone.

#ifndef MANGOYOKE_TESTS_SUPPORT_CHECK_ID_H_
#define MANGOYOKE_TESTS_SUPPORT_CHECK_ID_H_

#include <string>

#include "gateway/core/response_check.h"

namespace mangoyoke {

inline ResponseFault CheckId(const http::response_header<>& head,
                             const ExpectedResponse& expected) {
  BackendResponse response;
  response.status = head.result_int();
  response.request_id = std::string(head["Id"]);
  return FindResponseFault(response, expected);
}

}  // namespace mangoyoke

#endif  // MANGOYOKE_TESTS_SUPPORT_CHECK_ID_H_
