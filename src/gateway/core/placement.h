// Choice of the backend server for a request: pure functions of what the entry
// knows at that moment.

#ifndef MANGOYOKE_GATEWAY_CORE_PLACEMENT_H_
#define MANGOYOKE_GATEWAY_CORE_PLACEMENT_H_

#include <functional>
#include <set>

#include "gateway/core/backend_server.h"
#include "gateway/core/server_health.h"
#include "gateway/core/server_load.h"
#include "gateway/core/serving_config.h"
#include "mangoyoke/clock.h"

namespace mangoyoke {

// A decode server reads prompts this many times slower than a prefill server.
inline constexpr double kDecodePrefillSlowdown = 2;

// Memory beyond this share is left for running requests to grow into.
inline constexpr double kMaxMemoryShare = 0.9;

// What is chosen for.
struct PlacementQuery {
  ServiceId service;
  ServerStage stage = ServerStage::kCombined;
  int64_t prompt_tokens = 0;
  int64_t kv_tokens = 0;  // Memory that the request will occupy.
  // Share of a server's memory that may be in use with this request.
  double max_memory_share = kMaxMemoryShare;
  ZoneId preferred_zone;  // Preferred zone, where data has to travel from.
  std::set<BackendId> excluded;
};

// What is known at the moment of the choice.
struct PlacementContext {
  const ServerSnapshot& servers;
  ServerLoad& load;
  const ServerHealth& health;
  const ServiceRule* service = nullptr;
  double prefill_ms_per_token = 0;
  TimePoint now;
};

// A chosen server with the figures that decided.
struct PlacementChoice {
  const BackendServer* server = nullptr;  // Null: none is usable.
  double cost = 0;                        // Milliseconds, by estimate.
  LoadCharge load;                        // In flight there before.
  bool usable = true;                     // Not avoided for its failures.
  bool has_capacity = true;  // Memory suffices, as far as is known.
  double memory_share = 0;   // Of the server's memory in use before.
};

class ServerPlacement {
 public:
  virtual ~ServerPlacement() = default;
  virtual PlacementChoice Choose(const PlacementQuery& query,
                                 const PlacementContext& context) = 0;
};

// Takes the server with the least estimated time, by work in flight, slowness
// and failures; near equals are picked among at random.
class LeastTimePlacement : public ServerPlacement {
 public:
  // `random` returns numbers in [0, 1).
  explicit LeastTimePlacement(std::function<double()> random)
      : random_(std::move(random)) {}

  PlacementChoice Choose(const PlacementQuery& query,
                         const PlacementContext& context) override;

 private:
  std::function<double()> random_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CORE_PLACEMENT_H_
