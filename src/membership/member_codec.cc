// Implementation of the member record encoding.

#include "membership/member_codec.h"

namespace mangoyoke {

using Json = nlohmann::json;

Json EncodeMembers(const std::vector<MemberRecord>& records) {
  Json message = Json::array();
  for (const MemberRecord& record : records) {
    message.push_back(Json::array(
        {record.id, record.incarnation, record.epoch,
         static_cast<int>(record.state), record.leaving, record.zone,
         record.region, record.peer_address, record.caller_address}));
  }
  return message;
}

std::vector<MemberRecord> DecodeMembers(const Json& message) {
  std::vector<MemberRecord> records;
  for (const Json& item : message) {
    MemberRecord record;
    record.id = item.at(0).get<std::string>();
    record.incarnation = item.at(1).get<uint64_t>();
    record.epoch = item.at(2).get<uint64_t>();
    int state = item.at(3).get<int>();
    if (state < 0 || state > static_cast<int>(MemberState::kDead)) {
      continue;
    }
    record.state = static_cast<MemberState>(state);
    record.leaving = item.at(4).get<bool>();
    record.zone = item.at(5).get<std::string>();
    record.region = item.at(6).get<std::string>();
    record.peer_address = item.at(7).get<std::string>();
    record.caller_address = item.at(8).get<std::string>();
    records.push_back(std::move(record));
  }
  return records;
}

}  // namespace mangoyoke
