// Estimates the cost, in milliseconds, of serving a request at each server.

#include "gateway/core/placement.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <utility>

namespace mangoyoke {
namespace {

// Assumed service time of a request at a combined server or of a plain service.
constexpr double kCombinedServiceMs = 60;
// Time that a failed attempt costs the caller.
constexpr double kFailureCostMs = 400;
// Cost of using a server outside the preferred availability zone.
constexpr double kCrossZoneCostMs = 25;
// Slowdown by each other stream that the server decodes.
constexpr double kOtherStreamCostMs = 5;
// Cost when memory is full and the request waits for others to end.
constexpr double kMemoryFullCostMs = 2000;
// Upper limit of the random part of a cost, by which the choice among servers
// with nearly equal costs is random.
constexpr double kRandomSpreadMs = 3;

// Random part of a choice, in deviations between the servers of the pool.
constexpr double kSpreadDraw = 2;
// Limit of the random part of a choice that follows from the differences
// between servers. More would send too much to slow ones.
constexpr double kMaxSpreadDraw = 0.4;
// Expected time of an event of a stream at an idle decode server, and of a
// request at an idle combined server, as costs: the part of the time that
// differs with the speed of the server, even if it is idle.
constexpr double kIdleDecodeCostMs = kOtherStreamCostMs;
constexpr double kIdleCombinedCostMs = kCombinedServiceMs;

// Cost by active requests per slot. While a slot is free (fewer than one
// request per slot), only 0.3 of it counts.
double CombinedCost(const BackendServer& server, const LoadCharge& load) {
  double waiting =
      static_cast<double>(load.requests) / std::max(1, server.slots);
  return kCombinedServiceMs * (waiting < 1 ? 0.3 * waiting : waiting);
}

double PrefillCost(const PlacementQuery& query,
                   const LoadCharge& load,
                   double ms_per_token) {
  return ms_per_token *
         static_cast<double>(load.prompt_tokens + query.prompt_tokens);
}

// Share of the server's memory that is in use with `added_tokens` more, where 1
// is full. 0 if the size of the memory is not configured.
double MemoryShare(const LoadCharge& load,
                   int64_t added_tokens,
                   const ServiceRule* service) {
  if (service == nullptr || !service->engine ||
      service->engine->kv_tokens <= 0) {
    return 0;
  }
  return static_cast<double>(load.kv_tokens + added_tokens) /
         static_cast<double>(service->engine->kv_tokens);
}

double DecodeCost(const PlacementQuery& query,
                  const PlacementContext& context,
                  const LoadCharge& load) {
  double cost = kOtherStreamCostMs * static_cast<double>(load.requests) +
                kDecodePrefillSlowdown *
                    PrefillCost(query, load, context.prefill_ms_per_token);
  if (MemoryShare(load, query.kv_tokens, context.service) >
      query.max_memory_share) {
    cost += kMemoryFullCostMs;
  }
  return cost;
}

double Cost(const PlacementQuery& query,
            const PlacementContext& context,
            const BackendServer& server,
            const LoadCharge& load,
            const SpeedEstimate& speed) {
  double cost = 0;
  switch (server.stage) {
    case ServerStage::kPrefill:
      cost = PrefillCost(query, load, context.prefill_ms_per_token);
      break;
    case ServerStage::kDecode:
      cost = DecodeCost(query, context, load);
      cost += context.speeds != nullptr ? kIdleDecodeCostMs : 0;
      break;
    case ServerStage::kCombined:
      cost = CombinedCost(server, load);
      cost += context.speeds != nullptr ? kIdleCombinedCostMs : 0;
      break;
  }
  cost *= speed.relative_time;
  cost *= std::max(1.0, context.health.Slowness(server, context.now));
  cost += kFailureCostMs * context.health.FailureRate(server, context.now);
  if (!query.preferred_zone.empty() && server.zone != query.preferred_zone) {
    cost += kCrossZoneCostMs;
  }
  return cost;
}

// Whether `server` wants new work; counts it in `choice` if not.
bool CheckAccepting(const PlacementContext& context,
                    const BackendServer& server,
                    PlacementChoice& choice) {
  switch (context.notices.StateOf(server, context.now)) {
    case WorkState::kAccepting:
      return true;
    case WorkState::kDraining:
      ++choice.draining_servers;
      return false;
    case WorkState::kPaused:
      ++choice.paused_servers;
      break;
  }
  auto end = context.notices.PausedUntil(server, context.now);
  if (!choice.pause_ends || *end < *choice.pause_ends) {
    choice.pause_ends = end;
  }
  return false;
}

// What is learned of `server`; neutral if nothing is.
SpeedEstimate SpeedOf(const PlacementContext& context,
                      const BackendServer& server,
                      const LoadCharge& load) {
  return context.speeds == nullptr
             ? SpeedEstimate{}
             : context.speeds->Estimate(server, load.requests, context.now);
}

// Why the candidate gets no request; empty if it may.
std::string_view ExclusionOf(const PlacementQuery& query,
                             const PlacementContext& context,
                             const PlacementCandidate& candidate) {
  const BackendServer& server = *candidate.server;
  if (server.state != ServerState::kReady) {
    return "it leaves";
  }
  if (query.excluded.contains(server.id)) {
    return "it was tried";
  }
  switch (context.notices.StateOf(server, context.now)) {
    case WorkState::kAccepting:
      break;
    case WorkState::kDraining:
      return "it drains";
    case WorkState::kPaused:
      return "it is paused";
  }
  if (!context.health.Usable(server, context.now)) {
    return kExcludedForFailures;
  }
  double share = MemoryShare(candidate.load, query.kv_tokens, context.service);
  return share > query.max_memory_share ? kExcludedForMemory : "";
}

// A server that is avoided for its failures is chosen if no other is left.
void AcceptAvoidedIfAllAre(std::vector<PlacementCandidate>& candidates) {
  bool other_left = std::ranges::any_of(candidates, [](const auto& candidate) {
    return candidate.exclusion.empty() ||
           candidate.exclusion == kExcludedForMemory;
  });
  if (other_left) {
    return;
  }
  for (PlacementCandidate& candidate : candidates) {
    if (candidate.exclusion == kExcludedForFailures) {
      candidate.exclusion = {};
    }
  }
}

}  // namespace

std::vector<PlacementCandidate> ListCandidates(
    const PlacementQuery& query,
    const PlacementContext& context) {
  std::vector<PlacementCandidate> candidates;
  for (const auto& [id, server] : context.servers.servers) {
    if (server.service != query.service || server.stage != query.stage) {
      continue;
    }
    PlacementCandidate candidate;
    candidate.server = &server;
    candidate.load = context.load.At(id, context.now);
    candidate.speed = SpeedOf(context, server, candidate.load);
    candidate.cost =
        Cost(query, context, server, candidate.load, candidate.speed);
    candidate.failure_rate = context.health.FailureRate(server, context.now);
    candidate.memory_share = MemoryShare(candidate.load, 0, context.service);
    candidate.exclusion = ExclusionOf(query, context, candidate);
    candidate.paused_until = context.notices.PausedUntil(server, context.now);
    candidates.push_back(candidate);
  }
  AcceptAvoidedIfAllAre(candidates);
  std::ranges::sort(candidates, [](const auto& left, const auto& right) {
    return std::pair(!left.exclusion.empty(), left.cost) <
           std::pair(!right.exclusion.empty(), right.cost);
  });
  return candidates;
}

double DrawDeviation(const SpeedEstimate& speed) {
  return std::max(speed.uncertainty,
                  std::min(kSpreadDraw * speed.pool_spread, kMaxSpreadDraw));
}

double DrawnFactor(const SpeedEstimate& speed, double random) {
  return std::exp(std::numbers::sqrt3 * (2 * random - 1) *
                  DrawDeviation(speed));
}

PlacementChoice LeastTimePlacement::Choose(const PlacementQuery& query,
                                           const PlacementContext& context) {
  PlacementChoice best;
  bool best_usable = false;
  double best_score = 0;
  for (const auto& [id, server] : context.servers.servers) {
    if (server.service != query.service || server.stage != query.stage ||
        server.state != ServerState::kReady || query.excluded.contains(id) ||
        (!query.only.empty() && !query.only.contains(id)) ||
        !CheckAccepting(context, server, best)) {
      continue;
    }
    LoadCharge load = context.load.At(id, context.now);
    SpeedEstimate speed = SpeedOf(context, server, load);
    double cost = Cost(query, context, server, load, speed);
    bool usable = context.health.Usable(server, context.now);
    double score = cost + kRandomSpreadMs * random_();
    if (speed.uncertainty > 0) {
      score *= DrawnFactor(speed, random_());
    }
    // A server that is avoided for its failures is chosen only if all are.
    bool better = best.server == nullptr || (usable && !best_usable) ||
                  (usable == best_usable && score < best_score);
    if (better) {
      double share_with_request =
          MemoryShare(load, query.kv_tokens, context.service);
      best.server = &server;
      best.cost = cost;
      best.load = load;
      best.speed = speed;
      best.usable = usable;
      best.has_capacity = share_with_request <= query.max_memory_share;
      best.memory_share = MemoryShare(load, 0, context.service);
      best_usable = usable;
      best_score = score;
    }
  }
  return best;
}

}  // namespace mangoyoke
