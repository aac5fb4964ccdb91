// Multiplicative decrease at a rejection, then additive increase with time: an
// instance sends too few requests to learn from each of them.

#include "gateway/core/server_limits.h"

#include <algorithm>

namespace mangoyoke {
namespace {

// Limit of a server that has rejected nothing yet, in requests per slot.
constexpr double kMaxPerSlot = 5;
constexpr double kDecreaseFactor = 0.9;
// Increase per second, in requests per slot.
constexpr double kIncreasePerSlot = 1;
// One overload brings several rejections and decreases the limit once.
constexpr Duration kDecreaseInterval = Millis(200);

double SlotsOf(const BackendServer& server) {
  return std::max(1, server.slots);
}

}  // namespace

int64_t ServerLimits::Of(const BackendServer& server, TimePoint now) const {
  double slots = SlotsOf(server);
  double maximum = kMaxPerSlot * slots;
  auto found = limits_.find(server.id);
  if (found == limits_.end() ||
      found->second.start_time_ms != server.start_time_ms) {
    return static_cast<int64_t>(maximum);
  }
  const Limit& limit = found->second;
  double seconds = ToMillis(now - limit.updated) / ToMillis(Seconds(1));
  double grown = limit.requests + kIncreasePerSlot * slots * seconds;
  return static_cast<int64_t>(std::min(maximum, grown));
}

void ServerLimits::RecordRejection(const BackendServer& server,
                                   int64_t in_flight,
                                   TimePoint now) {
  int64_t current = Of(server, now);
  auto [entry, inserted] = limits_.try_emplace(server.id);
  Limit& limit = entry->second;
  bool same = !inserted && limit.start_time_ms == server.start_time_ms;
  if (same && now - limit.updated < kDecreaseInterval) {
    return;
  }
  auto taken = static_cast<double>(std::min(current, in_flight));
  limit.start_time_ms = server.start_time_ms;
  limit.requests = std::max(SlotsOf(server), kDecreaseFactor * taken);
  limit.updated = now;
}

void ServerLimits::KeepOnly(const ServerSnapshot& snapshot) {
  std::erase_if(limits_, [&snapshot](const auto& entry) {
    return snapshot.Find(entry.first) == nullptr;
  });
}

}  // namespace mangoyoke
