// Decayed counts of failures and times of avoidance.

#include "gateway/core/server_health.h"

#include <algorithm>
#include <cmath>

#include "base/log.h"

namespace mangoyoke {
namespace {

// Evidence loses half of its weight in this time.
constexpr Duration kHalfLife = Seconds(3);
constexpr Duration kFirstAvoidance = Millis(400);
constexpr Duration kFullAvoidance = Millis(50);
constexpr Duration kLongestAvoidance = Seconds(3);
constexpr double kSlownessShare = 0.3;  // Weight of a new observation.

}  // namespace

std::string_view ServerOutcomeName(ServerOutcome outcome) {
  switch (outcome) {
    case ServerOutcome::kSuccess:
      return "good";
    case ServerOutcome::kError:
      return "error";
    case ServerOutcome::kRejected:
      return "full";
    case ServerOutcome::kUnreachable:
      return "unreachable";
    case ServerOutcome::kIncomplete:
      return "broken";
    case ServerOutcome::kTimeout:
      return "silent";
  }
  return "good";
}

double ServerHealth::Decay(const Belief& belief, TimePoint now) {
  return std::exp2(-ToMillis(now - belief.updated) / ToMillis(kHalfLife));
}

void ServerHealth::Avoid(Belief& belief, Duration first, TimePoint now) {
  if (now < belief.avoid_until) {
    return;
  }
  bool again = now - belief.avoid_until < belief.avoid_time;
  belief.avoid_time =
      again ? std::min<Duration>(belief.avoid_time * 2, kLongestAvoidance)
            : first;
  belief.avoid_until = now + belief.avoid_time;
}

void ServerHealth::RecordOutcome(const BackendServer& server,
                                 ServerOutcome outcome,
                                 double slowness,
                                 TimePoint now) {
  Belief& belief = beliefs_[server.id];
  if (belief.start_time_ms != server.start_time_ms) {
    belief = Belief{};
    belief.start_time_ms = server.start_time_ms;
  }
  double decay = Decay(belief, now);
  bool failed =
      outcome != ServerOutcome::kSuccess && outcome != ServerOutcome::kRejected;
  belief.failures = belief.failures * decay + (failed ? 1 : 0);
  belief.requests = belief.requests * decay + 1;
  belief.updated = now;
  if (slowness > 0) {
    belief.slowness += kSlownessShare * (slowness - belief.slowness);
  }
  if (outcome == ServerOutcome::kSuccess) {
    return;
  }
  if (outcome == ServerOutcome::kRejected) {
    Avoid(belief, kFullAvoidance, now);
  } else if (outcome != ServerOutcome::kError) {
    Avoid(belief, kFirstAvoidance, now);
  }
  LogEvent("server_evidence")
      .Field("server", server.id)
      .Field("evidence", ServerOutcomeName(outcome))
      .Field("failures", belief.failures)
      .Field("requests", belief.requests)
      .Field("avoid_ms", std::max(0.0, ToMillis(belief.avoid_until - now)));
}

const ServerHealth::Belief* ServerHealth::Find(
    const BackendServer& server) const {
  auto found = beliefs_.find(server.id);
  if (found == beliefs_.end() ||
      found->second.start_time_ms != server.start_time_ms) {
    return nullptr;
  }
  return &found->second;
}

bool ServerHealth::Usable(const BackendServer& server, TimePoint now) const {
  const Belief* belief = Find(server);
  return belief == nullptr || now >= belief->avoid_until;
}

double ServerHealth::FailureRate(const BackendServer& server,
                                 TimePoint now) const {
  const Belief* belief = Find(server);
  if (belief == nullptr) {
    return 0;
  }
  // One request of good standing keeps a single failure from looking like 1.
  double decay = Decay(*belief, now);
  return belief->failures * decay / (belief->requests * decay + 1);
}

double ServerHealth::Slowness(const BackendServer& server,
                              TimePoint now) const {
  const Belief* belief = Find(server);
  if (belief == nullptr) {
    return 1;
  }
  return 1 + (belief->slowness - 1) * Decay(*belief, now);
}

void ServerHealth::KeepOnly(const ServerSnapshot& snapshot) {
  std::erase_if(beliefs_, [&snapshot](const auto& entry) {
    return snapshot.Find(entry.first) == nullptr;
  });
}

}  // namespace mangoyoke
