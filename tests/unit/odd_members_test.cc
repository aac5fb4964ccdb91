// Member records with missing fields and wrong values.

#include <gtest/gtest.h>

#include "membership/member_codec.h"

namespace mangoyoke {
namespace {

using Json = nlohmann::json;

MemberRecord SoundRecord() {
  MemberRecord record;
  record.id = "sound";
  record.zone = "z";
  record.peer_address = "127.0.0.1:1";
  return record;
}

TEST(OddMembersTest, OddRecordCostsAllRecordsOfAMessage) {
  Json sound = EncodeMembers({SoundRecord()})[0];
  std::vector<Json> odd = {Json(), Json(7), Json("text"), Json::array(),
                           Json::object()};
  for (size_t field = 0; field < sound.size(); ++field) {
    Json record = sound;
    record[field] = Json::array({1});
    odd.push_back(record);
  }
  for (const Json& value : {Json(-1), Json(1.5), Json(4294967296), Json(99)}) {
    Json record = sound;
    record[3] = value;
    odd.push_back(record);
  }
  for (size_t field : {1, 2}) {
    Json record = sound;
    record[field] = -1;
    odd.push_back(record);
  }
  for (const Json& record : odd) {
    std::vector<MemberRecord> decoded;
    EXPECT_NO_THROW(decoded =
                        DecodeMembers(Json::array({sound, record, sound})))
        << record;
    EXPECT_EQ(decoded.size(), 2U) << record;
  }
}

}  // namespace
}  // namespace mangoyoke
