// The entry's side of slot allocation.

#include "daemon/control/slots/reserving_placement.h"

#include <algorithm>

#include "daemon/control/slots/slot_codec.h"

namespace mangoyoke {
namespace {

constexpr Millis kTellTimeout{2000};
constexpr Millis kReserveSlack{300};
constexpr size_t kMaxAllocatorsTried = 3;

bool MayFitElsewhere(ErrorCode code) {
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
  Open& open = open_[id];
  open.cells = CellsFor(request);
  open.request = std::move(request);
  open.callback = std::move(callback);
  if (open.cells.empty()) {
    Finish(open, Error{ErrorCode::kNoBackend, "no cell for the model"});
    return;
  }
  Ask(id);
}

std::vector<CellId> ReservingPlacement::CellsFor(const SlotRequest& request) {
  const std::string& region = context_.membership.self().region;
  std::vector<CellId> near;
  std::vector<CellId> far;
  for (const auto& [id, cell] : cells_) {
    if (cell.model == request.model) {
      (cell.region == region ? near : far).push_back(id);
    }
  }
  // The better of two random cells goes first; others follow.
  std::shuffle(near.begin(), near.end(), random_);
  if (near.size() > 1) {
    auto load = [this](const CellId& id) {
      const SlotAllocator::Summary& summary = summaries_[id];
      return summary.waiting - summary.free_slots;
    };
    if (load(near[1]) < load(near[0])) {
      std::swap(near[0], near[1]);
    }
    near.resize(2);
  }
  near.insert(near.end(), far.begin(), far.end());
  return near;
}

InstanceId ReservingPlacement::AllocatorOf(const CellId& cell,
                                           size_t attempt) const {
  auto it = cells_.find(cell);
  if (it == cells_.end()) {
    return "";
  }
  auto order = RankAllocators(it->second, context_.membership.All());
  return attempt < order.size() ? order[attempt] : "";
}

void ReservingPlacement::Ask(const RequestId& id) {
  Open& open = open_.at(id);
  const CellId cell = open.cells.front();
  InstanceId allocator = AllocatorOf(cell, open.attempt);
  TimePoint now = SteadyClock::now();
  if (allocator.empty() || now >= open.request.deadline) {
    ErrorCode code =
        allocator.empty() ? ErrorCode::kNoBackend : ErrorCode::kDeadlineExpired;
    Finish(open, Error{code, "no allocator answers"});
    return;
  }
  open.allocator = allocator;
  bool takeover = open.attempt > 0;
  if (allocator == context_.membership.self().id) {
    allocators_.Reserve(cell, takeover, open.request,
                        [this, id, allocator](AllocatorService::Reply reply) {
                          OnReply(id, allocator, reply);
                        });
    return;
  }
  auto record = context_.membership.Find(allocator);
  auto left = std::chrono::duration_cast<Millis>(open.request.deadline - now);
  Json message{{"cell", cell},
               {"takeover", takeover},
               {"request", EncodeSlotRequest(open.request, now)}};
  context_.peers.Call(record->peer_address, "/slots/reserve", message,
                      left + kReserveSlack,
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
  auto it = open_.find(id);
  if (it == open_.end() || it->second.allocator != allocator) {
    return;
  }
  Open& open = it->second;
  if (!open.callback) {
    return;
  }
  const auto* error = std::get_if<Error>(&reply.result);
  if (error == nullptr) {
    summaries_[open.cells.front()] = reply.summary;
    open.granted = true;
    open.grant = std::get<SlotGrant>(reply.result);
    Finish(open, open.grant);
    return;
  }
  if (error->code == ErrorCode::kPeerUnreachable) {
    TryNextAllocator(open);
    return;
  }
  summaries_[open.cells.front()] = reply.summary;
  if (MayFitElsewhere(error->code) && open.cells.size() > 1) {
    open.cells.erase(open.cells.begin());
    open.attempt = 0;
    Ask(id);
    return;
  }
  Finish(open, *error);
}

void ReservingPlacement::TryNextAllocator(Open& open) {
  context_.metrics.Increment("mangoyoke_retries_total", "reason",
                             "allocator_unreachable");
  // A grant may have been made without our knowing.
  Tell(open, "/slots/release", Json{{"id", open.request.id}});
  ++open.attempt;
  if (open.attempt >= kMaxAllocatorsTried) {
    Finish(open, Error{ErrorCode::kNoBackend, "no allocator answers"});
    return;
  }
  Ask(open.request.id);
}

void ReservingPlacement::Finish(Open& open, Result<SlotGrant> result) {
  GrantCallback callback = std::move(open.callback);
  open.callback = nullptr;
  if (!Ok(result)) {
    RequestId id = open.request.id;
    open_.erase(id);
  }
  callback(std::move(result));
}

void ReservingPlacement::OnPrefillDone(const RequestId& id) {
  if (auto it = open_.find(id); it != open_.end()) {
    it->second.prefill_done = true;
    Tell(it->second, "/slots/prefill-done", Json{{"id", id}});
  }
}

void ReservingPlacement::Release(const RequestId& id) {
  auto it = open_.find(id);
  if (it == open_.end()) {
    return;
  }
  Tell(it->second, "/slots/release", Json{{"id", id}});
  open_.erase(it);
}

void ReservingPlacement::ReportObservation(
    const RequestId& id,
    const BackendObservation& observation) {
  if (auto it = open_.find(id); it != open_.end()) {
    Tell(it->second, "/slots/observe",
         Json{{"o", EncodeObservation(observation)}});
  }
}

void ReservingPlacement::OnTopologyChange() {
  if (auto plan = plans_.Current(); plan && plan != plan_) {
    plan_ = plan;
    cells_ = BuildCells(*plan_);
  }
  std::vector<RequestId> ids;
  for (const auto& [id, open] : open_) {
    ids.push_back(id);
  }
  for (const RequestId& id : ids) {
    auto it = open_.find(id);
    if (it == open_.end()) {
      continue;
    }
    Open& open = it->second;
    InstanceId allocator = AllocatorOf(open.cells.front(), 0);
    if (allocator == open.allocator || allocator.empty()) {
      continue;
    }
    if (open.granted) {
      ReportHeldGrant(open, allocator);
    } else if (open.callback) {
      // Waiting at an instance that no longer allocates the cell.
      Tell(open, "/slots/release", Json{{"id", id}});
      open.attempt = 0;
      Ask(id);
    }
  }
}

void ReservingPlacement::ReportHeldGrants() {
  for (auto& [id, open] : open_) {
    if (open.granted) {
      ReportHeldGrant(open, open.allocator);
    }
  }
}

void ReservingPlacement::ReportHeldGrant(Open& open,
                                         const InstanceId& allocator) {
  open.allocator = allocator;
  OwnedGrant owned{open.grant, open.request.owner, open.request.account,
                   open.prefill_done};
  Tell(open, "/slots/assert", Json{{"a", EncodeOwnedGrant(owned)}});
}

void ReservingPlacement::Tell(const Open& open,
                              const std::string& path,
                              Json message) {
  message["cell"] = open.cells.front();
  if (open.allocator == context_.membership.self().id) {
    HandleSlotMessage(allocators_, path, message, [](Result<Json>) {});
    return;
  }
  if (auto record = context_.membership.Find(open.allocator)) {
    context_.peers.Call(record->peer_address, path, message, kTellTimeout,
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
