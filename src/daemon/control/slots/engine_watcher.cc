// Polls engines and collects orphaned requests and lost grants.

#include "daemon/control/slots/engine_watcher.h"

#include <algorithm>
#include <set>

#include "base/log.h"
#include "daemon/control/slots/slot_codec.h"

namespace mangoyoke {
namespace {

constexpr Duration kTickInterval = Millis(100);
constexpr Duration kMinPollInterval = Millis(500);
// Estimated bytes of one poll with its response, and the budget for all polls
// of this instance.
constexpr double kBytesPerPoll = 900;
constexpr double kPollBytesPerSecond = 6000;
constexpr Millis kPollTimeout{1000};
constexpr Millis kCheckTimeout{1000};
constexpr int kFailuresUntilUnreachable = 2;
// A request without a live owner is cancelled only after this grace period, so
// that its caller can resume it at another instance.
constexpr Duration kOrphanGrace = Millis(3000);
constexpr Duration kGrantCheckInterval = Seconds(5);
// Grants older than this are checked with their owners.
constexpr Duration kGrantCheckAge = Seconds(15);

EngineState ParseState(const Json& json) {
  EngineState state;
  state.role = json.value("role", "") == "decode" ? BackendRole::kDecode
                                                  : BackendRole::kPrefill;
  state.model = json.value("model", "");
  state.version = json.value("version", int64_t{0});
  state.fencing_token = json.value("fencing", uint64_t{0});
  for (const Json& item : json.value("running", Json::array())) {
    state.running.push_back(EngineState::RunningRequest{
        item.value("id", ""), ParseOwner(item.value("owner", "")),
        item.value("attached", true)});
  }
  return state;
}

}  // namespace

EngineWatcher::EngineWatcher(ControlContext context,
                             PlanService& plans,
                             AllocatorService& allocators,
                             IsActive is_active)
    : context_(context),
      plans_(plans),
      allocators_(allocators),
      is_active_(std::move(is_active)) {
  allocators_.on_backend_added.Add([this](const BackendId& id) {
    engines_.erase(id);
    Poll(id);
  });
}

void EngineWatcher::Start() {
  tick_timer_ = std::make_unique<PeriodicTimer>(context_.io, kTickInterval,
                                                [this] { Tick(); });
  grant_timer_ = std::make_unique<PeriodicTimer>(
      context_.io, kGrantCheckInterval, [this] { CheckOldGrants(); });
}

const EngineState* EngineWatcher::GetState(const BackendId& id) const {
  auto it = engines_.find(id);
  return it != engines_.end() && it->second.has_state ? &it->second.state
                                                      : nullptr;
}

Duration EngineWatcher::PollInterval() const {
  auto count = static_cast<double>(allocators_.AssignedBackends().size());
  return std::max(kMinPollInterval, FromMillis(count * kBytesPerPoll /
                                               kPollBytesPerSecond * 1000));
}

void EngineWatcher::Tick() {
  std::vector<BackendId> watched = allocators_.AssignedBackends();
  std::set<BackendId> keep(watched.begin(), watched.end());
  std::erase_if(engines_, [&keep](const auto& entry) {
    return !keep.contains(entry.first);
  });
  TimePoint now = SteadyClock::now();
  for (const BackendId& id : watched) {
    Engine& engine = engines_[id];
    if (!engine.polling && now >= engine.next_poll) {
      Poll(id);
    }
  }
}

void EngineWatcher::Poll(const BackendId& id) {
  auto plan = plans_.Current();
  if (!plan || !plan->backends.contains(id)) {
    return;
  }
  const Backend& backend = plan->backends.at(id);
  Engine& engine = engines_[id];
  engine.polling = true;
  engine.next_poll = SteadyClock::now() + PollInterval();
  ClientRequest request;
  request.url = backend.url + "/v1/state";
  request.timeout = kPollTimeout;
  context_.http.Start(std::move(request), [this, id](ClientResponse response) {
    OnState(id, response);
  });
  if (backend.role == BackendRole::kPrefill) {
    PollCacheEvents(id, backend.url);
  }
}

void EngineWatcher::OnState(const BackendId& id,
                            const ClientResponse& response) {
  auto it = engines_.find(id);
  if (it == engines_.end()) {
    return;
  }
  Engine& engine = it->second;
  engine.polling = false;
  Json json = Json::parse(response.body, nullptr, false);
  if (!response.Succeeded() || !json.is_object()) {
    if (++engine.failures == kFailuresUntilUnreachable) {
      LogEvent("backend_unreachable", LogLevel::kWarning).Field("backend", id);
      context_.metrics.Increment("mangoyoke_backend_unreachable_total",
                                 "backend", id);
    }
    if (engine.failures >= kFailuresUntilUnreachable) {
      allocators_.OnEngineUnreachable(id);
    }
    return;
  }
  engine.failures = 0;
  engine.has_state = true;
  engine.state = ParseState(json);
  allocators_.OnEngineState(id, engine.state);
  FindOrphans(id, engine);
}

void EngineWatcher::PollCacheEvents(const BackendId& id,
                                    const std::string& url) {
  ClientRequest request;
  request.url =
      url + "/v1/cache-events?after=" + std::to_string(engines_[id].last_event);
  request.timeout = kPollTimeout;
  context_.http.Start(std::move(request), [this, id](ClientResponse response) {
    Json response_json = Json::parse(response.body, nullptr, false);
    if (response.Succeeded() && response_json.is_object()) {
      OnCacheEvents(id, response_json);
    }
  });
}

void EngineWatcher::OnCacheEvents(const BackendId& id,
                                  const Json& response_json) {
  auto it = engines_.find(id);
  PrefixIndex* prefixes = allocators_.PrefixIndexOf(id);
  if (it == engines_.end() || prefixes == nullptr) {
    return;
  }
  for (const Json& event : response_json.value("events", Json::array())) {
    auto sequence = event.value("seq", int64_t{0});
    if (sequence <= it->second.last_event) {
      continue;
    }
    it->second.last_event = sequence;
    auto hash = event.value("hash", uint64_t{0});
    // Lost events are tolerated: a lost addition costs a missed cache hit, a
    // lost removal a wrong prediction. Later events repair both.
    if (event.value("op", "") == "add") {
      prefixes->Add(id, hash);
    } else {
      prefixes->Remove(id, hash);
    }
  }
}

bool EngineWatcher::IsOwnerAlive(const RequestOwner& owner) const {
  auto record = context_.membership.Find(owner.instance);
  return record && record->Usable() && record->incarnation == owner.incarnation;
}

void EngineWatcher::FindOrphans(const BackendId& id, Engine& engine) {
  TimePoint now = SteadyClock::now();
  std::map<RequestId, TimePoint> orphaned_since;
  std::map<RequestOwner, std::vector<RequestId>> unread;
  for (const EngineState::RunningRequest& request : engine.state.running) {
    bool alive = IsOwnerAlive(request.owner);
    if (alive && request.attached) {
      continue;
    }
    auto seen = engine.orphaned_since.find(request.id);
    TimePoint since = seen == engine.orphaned_since.end() ? now : seen->second;
    orphaned_since[request.id] = since;
    if (now - since < kOrphanGrace || (request.attached && !alive)) {
      // Within the grace period, or a client that attached after the owner died
      // has resumed the stream.
      continue;
    }
    if (alive) {
      unread[request.owner].push_back(request.id);
    } else {
      CancelRequest(id, request.id);
    }
  }
  engine.orphaned_since = std::move(orphaned_since);
  for (const auto& [owner, ids] : unread) {
    CancelIfInactive(id, owner, ids);
  }
}

Json EngineWatcher::OnActiveRequestsQuery(const Json& message) const {
  Json active = Json::array();
  for (const Json& id : message.at("ids")) {
    if (is_active_(id.get<std::string>())) {
      active.push_back(id);
    }
  }
  return Json{{"open", active}};
}

void EngineWatcher::CancelIfInactive(const BackendId& id,
                                     const RequestOwner& owner,
                                     const std::vector<RequestId>& ids) {
  auto cancel_inactive = [this, id, ids](const Json& response_json) {
    auto active = response_json.at("open").get<std::set<std::string>>();
    for (const RequestId& request_id : ids) {
      if (!active.contains(request_id)) {
        CancelRequest(id, request_id);
      }
    }
  };
  if (owner.instance == context_.membership.self().id) {
    cancel_inactive(OnActiveRequestsQuery(Json{{"ids", ids}}));
    return;
  }
  if (auto record = context_.membership.Find(owner.instance)) {
    context_.peers.Call(record->peer_address, "/requests/check",
                        Json{{"ids", ids}}, kCheckTimeout,
                        [cancel_inactive](Result<Json> result) {
                          if (Ok(result)) {
                            cancel_inactive(std::get<Json>(result));
                          }
                        });
  }
}

void EngineWatcher::CancelRequest(const BackendId& id,
                                  const RequestId& request_id) {
  auto plan = plans_.Current();
  if (!plan || !plan->backends.contains(id)) {
    return;
  }
  LogEvent("orphan_cancelled")
      .Field("backend", id)
      .Field("request", request_id);
  context_.metrics.Increment("mangoyoke_orphans_cancelled_total");
  ClientRequest request;
  request.method = "POST";
  request.url = plan->backends.at(id).url + "/v1/cancel";
  request.body = Json{{"request_id", request_id}}.dump();
  context_.http.Start(std::move(request), [](ClientResponse) {});
}

void EngineWatcher::CheckOldGrants() {
  std::map<RequestOwner, std::vector<std::pair<CellId, RequestId>>> by_owner;
  for (const auto& [cell, owned] :
       allocators_.GrantsOlderThan(kGrantCheckAge)) {
    by_owner[owned.owner].emplace_back(cell, owned.grant.id);
  }
  for (const auto& [owner, grants] : by_owner) {
    std::vector<RequestId> ids;
    for (const auto& [cell, id] : grants) {
      ids.push_back(id);
    }
    auto release_inactive = [this, grants = grants](const Json& response_json) {
      auto active = response_json.at("open").get<std::set<std::string>>();
      for (const auto& [cell, id] : grants) {
        if (!active.contains(id)) {
          context_.metrics.Increment("mangoyoke_lost_releases_total");
          allocators_.Release(cell, id);
        }
      }
    };
    if (owner.instance == context_.membership.self().id) {
      release_inactive(OnActiveRequestsQuery(Json{{"ids", ids}}));
    } else if (auto record = context_.membership.Find(owner.instance)) {
      context_.peers.Call(record->peer_address, "/requests/check",
                          Json{{"ids", ids}}, kCheckTimeout,
                          [release_inactive](Result<Json> result) {
                            if (Ok(result)) {
                              release_inactive(std::get<Json>(result));
                            }
                          });
    }
  }
}

}  // namespace mangoyoke
