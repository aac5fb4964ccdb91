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

std::string_view EvidenceName(ServerEvidence evidence) {
  switch (evidence) {
    case ServerEvidence::kGood:
      return "good";
    case ServerEvidence::kError:
      return "error";
    case ServerEvidence::kFull:
      return "full";
    case ServerEvidence::kUnreachable:
      return "unreachable";
    case ServerEvidence::kBroken:
      return "broken";
    case ServerEvidence::kSilent:
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

void ServerHealth::Note(const BackendServer& server,
                        ServerEvidence evidence,
                        double slowness,
                        TimePoint now) {
  Belief& belief = beliefs_[server.id];
  if (belief.born_ms != server.born_ms) {
    belief = Belief{};
    belief.born_ms = server.born_ms;
  }
  double decay = Decay(belief, now);
  bool failed =
      evidence != ServerEvidence::kGood && evidence != ServerEvidence::kFull;
  belief.failures = belief.failures * decay + (failed ? 1 : 0);
  belief.requests = belief.requests * decay + 1;
  belief.updated = now;
  if (slowness > 0) {
    belief.slowness += kSlownessShare * (slowness - belief.slowness);
  }
  if (evidence == ServerEvidence::kGood) {
    return;
  }
  if (evidence == ServerEvidence::kFull) {
    Avoid(belief, kFullAvoidance, now);
  } else if (evidence != ServerEvidence::kError) {
    Avoid(belief, kFirstAvoidance, now);
  }
  LogEvent("server_evidence")
      .Field("server", server.id)
      .Field("evidence", EvidenceName(evidence))
      .Field("failures", belief.failures)
      .Field("requests", belief.requests)
      .Field("avoid_ms", std::max(0.0, ToMillis(belief.avoid_until - now)));
}

const ServerHealth::Belief* ServerHealth::Find(
    const BackendServer& server) const {
  auto found = beliefs_.find(server.id);
  if (found == beliefs_.end() || found->second.born_ms != server.born_ms) {
    return nullptr;
  }
  return &found->second;
}

bool ServerHealth::Usable(const BackendServer& server, TimePoint now) const {
  const Belief* belief = Find(server);
  return belief == nullptr || now >= belief->avoid_until;
}

double ServerHealth::FailureShare(const BackendServer& server,
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

void ServerHealth::KeepOnly(const ServerView& view) {
  std::erase_if(beliefs_, [&view](const auto& entry) {
    return view.Find(entry.first) == nullptr;
  });
}

}  // namespace mangoyoke
