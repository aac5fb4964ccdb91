// Cost of a backend server for a request.

#include "gateway/core/placement.h"

#include <algorithm>

namespace mangoyoke {
namespace {

// A plain request's time before anything was measured.
constexpr double kServiceMs = 60;
// Time that a failed request costs its caller.
constexpr double kFailureMs = 400;
constexpr double kOtherZoneMs = 25;
// Decoding next to another stream.
constexpr double kStreamMs = 5;
// Memory is full: the request waits for others to end.
constexpr double kFullMs = 2000;
// Costs this close count as equal.
constexpr double kNoiseMs = 3;

double PlainCost(const BackendServer& server, const LoadCharge& load) {
  double waiting =
      static_cast<double>(load.requests) / std::max(1, server.slots);
  return kServiceMs * (waiting < 1 ? 0.3 * waiting : waiting);
}

double PrefillCost(const PlacementQuery& query,
                   const LoadCharge& load,
                   double ms_per_token) {
  return ms_per_token *
         static_cast<double>(load.prompt_tokens + query.prompt_tokens);
}

// Share of the server's memory that is in use, with `more` tokens added.
double MemoryShare(const LoadCharge& load,
                   int64_t more,
                   const ServiceRule* service) {
  if (service == nullptr || !service->engine ||
      service->engine->kv_tokens <= 0) {
    return 0;
  }
  return static_cast<double>(load.kv_tokens + more) /
         static_cast<double>(service->engine->kv_tokens);
}

double DecodeCost(const PlacementQuery& query,
                  const PlacementContext& context,
                  const LoadCharge& load) {
  double cost = kStreamMs * static_cast<double>(load.requests) +
                kDecodePrefillSlowdown *
                    PrefillCost(query, load, context.prefill_ms_per_token);
  if (MemoryShare(load, query.kv_tokens, context.service) >
      query.max_memory_share) {
    cost += kFullMs;
  }
  return cost;
}

double Cost(const PlacementQuery& query,
            const PlacementContext& context,
            const BackendServer& server,
            const LoadCharge& load) {
  double cost = 0;
  switch (server.stage) {
    case ServerStage::kPrefill:
      cost = PrefillCost(query, load, context.prefill_ms_per_token);
      break;
    case ServerStage::kDecode:
      cost = DecodeCost(query, context, load);
      break;
    case ServerStage::kCombined:
      cost = PlainCost(server, load);
      break;
  }
  cost *= std::max(1.0, context.health.Slowness(server, context.now));
  cost += kFailureMs * context.health.FailureRate(server, context.now);
  if (!query.preferred_zone.empty() && server.zone != query.preferred_zone) {
    cost += kOtherZoneMs;
  }
  return cost;
}

}  // namespace

PlacementChoice LeastTimePlacement::Choose(const PlacementQuery& query,
                                           const PlacementContext& context) {
  PlacementChoice best;
  bool best_usable = false;
  double best_key = 0;
  for (const auto& [id, server] : context.servers.servers) {
    if (server.service != query.service || server.stage != query.stage ||
        server.state != ServerState::kReady || query.excluded.contains(id)) {
      continue;
    }
    LoadCharge load = context.load.At(id, context.now);
    double cost = Cost(query, context, server, load);
    bool usable = context.health.Usable(server, context.now);
    double key = cost + kNoiseMs * random_();
    // An avoided server is better than none.
    bool better = best.server == nullptr || (usable && !best_usable) ||
                  (usable == best_usable && key < best_key);
    if (better) {
      double after = MemoryShare(load, query.kv_tokens, context.service);
      best = PlacementChoice{&server,
                             cost,
                             load,
                             usable,
                             after <= query.max_memory_share,
                             MemoryShare(load, 0, context.service)};
      best_usable = usable;
      best_key = key;
    }
  }
  return best;
}

}  // namespace mangoyoke
