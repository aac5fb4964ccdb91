// Service calls and outcomes as messages between instances.

#ifndef MANGOYOKE_DAEMON_CONTROL_CALLS_CALL_CODEC_H_
#define MANGOYOKE_DAEMON_CONTROL_CALLS_CALL_CODEC_H_

#include <nlohmann/json.hpp>

#include "daemon/control_interface.h"

namespace mangoyoke {

// The decoders throw nlohmann::json::exception on a malformed message.
nlohmann::json EncodeRequest(const ServiceRequest& request);
ServiceRequest DecodeCall(const nlohmann::json& message);

nlohmann::json EncodeOutcome(const Outcome& outcome);
Outcome DecodeOutcome(const nlohmann::json& message);

}  // namespace mangoyoke

#endif  // MANGOYOKE_DAEMON_CONTROL_CALLS_CALL_CODEC_H_
