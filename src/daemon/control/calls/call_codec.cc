// JSON layout of service requests and outcomes.

#include "daemon/control/calls/call_codec.h"

namespace mangoyoke {

using Json = nlohmann::json;

namespace {

// Bodies may hold arbitrary bytes, so they are encoded as JSON binary values.
Json EncodeBytes(const std::string& bytes) {
  return Json::binary(
      Json::binary_t::container_type(bytes.begin(), bytes.end()));
}

std::string DecodeBytes(const Json& message) {
  const auto& bytes = message.get_binary();
  return std::string(bytes.begin(), bytes.end());
}

}  // namespace

Json EncodeRequest(const ServiceRequest& request) {
  return Json::array({request.service, request.method, request.path,
                      request.content_type, EncodeBytes(request.body),
                      request.account, request.idempotency_key,
                      request.timeout_ms});
}

ServiceRequest DecodeRequest(const Json& message) {
  ServiceRequest request;
  request.service = message.at(0).get<std::string>();
  request.method = message.at(1).get<std::string>();
  request.path = message.at(2).get<std::string>();
  request.content_type = message.at(3).get<std::string>();
  request.body = DecodeBytes(message.at(4));
  request.account = message.at(5).get<std::string>();
  request.idempotency_key = message.at(6).get<std::string>();
  request.timeout_ms = message.at(7).get<int64_t>();
  return request;
}

Json EncodeOutcome(const Outcome& outcome) {
  if (const auto* error = std::get_if<Error>(&outcome)) {
    return Json{{"code", static_cast<int>(error->code)},
                {"detail", error->detail}};
  }
  const auto& response = std::get<ServiceResponse>(outcome);
  return Json{{"status", response.status},
              {"type", response.content_type},
              {"body", EncodeBytes(response.body)}};
}

Outcome DecodeOutcome(const Json& message) {
  if (message.contains("code")) {
    return Error{static_cast<ErrorCode>(message["code"].get<int>()),
                 message.value("detail", "")};
  }
  return ServiceResponse{message.at("status").get<int>(),
                         message.at("type").get<std::string>(),
                         DecodeBytes(message.at("body"))};
}

}  // namespace mangoyoke
