// Takeover of cells, reservations, and updates from engine states.

#include "daemon/control/slots/allocator_service.h"

#include "base/log.h"

namespace mangoyoke {
namespace {

constexpr Duration kQueueInterval = Millis(10);
// How long an instance keeps a cell whose preferred allocator is unreachable.
constexpr Duration kTemporaryTakeover = Seconds(5);

}  // namespace

AllocatorService::AllocatorService(ControlContext context)
    : context_(context) {}

void AllocatorService::Start() {
  queue_timer_ = std::make_unique<PeriodicTimer>(
      context_.io, kQueueInterval, [this] { ProcessAllQueues(); });
}

void AllocatorService::UpdateCells(std::shared_ptr<const Plan> plan) {
  if (plan != plan_) {
    plan_ = std::move(plan);
    cells_ = BuildCells(*plan_);
  }
  TimePoint now = SteadyClock::now();
  std::vector<MemberRecord> members = context_.membership.All();
  const InstanceId& self = context_.membership.self().id;
  std::set<CellId> kept;
  for (const auto& [id, cell] : cells_) {
    std::vector<InstanceId> ranked = RankAllocators(cell, members);
    auto owned = owned_.find(id);
    bool temporary =
        owned != owned_.end() && owned->second.temporary_until > now;
    if ((!ranked.empty() && ranked.front() == self) || temporary) {
      TakeOverCell(cell);
      kept.insert(id);
    }
  }
  std::vector<CellId> dropped;
  for (const auto& [id, state] : owned_) {
    if (!kept.contains(id)) {
      dropped.push_back(id);
    }
  }
  for (const CellId& id : dropped) {
    GiveUpCell(id);
  }
}

AllocatorService::CellState& AllocatorService::TakeOverCell(const Cell& cell) {
  TimePoint now = SteadyClock::now();
  CellState& state = owned_[cell.id];
  if (!state.allocator) {
    state.allocator = std::make_unique<SlotAllocator>(SlotAllocatorOptions{});
    LogEvent("cell_taken_over").Field("cell", cell.id);
    context_.metrics.Increment("mangoyoke_cell_takeovers_total");
  }
  for (const BackendId& id : state.allocator->BackendIds()) {
    if (std::find(cell.backends.begin(), cell.backends.end(), id) ==
        cell.backends.end()) {
      state.allocator->RemoveBackend(id);
      cell_of_.erase(id);
    }
  }
  state.cell = cell;
  for (const BackendId& id : cell.backends) {
    bool known = state.allocator->HasBackend(id);
    state.allocator->SetBackend(plan_->backends.at(id),
                                plan_->models.at(cell.model), now);
    cell_of_[id] = cell.id;
    if (!known) {
      on_backend_added.Notify(id);
    }
  }
  return state;
}

void AllocatorService::GiveUpCell(const CellId& id) {
  LogEvent("cell_given_up").Field("cell", id);
  CellState state = std::move(owned_.at(id));
  owned_.erase(id);
  std::erase_if(cell_of_,
                [&id](const auto& entry) { return entry.second == id; });
  for (const auto& [request_id, callback] : state.waiting) {
    // The requesting instance retries at the new allocator.
    callback(Reply{Error{ErrorCode::kPeerUnreachable,
                         "cell " + id + " moved to another allocator"},
                   {}});
  }
}

AllocatorService::CellState* AllocatorService::FindOwned(const CellId& id) {
  auto it = owned_.find(id);
  return it == owned_.end() ? nullptr : &it->second;
}

void AllocatorService::Reserve(const CellId& cell,
                               bool takeover,
                               SlotRequest request,
                               ReplyCallback callback) {
  CellState* state = FindOwned(cell);
  if (state == nullptr && takeover && cells_.contains(cell)) {
    state = &TakeOverCell(cells_.at(cell));
    state->temporary_until = SteadyClock::now() + kTemporaryTakeover;
  }
  if (state == nullptr) {
    callback(Reply{Error{ErrorCode::kPeerUnreachable,
                         "cell " + cell + " is not allocated by this instance"},
                   {}});
    return;
  }
  state->waiting[request.id] = std::move(callback);
  state->allocator->Enqueue(std::move(request));
  ProcessQueue(*state);
}

void AllocatorService::OnPrefillDone(const CellId& cell, const RequestId& id) {
  if (CellState* state = FindOwned(cell)) {
    state->allocator->OnPrefillDone(id, SteadyClock::now());
    ProcessQueue(*state);
  }
}

void AllocatorService::Release(const CellId& cell, const RequestId& id) {
  if (CellState* state = FindOwned(cell)) {
    state->allocator->Release(id, SteadyClock::now());
    state->waiting.erase(id);
    ProcessQueue(*state);
  }
}

void AllocatorService::ReportObservation(
    const CellId& cell,
    const BackendObservation& observation) {
  CellState* state = FindOwned(cell);
  if (state == nullptr) {
    return;
  }
  TimePoint now = SteadyClock::now();
  uint64_t before = state->allocator->ejections();
  if (observation.failed) {
    state->allocator->ObserveFailure(observation.backend, now);
  } else {
    state->allocator->ObserveSlowness(observation.backend, observation.slowness,
                                      now);
  }
  if (state->allocator->ejections() > before) {
    LogEvent("backend_ejected")
        .Field("backend", observation.backend)
        .Field("slowness", observation.slowness);
    context_.metrics.Increment("mangoyoke_ejections_total", "backend",
                               observation.backend);
  }
}

void AllocatorService::ReportProbeResult(
    const BackendObservation& observation) {
  if (auto cell = cell_of_.find(observation.backend); cell != cell_of_.end()) {
    ReportObservation(cell->second, observation);
  }
}

std::vector<BackendId> AllocatorService::BackendsNeedingProbe() const {
  std::vector<BackendId> ids;
  TimePoint now = SteadyClock::now();
  for (const auto& [backend, cell] : cell_of_) {
    if (owned_.at(cell).allocator->HealthOf(backend, now) ==
        StragglerDetector::Health::kProbing) {
      ids.push_back(backend);
    }
  }
  return ids;
}

BackendId AllocatorService::FindHealthyPrefill(const BackendId& id) const {
  auto cell = cell_of_.find(id);
  if (cell == cell_of_.end()) {
    return "";
  }
  const CellState& state = owned_.at(cell->second);
  TimePoint now = SteadyClock::now();
  for (const BackendId& other : state.cell.backends) {
    if (plan_->backends.at(other).role == BackendRole::kPrefill &&
        state.allocator->HealthOf(other, now) ==
            StragglerDetector::Health::kNormal) {
      return other;
    }
  }
  return "";
}

void AllocatorService::RestoreGrant(const CellId& cell,
                                    const OwnedGrant& owned) {
  if (CellState* state = FindOwned(cell)) {
    state->allocator->RestoreGrant(owned, SteadyClock::now());
  }
}

void AllocatorService::OnOwnerDead(const RequestOwner& owner) {
  for (auto& [id, state] : owned_) {
    state.allocator->OnOwnerDead(owner, SteadyClock::now());
  }
}

void AllocatorService::OnEngineState(const BackendId& id,
                                     const EngineState& engine) {
  auto cell = cell_of_.find(id);
  if (cell == cell_of_.end()) {
    return;
  }
  std::vector<RequestId> running;
  for (const EngineState::RunningRequest& request : engine.running) {
    running.push_back(request.id);
  }
  CellState& state = owned_.at(cell->second);
  state.allocator->SetReachable(id, true);
  state.allocator->UpdateRunningRequests(id, running, SteadyClock::now());
  ProcessQueue(state);
}

void AllocatorService::OnEngineUnreachable(const BackendId& id) {
  if (auto cell = cell_of_.find(id); cell != cell_of_.end()) {
    owned_.at(cell->second).allocator->SetReachable(id, false);
  }
}

PrefixIndex* AllocatorService::PrefixIndexOf(const BackendId& id) {
  auto cell = cell_of_.find(id);
  return cell == cell_of_.end()
             ? nullptr
             : &owned_.at(cell->second).allocator->prefixes();
}

std::vector<BackendId> AllocatorService::AssignedBackends() const {
  std::vector<BackendId> ids;
  for (const auto& [backend, cell] : cell_of_) {
    ids.push_back(backend);
  }
  return ids;
}

std::vector<std::pair<CellId, OwnedGrant>> AllocatorService::GrantsOlderThan(
    Duration age) const {
  std::vector<std::pair<CellId, OwnedGrant>> grants;
  for (const auto& [id, state] : owned_) {
    for (OwnedGrant& grant :
         state.allocator->GrantsOlderThan(age, SteadyClock::now())) {
      grants.emplace_back(id, std::move(grant));
    }
  }
  return grants;
}

Json AllocatorService::DescribeCells() const {
  Json cells = Json::array();
  TimePoint now = SteadyClock::now();
  for (const auto& [id, state] : owned_) {
    auto summary = state.allocator->Summarize(now);
    cells.push_back(Json{{"cell", id},
                         {"backends", state.cell.backends.size()},
                         {"grants", state.allocator->grants()},
                         {"waiting", summary.waiting},
                         {"free_slots", summary.free_slots}});
  }
  return cells;
}

void AllocatorService::ProcessQueue(CellState& state) {
  if (state.allocator->waiting() == 0) {
    return;
  }
  TimePoint now = SteadyClock::now();
  for (SlotDecision& decision : state.allocator->ProcessQueue(now)) {
    auto it = state.waiting.find(decision.id);
    if (it == state.waiting.end()) {
      state.allocator->Release(decision.id, now);
      continue;
    }
    ReplyCallback callback = std::move(it->second);
    state.waiting.erase(it);
    callback(
        Reply{std::move(decision.result), state.allocator->Summarize(now)});
  }
}

void AllocatorService::EndTemporaryTakeovers() {
  TimePoint now = SteadyClock::now();
  bool ended = false;
  for (auto& [id, state] : owned_) {
    if (state.temporary_until != TimePoint{} && state.temporary_until <= now) {
      state.temporary_until = TimePoint{};
      ended = true;
    }
  }
  if (ended) {
    UpdateCells(plan_);
  }
}

void AllocatorService::ProcessAllQueues() {
  EndTemporaryTakeovers();
  for (auto& [id, state] : owned_) {
    ProcessQueue(state);
  }
}

}  // namespace mangoyoke
