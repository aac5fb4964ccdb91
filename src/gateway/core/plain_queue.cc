// Decides from work in flight, slots and the mean service time.

#include "gateway/core/plain_queue.h"

#include <algorithm>

namespace mangoyoke {
namespace {

// Share of the target latency that a request may spend at its server, in the
// server's queue and being served. The rest is for waiting here, where the
// order can still change.
constexpr double kServerShare = 0.5;
// Share of a server's queue that a late request of a first try may use. Each
// instance sends by itself: without this, late requests of one would take the
// room of those on time at others.
constexpr double kLateShare = 0.5;
// Waiting for the deadline may take this many times the time of the work known,
// as requests that come later go first. If it takes longer, the load stays
// high.
constexpr int kForecastMargin = 3;

Duration TimeAtServer(const PlainQuery& query) {
  return std::max(query.service_time,
                  FromMillis(kServerShare * ToMillis(query.target)));
}

// How long the request may still wait here to meet its target latency.
Duration TimeToTarget(const PlainQuery& query) {
  return std::min(query.target - query.age, query.time_left) -
         TimeAtServer(query);
}

// Most requests at `server` with which each is served within its share of the
// target latency, and none is rejected.
int64_t MostRequests(const PlainQuery& query,
                     const PlainState& state,
                     const BackendServer& server) {
  double per_slot = ToMillis(TimeAtServer(query)) /
                    std::max(1.0, ToMillis(query.service_time));
  int64_t slots = std::max(1, server.slots);
  auto in_time = static_cast<int64_t>(static_cast<double>(slots) * per_slot);
  int64_t most = std::min(state.limits.Of(server, state.now), in_time);
  if (UsesWholeQueue(query) || most <= slots) {
    return most;
  }
  return slots +
         static_cast<int64_t>(kLateShare * static_cast<double>(most - slots));
}

bool GoesBefore(const std::pair<uint64_t, PlainPlace>& left,
                const std::pair<uint64_t, PlainPlace>& right) {
  const auto& [left_id, first] = left;
  const auto& [right_id, second] = right;
  if (first.priority != second.priority) {
    return first.priority < second.priority;
  }
  if (first.on_time != second.on_time) {
    return first.on_time;
  }
  if (first.on_time) {
    return left_id > right_id;
  }
  return first.wait_deadline < second.wait_deadline;
}

}  // namespace

BackendId QueueId(const ServiceId& service) {
  return "queue/" + service;
}

PlainOutlook LookAtServers(const PlainQuery& query, const PlainState& state) {
  PlainOutlook outlook;
  std::set<BackendId> avoided_with_room;
  bool all_avoided = true;
  for (const auto& [id, server] : state.servers.servers) {
    if (server.service != query.service ||
        server.stage != ServerStage::kCombined ||
        server.state != ServerState::kReady ||
        state.notices.StateOf(server, state.now) != WorkState::kAccepting) {
      continue;
    }
    int64_t requests = state.load.At(id, state.now).requests;
    bool usable = state.health.Usable(server, state.now);
    ++outlook.servers;
    outlook.slots += std::max(1, server.slots);
    outlook.requests += requests;
    all_avoided = all_avoided && !usable;
    bool room = requests < MostRequests(query, state, server);
    if (room && !query.excluded.contains(id)) {
      (usable ? outlook.with_room : avoided_with_room).insert(id);
    }
  }
  outlook.requests += state.load.At(QueueId(query.service), state.now).requests;
  if (all_avoided && query.accept_avoided) {
    outlook.with_room = std::move(avoided_with_room);
  }
  return outlook;
}

bool UsesWholeQueue(const PlainQuery& query) {
  return TimeToTarget(query) > Duration::zero() || query.came_back;
}

Duration TimeOfWork(const PlainOutlook& outlook, Duration service_time) {
  double per_slot = static_cast<double>(outlook.requests) /
                    static_cast<double>(std::max<int64_t>(1, outlook.slots));
  return FromMillis(ToMillis(service_time) * per_slot);
}

std::string_view PlainDecisionName(PlainDecision decision) {
  switch (decision) {
    case PlainDecision::kWaitForTarget:
      return "wait_for_target";
    case PlainDecision::kWaitForDeadline:
      return "wait_for_deadline";
    case PlainDecision::kRefuse:
      return "refuse";
  }
  return "refuse";
}

WaitChoice ChooseWait(const PlainQuery& query, const PlainOutlook& outlook) {
  if (Duration wait = TimeToTarget(query); wait > Duration::zero()) {
    return {PlainDecision::kWaitForTarget, wait};
  }
  // A server that is slow for a while takes the whole target latency.
  Duration to_deadline = query.time_left - query.target;
  Duration work = TimeOfWork(outlook, query.service_time);
  if (query.waited_for_deadline || to_deadline <= Duration::zero() ||
      work > to_deadline) {
    return {PlainDecision::kRefuse, Duration::zero()};
  }
  Duration wait = query.came_back
                      ? to_deadline
                      : std::max(query.target, kForecastMargin * work);
  return {PlainDecision::kWaitForDeadline, std::min(wait, to_deadline)};
}

std::set<BackendId> DrawTwo(const std::set<BackendId>& candidates,
                            double random) {
  constexpr size_t kDrawn = 2;
  size_t count = candidates.size();
  if (count <= kDrawn) {
    return candidates;
  }
  // One draw of a pair: the first one, then one of the others.
  size_t pairs = count * (count - 1);
  auto pair = std::min(
      pairs - 1, static_cast<size_t>(random * static_cast<double>(pairs)));
  size_t first = pair / (count - 1);
  size_t second = pair % (count - 1);
  second += second >= first ? 1 : 0;
  std::vector<BackendId> ids(candidates.begin(), candidates.end());
  return {ids[first], ids[second]};
}

std::vector<uint64_t> PlainQueue::TakeExpired(TimePoint now) {
  std::vector<uint64_t> expired;
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    if (now < it->second.wait_deadline) {
      ++it;
      continue;
    }
    expired.push_back(it->first);
    it = waiting_.erase(it);
  }
  return expired;
}

std::vector<uint64_t> PlainQueue::InOrder() const {
  std::vector<std::pair<uint64_t, PlainPlace>> places(waiting_.begin(),
                                                      waiting_.end());
  std::sort(places.begin(), places.end(), GoesBefore);
  std::vector<uint64_t> ids;
  for (const auto& [id, place] : places) {
    ids.push_back(id);
  }
  return ids;
}

}  // namespace mangoyoke
