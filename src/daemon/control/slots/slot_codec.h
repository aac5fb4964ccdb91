// Slot messages between instances. Deadlines travel as time left.

#ifndef MANGOYOKE_DAEMON_CONTROL_SLOTS_SLOT_CODEC_H_
#define MANGOYOKE_DAEMON_CONTROL_SLOTS_SLOT_CODEC_H_

#include <nlohmann/json.hpp>

#include "mangoyoke/slot_allocator.h"

namespace mangoyoke {

// The decoders throw nlohmann::json::exception on a malformed message; the
// transport answers that with kPeerMalformed.
nlohmann::json EncodeSlotRequest(const SlotRequest& request, TimePoint now);
SlotRequest DecodeSlotRequest(const nlohmann::json& message, TimePoint now);

nlohmann::json EncodeGrant(const SlotGrant& grant);
SlotGrant DecodeGrant(const nlohmann::json& message);

nlohmann::json EncodeOwnedGrant(const OwnedGrant& owned);
OwnedGrant DecodeOwnedGrant(const nlohmann::json& message);

// "instance/incarnation", as engines list it.
std::string FormatOwner(const RequestOwner& owner);
RequestOwner ParseOwner(const std::string& text);

}  // namespace mangoyoke

#endif  // MANGOYOKE_DAEMON_CONTROL_SLOTS_SLOT_CODEC_H_
