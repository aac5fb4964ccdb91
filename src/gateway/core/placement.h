// Choice of the backend server for a request, from the state that this instance
// knows at that moment. Changes none of that state, except that expired load
// reports may be dropped.

#ifndef MANGOYOKE_GATEWAY_CORE_PLACEMENT_H_
#define MANGOYOKE_GATEWAY_CORE_PLACEMENT_H_

#include <functional>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "gateway/core/backend_server.h"
#include "gateway/core/server_health.h"
#include "gateway/core/server_load.h"
#include "gateway/core/server_notices.h"
#include "gateway/core/server_speed.h"
#include "gateway/core/serving_config.h"
#include "mangoyoke/clock.h"

namespace mangoyoke {

// A decode server takes this many times longer for a prefill than a prefill
// server.
inline constexpr double kDecodePrefillSlowdown = 2;

// Share of a server's memory that may be allocated to requests; the rest is
// left for active requests to grow.
inline constexpr double kMaxMemoryShare = 0.9;

// The random part of a choice by learned speed, as the standard deviation of a
// logarithm: that of the estimate, or more where the servers of the pool
// differ. Instances see each other's work late; without the random part they
// would all choose the same fast server at once.
double DrawDeviation(const SpeedEstimate& speed);
// A random factor whose logarithm is uniform, with mean 0 and the standard
// deviation DrawDeviation(). `random`: in [0, 1).
double DrawnFactor(const SpeedEstimate& speed, double random);

// The request to place.
struct PlacementQuery {
  ServiceId service;
  ServerStage stage = ServerStage::kCombined;
  int64_t prompt_tokens = 0;  // Still to be prefilled.
  int64_t kv_tokens = 0;      // Memory that the request will occupy, in tokens.
  // Share of a server's memory that may be in use with this request.
  double max_memory_share = kMaxMemoryShare;
  // Zone at the other end of a data transfer; servers in other zones cost more.
  // Empty: no preference.
  ZoneId preferred_zone;
  std::set<BackendId> excluded;  // Servers that must not be chosen.
  std::set<BackendId> only;      // If not empty, no other may be chosen.
};

// The state that the choice is based on.
struct PlacementContext {
  const ServerSnapshot& servers;
  ServerLoad& load;
  const ServerHealth& health;
  const ServerNotices& notices;
  const ServiceRule* service = nullptr;  // Null if not configured.
  double prefill_ms_per_token = 0;
  TimePoint now;
  // Null if the speed of servers is not learned.
  ServerSpeeds* speeds = nullptr;
};

// The chosen server and the values that determined the choice.
struct PlacementChoice {
  const BackendServer* server = nullptr;  // Null: none qualifies.
  double cost = 0;                        // Estimated time in milliseconds.
  LoadCharge load;           // In flight there, without this request.
  bool usable = true;        // False: avoided for recent failures.
  bool has_capacity = true;  // Whether its memory suffices, as far as known.
  double memory_share = 0;   // Memory in use without this request; 1 is full.
  SpeedEstimate speed;       // As learned; neutral if it is not.
  // Servers that were passed over since they want no new work.
  int draining_servers = 0;
  int paused_servers = 0;
  std::optional<TimePoint> pause_ends;  // The first of those pauses to end.
};

// Values of PlacementCandidate::exclusion: the server has no memory for the
// request, or is avoided while others are left.
inline constexpr std::string_view kExcludedForMemory = "its memory is full";
inline constexpr std::string_view kExcludedForFailures =
    "it is avoided for its failures";

// One server of the query's service and stage, as LeastTimePlacement sees it.
struct PlacementCandidate {
  const BackendServer* server = nullptr;
  double cost = 0;  // Estimated time in milliseconds, without a random part.
  LoadCharge load;  // In flight there, without the request.
  SpeedEstimate speed;
  double failure_rate = 0;
  double memory_share = 0;     // In use without the request; 1 is full.
  std::string_view exclusion;  // Why it gets no request; empty: it may.
  std::optional<TimePoint> paused_until;
};

// All servers of the query's service and stage: those that may get the request
// first, and among them those with less cost first.
std::vector<PlacementCandidate> ListCandidates(const PlacementQuery& query,
                                               const PlacementContext& context);

// Interface of a placement policy.
class ServerPlacement {
 public:
  virtual ~ServerPlacement() = default;
  // Chooses a server for the request. The choice has no server if none of the
  // service, in the stage, is ready and not excluded.
  virtual PlacementChoice Choose(const PlacementQuery& query,
                                 const PlacementContext& context) = 0;
};

// Chooses the server with the least estimated time, computed from work in
// flight, slowness, failures and availability zone. Among servers with nearly
// equal estimates the choice is random.
class LeastTimePlacement : public ServerPlacement {
 public:
  // `random` must return numbers in [0, 1).
  explicit LeastTimePlacement(std::function<double()> random)
      : random_(std::move(random)) {}

  PlacementChoice Choose(const PlacementQuery& query,
                         const PlacementContext& context) override;

 private:
  std::function<double()> random_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CORE_PLACEMENT_H_
