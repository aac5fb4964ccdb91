// Implementation of the admin client on the asynchronous HTTP client.

#include "tool/admin_client.h"

#include "http/blocking_call.h"

namespace mangoyoke {
namespace {

using Json = nlohmann::json;

constexpr Millis kTimeout{8000};

Error ErrorOf(const ClientResponse& response) {
  Json body = Json::parse(response.body, nullptr, false);
  if (body.is_object() && body.contains("error") && body["error"].is_object()) {
    const Json& error = body["error"];
    return Error{static_cast<ErrorCode>(error.value("code", 599)),
                 error.value("detail", error.value("message", ""))};
  }
  return Error{ErrorCode::kInternal,
               "status " + std::to_string(response.status)};
}

}  // namespace

AdminClient::AdminClient(std::vector<std::string> addresses)
    : addresses_(std::move(addresses)) {}

Result<std::string> AdminClient::Get(const std::string& path) {
  Error last{ErrorCode::kPeerUnreachable, "no instance answers"};
  for (const std::string& address : addresses_) {
    ClientRequest request;
    request.url = "http://" + address + path;
    request.timeout = kTimeout;
    ClientResponse response = CallAndWait(std::move(request));
    if (response.Succeeded()) {
      return response.body;
    }
    if (response.result == TransferResult::kComplete) {
      return ErrorOf(response);
    }
    last.detail = address + ": " + response.error;
  }
  return last;
}

Result<Json> AdminClient::Post(const std::string& path, const Json& body) {
  Error last{ErrorCode::kPeerUnreachable, "no instance answers"};
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
      return ErrorOf(response);
    }
    if (response.result != TransferResult::kConnectFailed) {
      return Error{ErrorCode::kSubmitUnknown, address + ": " + response.error};
    }
    last.detail = address + ": " + response.error;
  }
  return last;
}

}  // namespace mangoyoke
