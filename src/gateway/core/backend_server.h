// A backend server as the registry describes it.

#ifndef MANGOYOKE_GATEWAY_CORE_BACKEND_SERVER_H_
#define MANGOYOKE_GATEWAY_CORE_BACKEND_SERVER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "mangoyoke/plan.h"

namespace mangoyoke {

enum class ServerStage {
  kCombined,  // Serves requests from end to end.
  kPrefill,   // Reads prompts for others.
  kDecode,    // Generates tokens; reads prompts slowly if it must.
};

enum class ServerState { kReady, kLeaving };

std::string_view StageName(ServerStage stage);

// One incarnation of a backend server.
struct BackendServer {
  BackendId id;
  int64_t start_time_ms =
      0;  // Start of the incarnation, Unix time; 0 if unknown.
  ServiceId service;
  std::string address;  // "IP:port".
  ZoneId zone;
  int slots = 1;  // Requests it works on at once.
  ServerState state = ServerState::kReady;
  ServerStage stage = ServerStage::kCombined;

  bool operator==(const BackendServer&) const = default;
};

// All usable backend servers at one version of the registry. Immutable.
struct ServerSnapshot {
  uint64_t version = 0;
  std::map<BackendId, BackendServer> servers;

  bool operator==(const ServerSnapshot&) const = default;

  const BackendServer* Find(const BackendId& id) const {
    auto found = servers.find(id);
    return found == servers.end() ? nullptr : &found->second;
  }
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CORE_BACKEND_SERVER_H_
