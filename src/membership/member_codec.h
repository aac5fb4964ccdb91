// Encoding of member records for messages between instances.

#ifndef MANGOYOKE_MEMBERSHIP_MEMBER_CODEC_H_
#define MANGOYOKE_MEMBERSHIP_MEMBER_CODEC_H_

#include <nlohmann/json.hpp>
#include <vector>

#include "mangoyoke/membership.h"

namespace mangoyoke {

// Encodes each record as an array of its fields, without field names, to keep
// messages small.
nlohmann::json EncodeMembers(const std::vector<MemberRecord>& records);

// Decodes EncodeMembers. Each record stands for itself: those that cannot be
// read are logged and left out.
std::vector<MemberRecord> DecodeMembers(const nlohmann::json& message);

}  // namespace mangoyoke

#endif  // MANGOYOKE_MEMBERSHIP_MEMBER_CODEC_H_
