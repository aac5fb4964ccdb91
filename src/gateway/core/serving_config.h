// The serving configuration of all instances: routes from requests to services,
// with timeouts, target latencies and retry rules, and the services. An
// immutable value; each revision is a new value.

#ifndef MANGOYOKE_GATEWAY_CORE_SERVING_CONFIG_H_
#define MANGOYOKE_GATEWAY_CORE_SERVING_CONFIG_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/core/client_accounts.h"
#include "mangoyoke/clock.h"
#include "mangoyoke/plan.h"

namespace mangoyoke {

// Whether a request may be executed more than once.
enum class RequestKind {
  kIdempotent,     // May be executed more than once.
  kNonIdempotent,  // Executed at most once.
  kStreaming,      // Event stream; executed at most once unless resumable.
};

// A service that receives a share of a route's requests.
struct ServiceShare {
  ServiceId service;
  uint32_t weight = 1;  // Relative to the other shares of the route.

  bool operator==(const ServiceShare&) const = default;
};

// How to serve the requests of one host and path prefix.
struct RouteRule {
  std::string id;
  std::string host;    // Lower case, without port.
  std::string prefix;  // Begins and ends with a slash.
  RequestKind kind = RequestKind::kNonIdempotent;
  Millis timeout{0};         // Longest time until the final response.
  Millis target_latency{0};  // Until the response, or its first event.
  Millis target_gap{0};      // Target for the time between events.
  int priority = 0;          // 0 is the most urgent.
  std::vector<ServiceShare> services;
  int max_servers = 1;     // Most servers that may execute one request.
  bool resumable = false;  // Whether another server may resume a stream.
  bool needs_key = true;   // If the configuration has client accounts.

  bool operator==(const RouteRule&) const = default;

  // Whether a request that a server may have executed may be retried.
  bool IsRetrySafe() const {
    return kind == RequestKind::kIdempotent ||
           (kind == RequestKind::kStreaming && resumable);
  }
};

// Properties of a service's LLM servers. Absent for plain services.
struct EngineSpec {
  int64_t slots = 0;              // Concurrent requests of one server.
  int64_t kv_tokens = 0;          // Memory of one server, in tokens.
  int64_t tokens_per_event = 1;   // Tokens in one event of a stream.
  Millis max_reservation_ttl{0};  // Longest TTL of a KV reservation; 0: none.
  Millis handle_ttl{0};        // How long a prefill server keeps a KV handle.
  Millis role_switch_time{0};  // Time that a server takes to change its stage.

  bool operator==(const EngineSpec&) const = default;
};

// Configuration of one service.
struct ServiceRule {
  ServiceId id;
  int max_connections = 0;  // To one server, for all callers. 0: no limit.
  std::optional<EngineSpec> engine;

  bool operator==(const ServiceRule&) const = default;
};

// Limits on the size and duration of callers' requests.
struct CallerLimits {
  uint32_t header_bytes = 16 << 10;
  uint64_t body_bytes = 4 << 20;
  Millis header_timeout{3000};  // Until the whole header has arrived.
  Millis idle_timeout{15'000};  // Without data from the caller.

  bool operator==(const CallerLimits&) const = default;
};

// One revision of the configuration.
class ServingConfig {
 public:
  ServingConfig() = default;
  ServingConfig(Revision revision,
                std::vector<RouteRule> routes,
                std::vector<ServiceRule> services,
                CallerLimits limits,
                ClientAccounts accounts = {});

  bool operator==(const ServingConfig&) const = default;

  Revision revision() const { return revision_; }
  const CallerLimits& limits() const { return limits_; }
  const ClientAccounts& accounts() const { return accounts_; }
  // Number of routes of all hosts.
  size_t route_count() const;

  // The route with the longest prefix of `path`, among the routes of
  // `host` (as sent: any case, with or without port). Null if none.
  const RouteRule* Match(std::string_view host, std::string_view path) const;
  // The service with this id; null if it is not configured.
  const ServiceRule* FindService(const ServiceId& id) const;

 private:
  Revision revision_ = 0;
  // By host; each list from the longest to the shortest prefix.
  std::map<std::string, std::vector<RouteRule>, std::less<>> routes_;
  std::map<ServiceId, ServiceRule> services_;
  CallerLimits limits_;
  ClientAccounts accounts_;
};

// Chooses the service for a request by its hash, in proportion to the weights.
// Null if the route has no service with a weight above 0.
const ServiceId* PickService(const RouteRule& route, uint64_t hash);

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CORE_SERVING_CONFIG_H_
