// Encodes service requests and their outcomes for messages between instances.

#ifndef MANGOYOKE_DAEMON_CONTROL_CALLS_CALL_CODEC_H_
#define MANGOYOKE_DAEMON_CONTROL_CALLS_CALL_CODEC_H_

#include <nlohmann/json.hpp>

#include "daemon/control_interface.h"

namespace mangoyoke {

// The decoders throw nlohmann::json::exception if the message is malformed.
nlohmann::json EncodeRequest(const ServiceRequest& request);
ServiceRequest DecodeRequest(const nlohmann::json& message);

nlohmann::json EncodeOutcome(const Outcome& outcome);
Outcome DecodeOutcome(const nlohmann::json& message);

}  // namespace mangoyoke

#endif  // MANGOYOKE_DAEMON_CONTROL_CALLS_CALL_CODEC_H_
