// Keeps decaying counts of failures and the backoff times of failing servers.

#include "gateway/core/server_health.h"

#include <algorithm>
#include <cmath>

#include "base/log.h"

namespace mangoyoke {
namespace {

// Recorded outcomes lose half of their weight in this time.
constexpr Duration kHalfLife = Seconds(3);
// Avoidance after a first failure. Doubles up to kMaxAvoidance when the
// server fails again soon after it was retried.
constexpr Duration kInitialAvoidance = Millis(400);
// Avoidance after a first rejection for lack of capacity. Doubles likewise.
constexpr Duration kRejectedAvoidance = Millis(50);
constexpr Duration kMaxAvoidance = Seconds(3);
// The same after rejections by a combined server, for which requests wait.
constexpr Duration kMaxRejectedAvoidance = Millis(400);
constexpr double kSlownessWeight = 0.3;  // Weight of a new observation.

}  // namespace

std::string_view ServerOutcomeName(ServerOutcome outcome) {
  switch (outcome) {
    case ServerOutcome::kSuccess:
      return "good";
    case ServerOutcome::kError:
      return "error";
    case ServerOutcome::kRejected:
      return "full";
    case ServerOutcome::kPaused:
      return "paused";
    case ServerOutcome::kUnreachable:
      return "unreachable";
    case ServerOutcome::kIncomplete:
      return "broken";
    case ServerOutcome::kTimeout:
      return "silent";
  }
  return "good";
}

double ServerHealth::Decay(const HealthRecord& record, TimePoint now) {
  return std::exp2(-ToMillis(now - record.updated) / ToMillis(kHalfLife));
}

void ServerHealth::Avoid(HealthRecord& record,
                         Duration initial,
                         Duration longest,
                         TimePoint now) {
  if (now < record.avoid_until) {
    return;
  }
  bool recurring = now - record.avoid_until < record.avoid_time;
  record.avoid_time =
      recurring ? std::min<Duration>(record.avoid_time * 2, longest) : initial;
  record.avoid_until = now + record.avoid_time;
}

void ServerHealth::RecordOutcome(const BackendServer& server,
                                 ServerOutcome outcome,
                                 double slowness,
                                 TimePoint now) {
  HealthRecord& record = records_[server.id];
  if (record.start_time_ms != server.start_time_ms) {
    record = HealthRecord{};
    record.start_time_ms = server.start_time_ms;
  }
  double decay = Decay(record, now);
  bool failed = outcome != ServerOutcome::kSuccess &&
                outcome != ServerOutcome::kRejected &&
                outcome != ServerOutcome::kPaused;
  record.failures = record.failures * decay + (failed ? 1 : 0);
  record.requests = record.requests * decay + 1;
  record.updated = now;
  if (slowness > 0) {
    record.slowness += kSlownessWeight * (slowness - record.slowness);
  }
  if (outcome == ServerOutcome::kSuccess) {
    return;
  }
  bool avoided = now < record.avoid_until;
  record.only_silent =
      outcome == ServerOutcome::kTimeout && (record.only_silent || !avoided);
  if (outcome == ServerOutcome::kPaused) {
    // What the server says replaces what was inferred from its failures.
    record.avoid_until = now;
    record.avoid_time = Duration::zero();
  } else if (outcome == ServerOutcome::kRejected) {
    bool combined = server.stage == ServerStage::kCombined;
    Avoid(record, kRejectedAvoidance,
          combined ? kMaxRejectedAvoidance : kMaxAvoidance, now);
  } else if (outcome != ServerOutcome::kError) {
    Avoid(record, kInitialAvoidance, kMaxAvoidance, now);
  }
  LogEvent("server_evidence")
      .Field("server", server.id)
      .Field("evidence", ServerOutcomeName(outcome))
      .Field("failures", record.failures)
      .Field("requests", record.requests)
      .Field("avoid_ms", std::max(0.0, ToMillis(record.avoid_until - now)));
}

void ServerHealth::RecordEndOfSilence(const BackendServer& server,
                                      TimePoint now) {
  auto found = records_.find(server.id);
  if (found == records_.end() || !found->second.only_silent ||
      found->second.start_time_ms != server.start_time_ms) {
    return;
  }
  HealthRecord& record = found->second;
  if (now >= record.avoid_until) {
    return;
  }
  LogEvent("server_silence_over")
      .Field("server", server.id)
      .Field("avoid_ms", ToMillis(record.avoid_until - now));
  record.avoid_until = now;
  record.avoid_time = Duration::zero();
}

const ServerHealth::HealthRecord* ServerHealth::Find(
    const BackendServer& server) const {
  auto found = records_.find(server.id);
  if (found == records_.end() ||
      found->second.start_time_ms != server.start_time_ms) {
    return nullptr;
  }
  return &found->second;
}

bool ServerHealth::Usable(const BackendServer& server, TimePoint now) const {
  const HealthRecord* record = Find(server);
  return record == nullptr || now >= record->avoid_until;
}

double ServerHealth::FailureRate(const BackendServer& server,
                                 TimePoint now) const {
  const HealthRecord* record = Find(server);
  if (record == nullptr) {
    return 0;
  }
  // Counting one more success keeps a single failure from giving a rate of 1.
  double decay = Decay(*record, now);
  return record->failures * decay / (record->requests * decay + 1);
}

double ServerHealth::Slowness(const BackendServer& server,
                              TimePoint now) const {
  const HealthRecord* record = Find(server);
  if (record == nullptr) {
    return 1;
  }
  return 1 + (record->slowness - 1) * Decay(*record, now);
}

void ServerHealth::KeepOnly(const ServerSnapshot& snapshot) {
  std::erase_if(records_, [&snapshot](const auto& entry) {
    return snapshot.Find(entry.first) == nullptr;
  });
}

}  // namespace mangoyoke
