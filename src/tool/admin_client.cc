// Implementation of the admin client on blocking HTTP calls.

#include "tool/admin_client.h"

#include "http/blocking_call.h"

namespace mangoyoke {
namespace {

using Json = nlohmann::json;

constexpr Millis kTimeout{8000};

// The error in the JSON body of a failed response. A response without one
// becomes kInternal.
Error ParseErrorResponse(const ClientResponse& response) {
  Json body = Json::parse(response.body, nullptr, false);
  if (body.is_object() && body.contains("error") && body["error"].is_object()) {
    const Json& error = body["error"];
    return Error{static_cast<ErrorCode>(error.value("code", 599)),
                 error.value("detail", error.value("message", ""))};
  }
  return Error{ErrorCode::kInternal,
               "response without a JSON error, HTTP status " +
                   std::to_string(response.status)};
}

}  // namespace

AdminClient::AdminClient(std::vector<std::string> addresses)
    : addresses_(std::move(addresses)) {}

Result<std::string> AdminClient::Get(const std::string& path) {
  Error last_error{ErrorCode::kPeerUnreachable, "no instance responded"};
  for (const std::string& address : addresses_) {
    ClientRequest request;
    request.url = "http://" + address + path;
    request.timeout = kTimeout;
    ClientResponse response = CallAndWait(std::move(request));
    if (response.Succeeded()) {
      return response.body;
    }
    if (response.result == TransferResult::kComplete) {
      return ParseErrorResponse(response);
    }
    last_error.detail = address + ": " + response.error;
  }
  return last_error;
}

Result<Json> AdminClient::Post(const std::string& path, const Json& body) {
  Error last_error{ErrorCode::kPeerUnreachable, "no instance responded"};
  for (const std::string& address : addresses_) {
    ClientRequest request;
    request.method = "POST";
    request.url = "http://" + address + path;
    request.body = body.dump();
    request.timeout = kTimeout;
    request.fresh_connection = true;
    ClientResponse response = CallAndWait(std::move(request));
    if (response.Succeeded()) {
      return Json::parse(response.body, nullptr, false);
    }
    if (response.result == TransferResult::kComplete) {
      return ParseErrorResponse(response);
    }
    if (response.result != TransferResult::kConnectFailed) {
      return Error{ErrorCode::kSubmitUnknown, address + ": " + response.error};
    }
    last_error.detail = address + ": " + response.error;
  }
  return last_error;
}

}  // namespace mangoyoke
