// Polling of engines and collection of orphaned requests.

#include "daemon/control/slots/engine_watcher.h"

#include <algorithm>
#include <set>

#include "base/log.h"
#include "daemon/control/slots/slot_codec.h"

namespace mangoyoke {
namespace {

constexpr Duration kTickInterval = Millis(100);
constexpr Duration kShortestPoll = Millis(500);
// Estimated bytes of one poll with its answer, and the budget for all polls.
constexpr double kBytesPerPoll = 900;
constexpr double kBytesPerSecond = 6000;
constexpr Millis kPollTimeout{1000};
constexpr Millis kCheckTimeout{1000};
constexpr int kFailuresUntilUnreachable = 2;
// A request without a live owner is cancelled after this grace, so that its
// caller can resume it at another entry.
constexpr Duration kOrphanGrace = Millis(3000);
constexpr Duration kGrantCheckInterval = Seconds(5);
constexpr Duration kOldGrant = Seconds(15);

EngineState ParseState(const Json& json) {
  EngineState state;
  state.role = json.value("role", "") == "decode" ? BackendRole::kDecode
                                                  : BackendRole::kPrefill;
  state.model = json.value("model", "");
  state.version = json.value("version", int64_t{0});
  state.fencing_token = json.value("fencing", uint64_t{0});
  for (const Json& item : json.value("running", Json::array())) {
    state.running.push_back(EngineState::Running{
        item.value("id", ""), ParseOwner(item.value("owner", "")),
        item.value("attached", true)});
  }
  return state;
}

}  // namespace

EngineWatcher::EngineWatcher(ControlContext context,
                             PlanService& plans,
                             AllocatorService& allocators,
                             IsOpen is_open)
    : context_(context),
      plans_(plans),
      allocators_(allocators),
      is_open_(std::move(is_open)) {
  allocators_.on_taken_over.Add([this](const BackendId& id) {
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

const EngineState* EngineWatcher::StateOf(const BackendId& id) const {
  auto it = engines_.find(id);
  return it != engines_.end() && it->second.known ? &it->second.state : nullptr;
}

Duration EngineWatcher::PollInterval() const {
  auto count = static_cast<double>(allocators_.AssignedBackends().size());
  return std::max(kShortestPoll,
                  FromMillis(count * kBytesPerPoll / kBytesPerSecond * 1000));
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
  engine.known = true;
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
    Json answer = Json::parse(response.body, nullptr, false);
    if (response.Succeeded() && answer.is_object()) {
      OnCacheEvents(id, answer);
    }
  });
}

void EngineWatcher::OnCacheEvents(const BackendId& id, const Json& answer) {
  auto it = engines_.find(id);
  PrefixIndex* prefixes = allocators_.PrefixesOf(id);
  if (it == engines_.end() || prefixes == nullptr) {
    return;
  }
  for (const Json& event : answer.value("events", Json::array())) {
    auto sequence = event.value("seq", int64_t{0});
    if (sequence <= it->second.last_event) {
      continue;
    }
    it->second.last_event = sequence;
    auto hash = event.value("hash", uint64_t{0});
    // A gap may hide an addition, which costs a missed hit, or a removal,
    // which costs a wrong prediction. Both are repaired by later events.
    if (event.value("op", "") == "add") {
      prefixes->Add(id, hash);
    } else {
      prefixes->Remove(id, hash);
    }
  }
}

bool EngineWatcher::OwnerAlive(const RequestOwner& owner) const {
  auto record = context_.membership.Find(owner.instance);
  return record && record->Usable() && record->incarnation == owner.incarnation;
}

void EngineWatcher::FindOrphans(const BackendId& id, Engine& engine) {
  TimePoint now = SteadyClock::now();
  std::map<RequestId, TimePoint> suspects;
  std::map<RequestOwner, std::vector<RequestId>> in_doubt;
  for (const EngineState::Running& request : engine.state.running) {
    bool alive = OwnerAlive(request.owner);
    if (alive && request.attached) {
      continue;
    }
    auto seen = engine.suspects.find(request.id);
    TimePoint since = seen == engine.suspects.end() ? now : seen->second;
    suspects[request.id] = since;
    if (now - since < kOrphanGrace || (request.attached && !alive)) {
      // A reader that attached after the owner died has resumed the stream.
      continue;
    }
    if (alive) {
      in_doubt[request.owner].push_back(request.id);
    } else {
      CancelRequest(id, request.id);
    }
  }
  engine.suspects = std::move(suspects);
  for (const auto& [owner, ids] : in_doubt) {
    AskOwner(id, owner, ids);
  }
}

Json EngineWatcher::OnOpenRequestsQuery(const Json& message) const {
  Json open = Json::array();
  for (const Json& id : message.at("ids")) {
    if (is_open_(id.get<std::string>())) {
      open.push_back(id);
    }
  }
  return Json{{"open", open}};
}

void EngineWatcher::AskOwner(const BackendId& id,
                             const RequestOwner& owner,
                             const std::vector<RequestId>& ids) {
  auto cancel_closed = [this, id, ids](const Json& answer) {
    auto open = answer.at("open").get<std::set<std::string>>();
    for (const RequestId& request_id : ids) {
      if (!open.contains(request_id)) {
        CancelRequest(id, request_id);
      }
    }
  };
  if (owner.instance == context_.membership.self().id) {
    cancel_closed(OnOpenRequestsQuery(Json{{"ids", ids}}));
    return;
  }
  if (auto record = context_.membership.Find(owner.instance)) {
    context_.peers.Call(record->peer_address, "/requests/check",
                        Json{{"ids", ids}}, kCheckTimeout,
                        [cancel_closed](Result<Json> result) {
                          if (Ok(result)) {
                            cancel_closed(std::get<Json>(result));
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
  for (const auto& [cell, owned] : allocators_.OldGrants(kOldGrant)) {
    by_owner[owned.owner].emplace_back(cell, owned.grant.id);
  }
  for (const auto& [owner, grants] : by_owner) {
    std::vector<RequestId> ids;
    for (const auto& [cell, id] : grants) {
      ids.push_back(id);
    }
    auto release_closed = [this, grants = grants](const Json& answer) {
      auto open = answer.at("open").get<std::set<std::string>>();
      for (const auto& [cell, id] : grants) {
        if (!open.contains(id)) {
          context_.metrics.Increment("mangoyoke_lost_releases_total");
          allocators_.Release(cell, id);
        }
      }
    };
    if (owner.instance == context_.membership.self().id) {
      release_closed(OnOpenRequestsQuery(Json{{"ids", ids}}));
    } else if (auto record = context_.membership.Find(owner.instance)) {
      context_.peers.Call(record->peer_address, "/requests/check",
                          Json{{"ids", ids}}, kCheckTimeout,
                          [release_closed](Result<Json> result) {
                            if (Ok(result)) {
                              release_closed(std::get<Json>(result));
                            }
                          });
    }
  }
}

}  // namespace mangoyoke
