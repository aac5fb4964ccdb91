// Encodes slot messages between instances. Deadlines are sent as the remaining
// time, because steady clocks of two processes are not comparable.

#ifndef MANGOYOKE_DAEMON_CONTROL_SLOTS_SLOT_CODEC_H_
#define MANGOYOKE_DAEMON_CONTROL_SLOTS_SLOT_CODEC_H_

#include <nlohmann/json.hpp>

#include "mangoyoke/slot_allocator.h"

namespace mangoyoke {

// The decoders throw nlohmann::json::exception if the message is malformed; the
// transport then responds with kPeerMalformed.
nlohmann::json EncodeSlotRequest(const SlotRequest& request, TimePoint now);
SlotRequest DecodeSlotRequest(const nlohmann::json& message, TimePoint now);

nlohmann::json EncodeGrant(const SlotGrant& grant);
SlotGrant DecodeGrant(const nlohmann::json& message);

nlohmann::json EncodeOwnedGrant(const OwnedGrant& owned);
OwnedGrant DecodeOwnedGrant(const nlohmann::json& message);

// Formats and parses an owner as "instance/incarnation", the form that engines
// report. Text without a slash is an instance with incarnation 0.
std::string FormatOwner(const RequestOwner& owner);
RequestOwner ParseOwner(const std::string& text);

}  // namespace mangoyoke

#endif  // MANGOYOKE_DAEMON_CONTROL_SLOTS_SLOT_CODEC_H_
