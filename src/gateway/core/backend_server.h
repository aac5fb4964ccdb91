// A backend server as described by its row in the registry.

#ifndef MANGOYOKE_GATEWAY_CORE_BACKEND_SERVER_H_
#define MANGOYOKE_GATEWAY_CORE_BACKEND_SERVER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gateway/core/store_version.h"
#include "mangoyoke/plan.h"

namespace mangoyoke {

// Which part of a request a server handles.
enum class ServerStage {
  kCombined,  // Serves whole requests: prefill and decode.
  kPrefill,   // Computes prefills for decode servers.
  kDecode,    // Generates tokens; can prefill too, but more slowly.
};

// Whether a server takes new requests or is draining.
enum class ServerState { kReady, kLeaving };

// The name of `stage` in the outer interfaces; "whole" for kCombined.
std::string_view StageName(ServerStage stage);

// One incarnation of a backend server.
struct BackendServer {
  BackendId id;
  // Start of the incarnation, Unix time in ms; 0 if unknown.
  int64_t start_time_ms = 0;
  ServiceId service;
  std::string address;  // "IP:port".
  ZoneId zone;
  int slots = 1;  // Requests that it serves concurrently.
  ServerState state = ServerState::kReady;
  ServerStage stage = ServerStage::kCombined;

  bool operator==(const BackendServer&) const = default;
};

// Identifies one incarnation of a server.
std::string IncarnationOf(const BackendServer& server);

// All known backend servers at one version of the registry. Published as an
// immutable value.
struct ServerSnapshot {
  StoreVersion version;
  std::map<BackendId, BackendServer> servers;

  bool operator==(const ServerSnapshot&) const = default;

  // The server with this id; null if there is none.
  const BackendServer* Find(const BackendId& id) const {
    auto found = servers.find(id);
    return found == servers.end() ? nullptr : &found->second;
  }
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CORE_BACKEND_SERVER_H_
