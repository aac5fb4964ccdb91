// The configuration that entries follow: which request goes to which service
// and what may be done with it. An immutable value; a new revision is a new
// value.

#ifndef MANGOYOKE_GATEWAY_CORE_SERVING_CONFIG_H_
#define MANGOYOKE_GATEWAY_CORE_SERVING_CONFIG_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mangoyoke/clock.h"
#include "mangoyoke/plan.h"

namespace mangoyoke {

enum class RequestKind {
  kIdempotent,     // May run more than once.
  kNonIdempotent,  // Runs at most once for each request.
  kStreaming,      // Events; runs at most once unless it may be resumed.
};

// A service that takes part of a route's requests.
struct ServiceShare {
  ServiceId service;
  uint32_t weight = 1;  // Relative to the other shares of the route.

  bool operator==(const ServiceShare&) const = default;
};

struct RouteRule {
  std::string id;
  std::string host;    // Lower case, without port.
  std::string prefix;  // Begins and ends with a slash.
  RequestKind kind = RequestKind::kNonIdempotent;
  Millis timeout{0};         // Longest time until the final answer.
  Millis target_latency{0};  // Until the answer, or its first event.
  Millis target_gap{0};      // Between events.
  int priority = 0;          // 0 is the most urgent.
  std::vector<ServiceShare> services;
  int max_servers = 1;  // Servers that one request may run on.
  bool resumable = false;

  bool operator==(const RouteRule&) const = default;

  // Whether a request that may have run may be sent again.
  bool IsRetrySafe() const {
    return kind == RequestKind::kIdempotent ||
           (kind == RequestKind::kStreaming && resumable);
  }
};

// What a service's engines are like. Absent for plain services.
struct EngineSpec {
  int64_t slots = 0;
  int64_t kv_tokens = 0;          // Memory of one engine, in tokens.
  int64_t tokens_per_event = 1;   // Tokens in one event of a stream.
  Millis max_reservation_ttl{0};  // Longest reservation of room; 0: none.
  Millis handle_ttl{0};           // How long a prefill result is kept.
  Millis role_switch_time{0};     // Until an engine is back in another stage.

  bool operator==(const EngineSpec&) const = default;
};

struct ServiceRule {
  ServiceId id;
  int max_connections = 0;  // To one server, from all callers. 0: no limit.
  std::optional<EngineSpec> engine;

  bool operator==(const ServiceRule&) const = default;
};

// What a caller may send and how long it may take.
struct CallerLimits {
  uint32_t header_bytes = 16 << 10;
  uint64_t body_bytes = 4 << 20;
  Millis header_timeout{3000};
  Millis idle_timeout{15'000};

  bool operator==(const CallerLimits&) const = default;
};

class ServingConfig {
 public:
  ServingConfig() = default;
  ServingConfig(Revision revision,
                std::vector<RouteRule> routes,
                std::vector<ServiceRule> services,
                CallerLimits limits);

  bool operator==(const ServingConfig&) const = default;

  Revision revision() const { return revision_; }
  const CallerLimits& limits() const { return limits_; }
  size_t route_count() const;

  // The route with the longest prefix that begins `path`, among those of
  // `host` (as sent: any case, with or without port). Null if none.
  const RouteRule* Match(std::string_view host, std::string_view path) const;
  // Null if the service is not configured.
  const ServiceRule* FindService(const ServiceId& id) const;

 private:
  Revision revision_ = 0;
  // By host; each list from the longest to the shortest prefix.
  std::map<std::string, std::vector<RouteRule>, std::less<>> routes_;
  std::map<ServiceId, ServiceRule> services_;
  CallerLimits limits_;
};

// The service that takes a request which hashes to `hash`, by weight. Null if
// the route has no service with a weight above 0.
const ServiceId* PickService(const RouteRule& route, uint64_t hash);

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CORE_SERVING_CONFIG_H_
