// Member records as messages between instances.

#ifndef MANGOYOKE_MEMBERSHIP_MEMBER_CODEC_H_
#define MANGOYOKE_MEMBERSHIP_MEMBER_CODEC_H_

#include <nlohmann/json.hpp>
#include <vector>

#include "mangoyoke/membership.h"

namespace mangoyoke {

// Arrays without member names, for size.
nlohmann::json EncodeMembers(const std::vector<MemberRecord>& records);

// Throws nlohmann::json::exception on a malformed message; the transport
// answers that with kPeerMalformed.
std::vector<MemberRecord> DecodeMembers(const nlohmann::json& message);

}  // namespace mangoyoke

#endif  // MANGOYOKE_MEMBERSHIP_MEMBER_CODEC_H_
