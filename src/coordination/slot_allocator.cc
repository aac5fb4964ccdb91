// Admission queue, server selection and state recovery of the slot allocator.

#include "mangoyoke/slot_allocator.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace mangoyoke {
namespace {

constexpr size_t kPrefixBlocksPerServer = 4096;
// Slot releases of a decode server that its release rate is computed from: at
// most this many, of at most this age.
constexpr size_t kReleaseSamples = 64;
constexpr Duration kReleaseWindow = Seconds(5);
constexpr double kMicrosPerMilli = 1000;
constexpr double kBytesPerMegabyte = 1e6;
// Unfinished prefills granted to one prefill server at a time: one executing,
// one queued.
constexpr size_t kMaxOpenPrefills = 2;

bool Excludes(const SlotRequest& request, const BackendId& id) {
  return std::find(request.exclude.begin(), request.exclude.end(), id) !=
         request.exclude.end();
}

}  // namespace

SlotAllocator::SlotAllocator(SlotAllocatorOptions options)
    : options_(options), prefixes_(kPrefixBlocksPerServer) {}

void SlotAllocator::SetBackend(const Backend& backend,
                               const Model& model,
                               TimePoint now) {
  auto [it, inserted] = servers_.try_emplace(backend.id);
  Server& server = it->second;
  server.config = backend;
  server.model = model;
  if (inserted) {
    server.added_at = now;
    server.prefill_free_at = now;
    server.link_free_at = now;
  }
}

void SlotAllocator::RemoveBackend(const BackendId& id) {
  servers_.erase(id);
  prefixes_.Clear(id);
  stragglers_.Forget(id);
}

std::vector<BackendId> SlotAllocator::BackendIds() const {
  std::vector<BackendId> ids;
  for (const auto& [id, server] : servers_) {
    ids.push_back(id);
  }
  return ids;
}

void SlotAllocator::Enqueue(SlotRequest request) {
  RequestId id = request.id;
  waiting_.insert_or_assign(std::move(id), std::move(request));
}

void SlotAllocator::OnPrefillDone(const RequestId& id, TimePoint now) {
  if (auto it = grants_.find(id); it != grants_.end()) {
    EndPrefill(it->second, now);
  }
}

void SlotAllocator::EndPrefill(Grant& grant, TimePoint now) {
  if (std::exchange(grant.prefill_done, true)) {
    return;
  }
  auto it = servers_.find(grant.slots.prefill);
  if (it == servers_.end()) {
    return;
  }
  Server& server = it->second;
  server.open_grants.erase(grant.slots.id);
  // Replaces the predicted end by the estimated time of the prefills still
  // open.
  double remaining_ms = 0;
  for (const RequestId& id : server.open_grants) {
    if (auto other = grants_.find(id); other != grants_.end()) {
      remaining_ms += other->second.slots.prefill_ms;
    }
  }
  server.prefill_free_at = now + FromMillis(remaining_ms);
}

void SlotAllocator::Release(const RequestId& id, TimePoint now) {
  waiting_.erase(id);
  auto it = grants_.find(id);
  if (it == grants_.end()) {
    return;
  }
  Grant& grant = it->second;
  EndPrefill(grant, now);
  if (auto share = account_grants_.find(grant.account);
      share != account_grants_.end() && --share->second <= 0) {
    account_grants_.erase(share);
  }
  if (auto server = servers_.find(grant.slots.decode);
      server != servers_.end() && server->second.open_grants.erase(id) > 0) {
    std::deque<TimePoint>& releases = server->second.release_times;
    releases.push_back(now);
    if (releases.size() > kReleaseSamples) {
      releases.pop_front();
    }
  }
  grants_.erase(it);
}

std::vector<SlotDecision> SlotAllocator::ProcessQueue(TimePoint now) {
  std::vector<SlotDecision> decisions;
  size_t requests_ahead = 0;
  double prefill_ahead_ms = 0;  // Prefill time of the requests that stay ahead.
  for (const RequestId& id : QueueOrder()) {
    const SlotRequest& request = waiting_.at(id);
    // A request is not granted before those ahead of it in the queue. One that
    // excludes servers is tried anyway, since it may wait for other servers.
    bool blocked = requests_ahead > 0 && request.exclude.empty();
    std::optional<SlotGrant> grant;
    if (!blocked && now < request.deadline) {
      grant = TryGrant(request, now);
    }
    if (grant) {
      decisions.push_back(SlotDecision{id, *grant});
      waiting_.erase(id);
      continue;
    }
    if (auto refusal =
            RefusalReason(request, prefill_ahead_ms, requests_ahead, now)) {
      decisions.push_back(SlotDecision{id, *refusal});
      waiting_.erase(id);
      continue;
    }
    ++requests_ahead;
    prefill_ahead_ms += PrefillOccupancyMs(request);
  }
  return decisions;
}

double SlotAllocator::PrefillOccupancyMs(const SlotRequest& request) const {
  double least_ms = std::numeric_limits<double>::max();
  for (const auto& [id, server] : servers_) {
    if (Serves(server, BackendRole::kPrefill, request)) {
      least_ms = std::min(least_ms, std::max(PrefillMs(server, request),
                                             TransferMs(server, request)));
    }
  }
  return least_ms == std::numeric_limits<double>::max() ? 0 : least_ms;
}

void SlotAllocator::RestoreGrant(const OwnedGrant& owned, TimePoint now) {
  if (grants_.contains(owned.grant.id)) {
    return;
  }
  AddGrant(
      Grant{owned.grant, owned.owner, owned.account, now, owned.prefill_done},
      now);
}

void SlotAllocator::OnOwnerDead(const RequestOwner& owner, TimePoint now) {
  std::vector<RequestId> released_ids;
  for (const auto& [id, request] : waiting_) {
    if (request.owner == owner) {
      released_ids.push_back(id);
    }
  }
  for (const auto& [id, grant] : grants_) {
    if (grant.owner != owner) {
      continue;
    }
    released_ids.push_back(id);
    if (auto server = servers_.find(grant.slots.decode);
        server != servers_.end()) {
      server->second.unknown_requests.insert(id);
    }
  }
  for (const RequestId& id : released_ids) {
    Release(id, now);
  }
}

void SlotAllocator::UpdateRunningRequests(const BackendId& id,
                                          const std::vector<RequestId>& running,
                                          TimePoint) {
  auto it = servers_.find(id);
  if (it == servers_.end()) {
    return;
  }
  Server& server = it->second;
  server.running_list_received = true;
  server.unknown_requests.clear();
  for (const RequestId& request_id : running) {
    if (!server.open_grants.contains(request_id)) {
      server.unknown_requests.insert(request_id);
    }
  }
}

void SlotAllocator::SetReachable(const BackendId& id, bool reachable) {
  if (auto it = servers_.find(id); it != servers_.end()) {
    it->second.reachable = reachable;
  }
}

void SlotAllocator::ObserveSlowness(const BackendId& id,
                                    double slowness,
                                    TimePoint now) {
  if (auto it = servers_.find(id); it != servers_.end()) {
    stragglers_.ObserveSlowness(id, slowness, PoolOf(it->second), now);
  }
}

void SlotAllocator::ObserveFailure(const BackendId& id, TimePoint now) {
  if (auto it = servers_.find(id); it != servers_.end()) {
    stragglers_.ObserveFailure(id, PoolOf(it->second), now);
  }
}

std::vector<OwnedGrant> SlotAllocator::GrantsOlderThan(Duration age,
                                                       TimePoint now) const {
  std::vector<OwnedGrant> old;
  for (const auto& [id, grant] : grants_) {
    if (now - grant.granted_at >= age) {
      old.push_back(OwnedGrant{grant.slots, grant.owner, grant.account,
                               grant.prefill_done});
    }
  }
  return old;
}

SlotAllocator::Summary SlotAllocator::Summarize(TimePoint now) const {
  Summary summary;
  for (const auto& [id, server] : servers_) {
    if (server.config.role == BackendRole::kDecode && Usable(server, now)) {
      summary.free_slots += std::max<int64_t>(0, FreeSlots(server, 0, now));
    }
  }
  summary.waiting = static_cast<int64_t>(waiting_.size());
  return summary;
}

bool SlotAllocator::Serves(const Server& server,
                           BackendRole role,
                           const SlotRequest& request) const {
  return server.config.role == role && server.config.model == request.model &&
         !server.config.leaving && server.reachable;
}

bool SlotAllocator::Usable(const Server& server, TimePoint now) const {
  if (server.config.leaving || !server.reachable) {
    return false;
  }
  // An ejected server gets no grants until a probe request, sent by the
  // instance that runs this allocator, has restored it.
  return stragglers_.HealthOf(server.config.id, now) ==
         StragglerDetector::Health::kNormal;
}

int64_t SlotAllocator::FreeSlots(const Server& server,
                                 double prefill_end_ms,
                                 TimePoint now) const {
  bool recovering = now - server.added_at < options_.recovery_timeout;
  if (recovering && !server.running_list_received) {
    return 0;
  }
  double expected_releases =
      ReleasesPerSecond(server, now) * prefill_end_ms / 1000;
  double max_overcommit =
      options_.max_overcommit_share * static_cast<double>(server.config.slots);
  auto used = static_cast<int64_t>(server.open_grants.size() +
                                   server.unknown_requests.size());
  return server.config.slots +
         static_cast<int64_t>(std::min(expected_releases, max_overcommit)) -
         used;
}

double SlotAllocator::ReleasesPerSecond(const Server& server,
                                        TimePoint now) const {
  auto recent =
      std::find_if(server.release_times.begin(), server.release_times.end(),
                   [now](TimePoint at) { return now - at <= kReleaseWindow; });
  auto count = std::distance(recent, server.release_times.end());
  if (count < 2) {
    return 0;
  }
  double window_ms = std::max(1.0, ToMillis(now - *recent));
  return static_cast<double>(count) * 1000 / window_ms;
}

double SlotAllocator::BacklogMs(const Server& server, TimePoint now) const {
  return server.open_grants.empty()
             ? 0
             : std::max(0.0, ToMillis(server.prefill_free_at - now));
}

double SlotAllocator::PrefillMs(const Server& server,
                                const SlotRequest& request) const {
  int64_t hit_tokens =
      prefixes_.HitTokens(server.config.id, request.prefix_hashes);
  auto tokens = static_cast<double>(
      std::max<int64_t>(1, request.prompt_tokens - hit_tokens));
  double micros =
      tokens * static_cast<double>(server.model.prefill_us_per_token);
  return micros / kMicrosPerMilli * stragglers_.SlownessOf(server.config.id);
}

double SlotAllocator::TransferMs(const Server& server,
                                 const SlotRequest& request) const {
  double bytes = static_cast<double>(request.prompt_tokens) *
                 static_cast<double>(server.model.kv_bytes_per_token);
  double per_second =
      static_cast<double>(server.config.link_mb_per_s) * kBytesPerMegabyte;
  return bytes / per_second * 1000;
}

double SlotAllocator::LinkWaitMs(const Server& server,
                                 double prefill_end_ms,
                                 TimePoint now) const {
  return std::max(0.0, ToMillis(server.link_free_at - now) - prefill_end_ms);
}

bool SlotAllocator::CanAcceptPrefill(const Server& server,
                                     const SlotRequest& request,
                                     TimePoint now) const {
  double backlog_ms = BacklogMs(server, now);
  double prefill_end_ms = backlog_ms + PrefillMs(server, request);
  // A server past the predicted end of its prefills may be a straggler, so
  // nothing is queued on it.
  bool overdue = !server.open_grants.empty() && server.prefill_free_at <= now;
  return !overdue && server.open_grants.size() < kMaxOpenPrefills &&
         backlog_ms <= options_.prefill_lookahead_ms &&
         LinkWaitMs(server, prefill_end_ms, now) <= options_.max_link_wait_ms;
}

std::vector<BackendId> SlotAllocator::PoolOf(const Server& server) const {
  std::vector<BackendId> pool;
  for (const auto& [id, other] : servers_) {
    if (other.config.role == server.config.role &&
        other.config.model == server.config.model) {
      pool.push_back(id);
    }
  }
  return pool;
}

bool SlotAllocator::HasNonExcludedServer(const SlotRequest& request,
                                         BackendRole role,
                                         TimePoint now) const {
  return std::any_of(servers_.begin(), servers_.end(), [&](const auto& entry) {
    return Serves(entry.second, role, request) && Usable(entry.second, now) &&
           !Excludes(request, entry.first);
  });
}

SlotAllocator::Candidate SlotAllocator::ChooseServers(
    const SlotRequest& request,
    TimePoint now) {
  bool avoid_prefill =
      HasNonExcludedServer(request, BackendRole::kPrefill, now);
  bool avoid_decode = HasNonExcludedServer(request, BackendRole::kDecode, now);
  Candidate best;
  for (auto& [prefill_id, prefill] : servers_) {
    if (!Serves(prefill, BackendRole::kPrefill, request) ||
        (avoid_prefill && Excludes(request, prefill_id)) ||
        !Usable(prefill, now) || !CanAcceptPrefill(prefill, request, now)) {
      continue;
    }
    // Comparing backlog plus prefill time trades a prefix hit against queueing:
    // a server with a hit wins while the extra wait is shorter than the prefill
    // time that it saves.
    double prefill_end_ms =
        BacklogMs(prefill, now) + PrefillMs(prefill, request);
    double first_token_ms = prefill_end_ms +
                            LinkWaitMs(prefill, prefill_end_ms, now) +
                            TransferMs(prefill, request);
    for (auto& [decode_id, decode] : servers_) {
      if (!Serves(decode, BackendRole::kDecode, request) ||
          (avoid_decode && Excludes(request, decode_id)) ||
          !Usable(decode, now)) {
        continue;
      }
      int64_t free = FreeSlots(decode, prefill_end_ms, now);
      if (free <= 0) {
        continue;
      }
      double load = 1 - static_cast<double>(free) /
                            static_cast<double>(decode.config.slots);
      bool cross_zone = prefill.config.zone != decode.config.zone;
      double cost_ms = first_token_ms + load * options_.cross_zone_ms * 2 +
                       (cross_zone ? options_.cross_zone_ms : 0);
      if (best.prefill == nullptr || cost_ms < best.cost_ms) {
        best = Candidate{&prefill, &decode, cost_ms};
      }
    }
  }
  return best;
}

std::optional<SlotGrant> SlotAllocator::TryGrant(const SlotRequest& request,
                                                 TimePoint now) {
  Candidate pair = ChooseServers(request, now);
  if (pair.prefill == nullptr) {
    return std::nullopt;
  }
  SlotGrant grant;
  grant.id = request.id;
  grant.prefill = pair.prefill->config.id;
  grant.decode = pair.decode->config.id;
  grant.prefill_ms = PrefillMs(*pair.prefill, request);
  grant.predicted_ms = BacklogMs(*pair.prefill, now) + grant.prefill_ms;
  grant.prefix_tokens =
      prefixes_.HitTokens(grant.prefill, request.prefix_hashes);
  for (uint64_t hash : request.prefix_hashes) {
    prefixes_.Add(grant.prefill, hash);
  }
  TimePoint prefill_end = now + FromMillis(grant.predicted_ms);
  pair.prefill->link_free_at =
      std::max(pair.prefill->link_free_at, prefill_end) +
      FromMillis(TransferMs(*pair.prefill, request));
  AddGrant(Grant{grant, request.owner, request.account, now, false}, now);
  return grant;
}

void SlotAllocator::AddGrant(Grant grant, TimePoint now) {
  const RequestId id = grant.slots.id;
  if (auto it = servers_.find(grant.slots.prefill);
      it != servers_.end() && !grant.prefill_done) {
    Server& server = it->second;
    server.prefill_free_at =
        now + FromMillis(BacklogMs(server, now) + grant.slots.prefill_ms);
    server.open_grants.insert(id);
  }
  if (auto it = servers_.find(grant.slots.decode); it != servers_.end()) {
    it->second.open_grants.insert(id);
    it->second.unknown_requests.erase(id);
  }
  ++account_grants_[grant.account];
  grants_.insert_or_assign(id, std::move(grant));
}

std::optional<Error> SlotAllocator::RefusalReason(const SlotRequest& request,
                                                  double prefill_ahead_ms,
                                                  size_t requests_ahead,
                                                  TimePoint now) const {
  if (now >= request.deadline) {
    return Error{ErrorCode::kDeadlineExpired,
                 "first-token deadline passed in the admission queue"};
  }
  for (BackendRole role : {BackendRole::kPrefill, BackendRole::kDecode}) {
    bool any = std::any_of(
        servers_.begin(), servers_.end(),
        [&](const auto& entry) { return Serves(entry.second, role, request); });
    if (!any) {
      return Error{ErrorCode::kNoBackend,
                   "no reachable " + std::string(RoleName(role)) +
                       " server that is not leaving serves model " +
                       request.model};
    }
  }
  if (requests_ahead >= options_.max_waiting) {
    return Error{ErrorCode::kQueueFull, ""};
  }
  if (PredictedFirstTokenMs(request, prefill_ahead_ms, requests_ahead, now) >
      ToMillis(request.deadline - now)) {
    return Error{ErrorCode::kDeadlineTooShort, ""};
  }
  return std::nullopt;
}

double SlotAllocator::PredictedFirstTokenMs(const SlotRequest& request,
                                            double prefill_ahead_ms,
                                            size_t requests_ahead,
                                            TimePoint now) const {
  double prefill_servers = 0;
  double backlog_ms = 0;
  double own_ms = std::numeric_limits<double>::max();
  double release_rate = 0;
  for (const auto& [id, server] : servers_) {
    if (!Usable(server, now) || server.config.model != request.model) {
      continue;
    }
    if (server.config.role == BackendRole::kDecode) {
      release_rate += ReleasesPerSecond(server, now);
    } else {
      own_ms = std::min(
          own_ms, PrefillMs(server, request) + TransferMs(server, request));
      backlog_ms += BacklogMs(server, now);
      prefill_servers += 1;
    }
  }
  if (prefill_servers == 0) {
    return 0;  // No usable prefill server now: wait until the deadline.
  }
  double prefill_wait_ms = (backlog_ms + prefill_ahead_ms) / prefill_servers;
  double slot_wait_ms =
      release_rate <= 0
          ? 0
          : static_cast<double>(requests_ahead) * 1000 / release_rate;
  return std::max(prefill_wait_ms, slot_wait_ms) + own_ms;
}

std::vector<RequestId> SlotAllocator::QueueOrder() const {
  std::vector<const SlotRequest*> requests;
  requests.reserve(waiting_.size());
  for (const auto& [id, request] : waiting_) {
    requests.push_back(&request);
  }
  std::sort(requests.begin(), requests.end(),
            [](const SlotRequest* left, const SlotRequest* right) {
              return std::tie(left->deadline, left->id) <
                     std::tie(right->deadline, right->id);
            });
  // Fair order between accounts: each grant, and each waiting request ahead,
  // adds 1 / weight to the share of its account; the lowest share goes first.
  std::map<AccountId, int64_t> counts = account_grants_;
  std::vector<std::tuple<int, double, size_t>> ranks;
  for (size_t i = 0; i < requests.size(); ++i) {
    const SlotRequest& request = *requests[i];
    double share =
        static_cast<double>(counts[request.account]++) /
        static_cast<double>(std::max<int64_t>(1, request.account_weight));
    ranks.emplace_back(request.priority, share, i);
  }
  std::sort(ranks.begin(), ranks.end());
  std::vector<RequestId> order;
  order.reserve(ranks.size());
  for (const auto& [priority, share, index] : ranks) {
    order.push_back(requests[index]->id);
  }
  return order;
}

}  // namespace mangoyoke
