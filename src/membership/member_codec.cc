// Implementation of the member record encoding.

#include "membership/member_codec.h"

#include <optional>

#include "base/log.h"

namespace mangoyoke {

using Json = nlohmann::json;

namespace {

// Whether `json` is a whole number that is not below 0, which would wrap
// around.
bool IsCount(const Json& json) {
  return json.is_number_unsigned() ||
         (json.is_number_integer() && json.get<int64_t>() >= 0);
}

// Nothing if a field is missing or has a wrong value.
std::optional<MemberRecord> DecodeMember(const Json& item) try {
  MemberRecord record;
  record.id = item.at(0).get<std::string>();
  for (size_t number : {1, 2, 3}) {
    if (!IsCount(item.at(number))) {
      return std::nullopt;
    }
  }
  record.incarnation = item[1].get<uint64_t>();
  record.epoch = item[2].get<uint64_t>();
  auto state = item[3].get<uint64_t>();
  if (state > static_cast<uint64_t>(MemberState::kDead)) {
    return std::nullopt;
  }
  record.state = static_cast<MemberState>(state);
  record.leaving = item.at(4).get<bool>();
  record.zone = item.at(5).get<std::string>();
  record.region = item.at(6).get<std::string>();
  record.peer_address = item.at(7).get<std::string>();
  record.caller_address = item.at(8).get<std::string>();
  return record;
} catch (const Json::exception&) {
  return std::nullopt;  // The caller logs it.
}

}  // namespace

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
    if (auto record = DecodeMember(item)) {
      records.push_back(std::move(*record));
    } else {
      LogEvent("member_record_unreadable", LogLevel::kWarning)
          .Field("fields", static_cast<int64_t>(item.size()));
    }
  }
  return records;
}

}  // namespace mangoyoke
