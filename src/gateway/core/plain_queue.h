// Requests that wait for room at the servers of a plain service: in which order
// they go, which servers have room, and what is refused.
//
// Load pattern: a load peak of some seconds at a few servers that many
// instances share. Servers that are full reject requests, although their
// callers would wait for seconds, and every request that is sent again after a
// rejection draws on the retry budget. So a request goes only to a server with
// room, as far as known, and waits here for one.
//
// - More urgent priorities go first. Within a priority, requests that can still
//   meet their target latency go first, newest first: a peak makes some miss it
//   in any order, and oldest first would bring all of them close to missing it.
// - The others go by deadline. One that cannot be served before its deadline,
//   given all work known at the servers and waiting at the instances, is
//   refused as soon as that is known, with the time after which that work is
//   done.

#ifndef MANGOYOKE_GATEWAY_CORE_PLAIN_QUEUE_H_
#define MANGOYOKE_GATEWAY_CORE_PLAIN_QUEUE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string_view>
#include <vector>

#include "gateway/core/backend_server.h"
#include "gateway/core/server_health.h"
#include "gateway/core/server_limits.h"
#include "gateway/core/server_load.h"
#include "gateway/core/server_notices.h"
#include "mangoyoke/clock.h"

namespace mangoyoke {

// Time that a server works on a request of a service that has served few yet.
inline constexpr Duration kAssumedServiceTime = Millis(60);

// The id under which load reports state the requests to `service` that wait at
// the instances. No server has it.
BackendId QueueId(const ServiceId& service);

// The state that a decision is based on.
struct PlainState {
  const ServerSnapshot& servers;
  ServerLoad& load;
  const ServerLimits& limits;
  const ServerHealth& health;
  const ServerNotices& notices;
  TimePoint now;
};

// The request to decide on.
struct PlainQuery {
  ServiceId service;
  std::set<BackendId> excluded;  // Servers that must not be chosen.
  Duration target{};             // Target latency.
  Duration service_time{};       // Mean time that a server works on a request.
  Duration age{};                // Since its caller's first try.
  Duration time_left{};          // Until its deadline.
  // Whether servers that are avoided may be chosen if all are.
  bool accept_avoided = true;
  // Its caller was refused before: a second refusal is the last one.
  bool came_back = false;
  // It has waited for as long as a late request may.
  bool waited_for_deadline = false;
};

// What is known of the servers of a service.
struct PlainOutlook {
  std::set<BackendId> with_room;
  int64_t servers = 0;   // Those that want work.
  int64_t slots = 0;     // Of these servers.
  int64_t requests = 0;  // At these servers and waiting at the instances.

  bool operator==(const PlainOutlook&) const = default;
};

// Servers whose known work in flight leaves room for the request, and the work
// that is ahead of it.
PlainOutlook LookAtServers(const PlainQuery& query, const PlainState& state);

// Time until all work of `outlook` is done.
Duration TimeOfWork(const PlainOutlook& outlook, Duration service_time);

// Whether the request may use all of a server's queue that is used at all.
bool UsesWholeQueue(const PlainQuery& query);

// What becomes of a request that cannot be sent now.
enum class PlainDecision {
  kWaitForTarget,    // It waits, and can still meet its target latency.
  kWaitForDeadline,  // It waits, and can still meet its deadline.
  kRefuse,           // It cannot be served in time.
};

// The name of `decision` in logs.
std::string_view PlainDecisionName(PlainDecision decision);

// A decision with the time that it allows for.
struct WaitChoice {
  PlainDecision decision = PlainDecision::kRefuse;
  Duration wait{};  // How long it may wait.

  bool operator==(const WaitChoice&) const = default;
};

// Whether a request for which `outlook` was made is to wait or to be refused,
// if it cannot be sent now.
WaitChoice ChooseWait(const PlainQuery& query, const PlainOutlook& outlook);

// At most two servers of `candidates`, drawn with `random` from [0, 1). Used
// while the views of the instances are late: they would all choose the server
// with the least work, until the next reports arrive.
std::set<BackendId> DrawTwo(const std::set<BackendId>& candidates,
                            double random);

// Place of a request in the queue.
struct PlainPlace {
  int priority = 0;     // 0 is the most urgent.
  bool on_time = true;  // Can still meet its target latency.
  TimePoint wait_deadline;

  bool operator==(const PlainPlace&) const = default;
};

// The waiting requests of one service, by request id. Ids increase in order of
// arrival.
class PlainQueue {
 public:
  // Adds request `id` or changes its place.
  void Add(uint64_t id, const PlainPlace& place) { waiting_[id] = place; }
  void Remove(uint64_t id) { waiting_.erase(id); }
  // Removes the requests whose `wait_deadline` was reached and returns their
  // ids.
  std::vector<uint64_t> TakeExpired(TimePoint now);
  // The ids in the order in which the requests are sent.
  std::vector<uint64_t> InOrder() const;
  size_t size() const { return waiting_.size(); }

 private:
  std::map<uint64_t, PlainPlace> waiting_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CORE_PLAIN_QUEUE_H_
