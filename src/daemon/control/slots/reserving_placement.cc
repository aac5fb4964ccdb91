// Sends reservations to the allocators of cells and handles their replies.

#include "daemon/control/slots/reserving_placement.h"

#include <algorithm>

#include "daemon/control/slots/slot_codec.h"

namespace mangoyoke {
namespace {

constexpr Millis kMessageTimeout{2000};
// Added to the time until the deadline when waiting for an allocator's reply.
constexpr Millis kReserveTimeoutMargin{300};
constexpr size_t kMaxAllocatorsTried = 3;

bool ShouldTryOtherCell(ErrorCode code) {
  return code == ErrorCode::kDeadlineTooShort ||
         code == ErrorCode::kNoBackend || code == ErrorCode::kQueueFull;
}

Json EncodeReply(const AllocatorService::Reply& reply) {
  Json message{{"free", reply.summary.free_slots},
               {"waiting", reply.summary.waiting}};
  if (const auto* error = std::get_if<Error>(&reply.result)) {
    message["error"] = static_cast<int>(error->code);
    message["detail"] = error->detail;
  } else {
    message["grant"] = EncodeGrant(std::get<SlotGrant>(reply.result));
  }
  return message;
}

AllocatorService::Reply DecodeReply(const Json& message) {
  AllocatorService::Reply reply;
  reply.summary.free_slots = message.value("free", int64_t{0});
  reply.summary.waiting = message.value("waiting", int64_t{0});
  if (message.contains("grant")) {
    reply.result = DecodeGrant(message["grant"]);
  } else {
    reply.result = Error{static_cast<ErrorCode>(message.at("error").get<int>()),
                         message.value("detail", "")};
  }
  return reply;
}

Json EncodeObservation(const BackendObservation& observation) {
  return Json::array(
      {observation.backend, observation.slowness, observation.failed});
}

BackendObservation DecodeObservation(const Json& message) {
  return BackendObservation{message.at(0).get<std::string>(),
                            message.at(1).get<double>(),
                            message.at(2).get<bool>()};
}

}  // namespace

ReservingPlacement::ReservingPlacement(ControlContext context,
                                       PlanService& plans,
                                       AllocatorService& allocators)
    : context_(context), plans_(plans), allocators_(allocators) {}

void ReservingPlacement::Reserve(SlotRequest request, GrantCallback callback) {
  RequestId id = request.id;
  ActiveRequest& active = active_requests_[id];
  active.cells = CellsFor(request);
  active.request = std::move(request);
  active.callback = std::move(callback);
  if (active.cells.empty()) {
    Finish(active, Error{ErrorCode::kNoBackend,
                         "no cell for model " + active.request.model});
    return;
  }
  RequestGrant(id);
}

std::vector<CellId> ReservingPlacement::CellsFor(const SlotRequest& request) {
  const std::string& region = context_.membership.self().region;
  std::vector<CellId> same_region;
  std::vector<CellId> other_regions;
  for (const auto& [id, cell] : cells_) {
    if (cell.model == request.model) {
      (cell.region == region ? same_region : other_regions).push_back(id);
    }
  }
  // Of two random cells in this region, the less loaded one is tried first.
  std::shuffle(same_region.begin(), same_region.end(), random_);
  if (same_region.size() > 1) {
    auto load = [this](const CellId& id) {
      const SlotAllocator::Summary& summary = summaries_[id];
      return summary.waiting - summary.free_slots;
    };
    if (load(same_region[1]) < load(same_region[0])) {
      std::swap(same_region[0], same_region[1]);
    }
    same_region.resize(2);
  }
  same_region.insert(same_region.end(), other_regions.begin(),
                     other_regions.end());
  return same_region;
}

InstanceId ReservingPlacement::AllocatorOf(const CellId& cell,
                                           size_t allocator_rank) const {
  auto it = cells_.find(cell);
  if (it == cells_.end()) {
    return "";
  }
  auto order = RankAllocators(it->second, context_.membership.All());
  return allocator_rank < order.size() ? order[allocator_rank] : "";
}

void ReservingPlacement::RequestGrant(const RequestId& id) {
  ActiveRequest& active = active_requests_.at(id);
  const CellId cell = active.cells.front();
  InstanceId allocator = AllocatorOf(cell, active.allocator_rank);
  TimePoint now = SteadyClock::now();
  if (allocator.empty() || now >= active.request.deadline) {
    ErrorCode code =
        allocator.empty() ? ErrorCode::kNoBackend : ErrorCode::kDeadlineExpired;
    Finish(active,
           Error{code, "no allocator of cell " + cell + " responded in time"});
    return;
  }
  active.allocator = allocator;
  bool takeover = active.allocator_rank > 0;
  if (allocator == context_.membership.self().id) {
    allocators_.Reserve(cell, takeover, active.request,
                        [this, id, allocator](AllocatorService::Reply reply) {
                          OnReply(id, allocator, reply);
                        });
    return;
  }
  auto record = context_.membership.Find(allocator);
  auto remaining =
      std::chrono::duration_cast<Millis>(active.request.deadline - now);
  Json message{{"cell", cell},
               {"takeover", takeover},
               {"request", EncodeSlotRequest(active.request, now)}};
  context_.peers.Call(record->peer_address, "/slots/reserve", message,
                      remaining + kReserveTimeoutMargin,
                      [this, id, allocator](Result<Json> result) {
                        AllocatorService::Reply reply;
                        if (const auto* error = std::get_if<Error>(&result)) {
                          reply.result = *error;
                        } else {
                          reply = DecodeReply(std::get<Json>(result));
                        }
                        OnReply(id, allocator, reply);
                      });
}

void ReservingPlacement::OnReply(const RequestId& id,
                                 const InstanceId& allocator,
                                 const AllocatorService::Reply& reply) {
  auto it = active_requests_.find(id);
  if (it == active_requests_.end() || it->second.allocator != allocator) {
    return;
  }
  ActiveRequest& active = it->second;
  if (!active.callback) {
    return;
  }
  const auto* error = std::get_if<Error>(&reply.result);
  if (error == nullptr) {
    summaries_[active.cells.front()] = reply.summary;
    active.granted = true;
    active.grant = std::get<SlotGrant>(reply.result);
    Finish(active, active.grant);
    return;
  }
  if (error->code == ErrorCode::kPeerUnreachable) {
    TryNextAllocator(active);
    return;
  }
  summaries_[active.cells.front()] = reply.summary;
  if (ShouldTryOtherCell(error->code) && active.cells.size() > 1) {
    active.cells.erase(active.cells.begin());
    active.allocator_rank = 0;
    RequestGrant(id);
    return;
  }
  Finish(active, *error);
}

void ReservingPlacement::TryNextAllocator(ActiveRequest& active) {
  context_.metrics.Increment("mangoyoke_retries_total", "reason",
                             "allocator_unreachable");
  // The allocator may have made a grant whose reply was lost.
  SendToAllocator(active, "/slots/release", Json{{"id", active.request.id}});
  ++active.allocator_rank;
  if (active.allocator_rank >= kMaxAllocatorsTried) {
    Finish(active, Error{ErrorCode::kNoBackend,
                         "no allocator of cell " + active.cells.front() +
                             " responded, " +
                             std::to_string(active.allocator_rank) + " tried"});
    return;
  }
  RequestGrant(active.request.id);
}

void ReservingPlacement::Finish(ActiveRequest& active,
                                Result<SlotGrant> result) {
  GrantCallback callback = std::move(active.callback);
  active.callback = nullptr;
  if (!Ok(result)) {
    RequestId id = active.request.id;
    active_requests_.erase(id);
  }
  callback(std::move(result));
}

void ReservingPlacement::OnPrefillDone(const RequestId& id) {
  if (auto it = active_requests_.find(id); it != active_requests_.end()) {
    it->second.prefill_done = true;
    SendToAllocator(it->second, "/slots/prefill-done", Json{{"id", id}});
  }
}

void ReservingPlacement::Release(const RequestId& id) {
  auto it = active_requests_.find(id);
  if (it == active_requests_.end()) {
    return;
  }
  SendToAllocator(it->second, "/slots/release", Json{{"id", id}});
  active_requests_.erase(it);
}

void ReservingPlacement::ReportObservation(
    const RequestId& id,
    const BackendObservation& observation) {
  if (auto it = active_requests_.find(id); it != active_requests_.end()) {
    SendToAllocator(it->second, "/slots/observe",
                    Json{{"o", EncodeObservation(observation)}});
  }
}

void ReservingPlacement::OnTopologyChange() {
  if (auto plan = plans_.Current(); plan && plan != plan_) {
    plan_ = plan;
    cells_ = BuildCells(*plan_);
  }
  std::vector<RequestId> ids;
  for (const auto& [id, active] : active_requests_) {
    ids.push_back(id);
  }
  for (const RequestId& id : ids) {
    auto it = active_requests_.find(id);
    if (it == active_requests_.end()) {
      continue;
    }
    ActiveRequest& active = it->second;
    InstanceId allocator = AllocatorOf(active.cells.front(), 0);
    if (allocator == active.allocator || allocator.empty()) {
      continue;
    }
    if (active.granted) {
      ReportHeldGrant(active, allocator);
    } else if (active.callback) {
      // The request waits at an instance that no longer allocates the cell.
      SendToAllocator(active, "/slots/release", Json{{"id", id}});
      active.allocator_rank = 0;
      RequestGrant(id);
    }
  }
}

void ReservingPlacement::ReportHeldGrants() {
  for (auto& [id, active] : active_requests_) {
    if (active.granted) {
      ReportHeldGrant(active, active.allocator);
    }
  }
}

void ReservingPlacement::ReportHeldGrant(ActiveRequest& active,
                                         const InstanceId& allocator) {
  active.allocator = allocator;
  OwnedGrant owned{active.grant, active.request.owner, active.request.account,
                   active.prefill_done};
  SendToAllocator(active, "/slots/assert",
                  Json{{"a", EncodeOwnedGrant(owned)}});
}

void ReservingPlacement::SendToAllocator(const ActiveRequest& active,
                                         const std::string& path,
                                         Json message) {
  message["cell"] = active.cells.front();
  if (active.allocator == context_.membership.self().id) {
    HandleSlotMessage(allocators_, path, message, [](Result<Json>) {});
    return;
  }
  if (auto record = context_.membership.Find(active.allocator)) {
    context_.peers.Call(record->peer_address, path, message, kMessageTimeout,
                        [](Result<Json>) {});
  }
}

bool HandleSlotMessage(AllocatorService& allocators,
                       const std::string& path,
                       const Json& message,
                       const PeerResponder& respond) {
  if (!path.starts_with("/slots/")) {
    return false;
  }
  CellId cell = message.at("cell").get<std::string>();
  if (path == "/slots/reserve") {
    allocators.Reserve(
        cell, message.at("takeover").get<bool>(),
        DecodeSlotRequest(message.at("request"), SteadyClock::now()),
        [respond](AllocatorService::Reply reply) {
          respond(EncodeReply(reply));
        });
    return true;
  }
  if (path == "/slots/prefill-done") {
    allocators.OnPrefillDone(cell, message.at("id").get<std::string>());
  } else if (path == "/slots/release") {
    allocators.Release(cell, message.at("id").get<std::string>());
  } else if (path == "/slots/observe") {
    allocators.ReportObservation(cell, DecodeObservation(message.at("o")));
  } else if (path == "/slots/assert") {
    allocators.RestoreGrant(cell, DecodeOwnedGrant(message.at("a")));
  } else {
    return false;
  }
  respond(Json::object());
  return true;
}

}  // namespace mangoyoke
