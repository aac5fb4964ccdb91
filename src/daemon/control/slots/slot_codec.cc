// JSON layout of slot messages.

#include "daemon/control/slots/slot_codec.h"

#include <cstdlib>

namespace mangoyoke {

using Json = nlohmann::json;

Json EncodeSlotRequest(const SlotRequest& request, TimePoint now) {
  return Json::array({request.id, request.owner.instance,
                      request.owner.incarnation, request.model, request.account,
                      request.account_weight, request.priority,
                      ToMillis(request.deadline - now), request.prompt_tokens,
                      request.prefix_hashes, request.exclude});
}

SlotRequest DecodeSlotRequest(const Json& message, TimePoint now) {
  SlotRequest request;
  request.id = message.at(0).get<std::string>();
  request.owner.instance = message.at(1).get<std::string>();
  request.owner.incarnation = message.at(2).get<uint64_t>();
  request.model = message.at(3).get<std::string>();
  request.account = message.at(4).get<std::string>();
  request.account_weight = message.at(5).get<int64_t>();
  request.priority = message.at(6).get<int>();
  request.deadline = now + FromMillis(message.at(7).get<double>());
  request.prompt_tokens = message.at(8).get<int64_t>();
  request.prefix_hashes = message.at(9).get<std::vector<uint64_t>>();
  request.exclude = message.at(10).get<std::vector<std::string>>();
  return request;
}

Json EncodeGrant(const SlotGrant& grant) {
  return Json::array({grant.id, grant.prefill, grant.decode, grant.predicted_ms,
                      grant.prefill_ms, grant.prefix_tokens});
}

SlotGrant DecodeGrant(const Json& message) {
  SlotGrant grant;
  grant.id = message.at(0).get<std::string>();
  grant.prefill = message.at(1).get<std::string>();
  grant.decode = message.at(2).get<std::string>();
  grant.predicted_ms = message.at(3).get<double>();
  grant.prefill_ms = message.at(4).get<double>();
  grant.prefix_tokens = message.at(5).get<int64_t>();
  return grant;
}

Json EncodeOwnedGrant(const OwnedGrant& owned) {
  return Json::array({EncodeGrant(owned.grant), owned.owner.instance,
                      owned.owner.incarnation, owned.account,
                      owned.prefill_done});
}

OwnedGrant DecodeOwnedGrant(const Json& message) {
  OwnedGrant owned;
  owned.grant = DecodeGrant(message.at(0));
  owned.owner.instance = message.at(1).get<std::string>();
  owned.owner.incarnation = message.at(2).get<uint64_t>();
  owned.account = message.at(3).get<std::string>();
  owned.prefill_done = message.at(4).get<bool>();
  return owned;
}

std::string FormatOwner(const RequestOwner& owner) {
  return owner.instance + "/" + std::to_string(owner.incarnation);
}

RequestOwner ParseOwner(const std::string& text) {
  size_t slash = text.rfind('/');
  if (slash == std::string::npos) {
    return RequestOwner{text, 0};
  }
  return RequestOwner{text.substr(0, slash),
                      std::strtoull(text.c_str() + slash + 1, nullptr, 10)};
}

}  // namespace mangoyoke
