// Leases and orders.

#include "daemon/control/orders/engine_reconciler.h"

#include "base/log.h"

namespace mangoyoke {
namespace {

constexpr Duration kTickInterval = Millis(500);
constexpr Millis kLeaseLength{6000};
// Order and store calls end within these times or are given up.
constexpr Millis kOrderTimeout{2000};
constexpr Millis kStoreTimeout{1500};
// Kept from the end of the lease, for an order under way.
constexpr Millis kLeaseMargin{2500};
// Allowed difference between wall clocks.
constexpr Millis kClockSkew{500};
constexpr int kNotFound = 404;

}  // namespace

EngineReconciler::EngineReconciler(ControlContext context,
                                   PlanService& plans,
                                   AllocatorService& allocators,
                                   EngineWatcher& watcher)
    : context_(context),
      plans_(plans),
      allocators_(allocators),
      watcher_(watcher) {}

void EngineReconciler::Start() {
  timer_ = std::make_unique<PeriodicTimer>(context_.io, kTickInterval,
                                           [this] { Tick(); });
}

void EngineReconciler::Tick() {
  auto plan = plans_.Current();
  if (!plan) {
    return;
  }
  TimePoint now = SteadyClock::now();
  for (const BackendId& id : allocators_.AssignedBackends()) {
    auto backend = plan->backends.find(id);
    if (backend == plan->backends.end() || !NeedsOrder(id, backend->second)) {
      continue;
    }
    Lease& lease = leases_[id];
    if (lease.busy) {
      continue;
    }
    if (now + kLeaseMargin >= lease.valid_until) {
      Acquire(id);
    } else if (now >= lease.usable_after) {
      GiveOrder(id);
    }
  }
}

bool EngineReconciler::NeedsOrder(const BackendId& id,
                                  const Backend& wanted) const {
  const EngineState* state = watcher_.StateOf(id);
  if (state == nullptr) {
    return false;
  }
  auto plan = plans_.Current();
  return state->role != wanted.role || state->model != wanted.model ||
         state->version != plan->models.at(wanted.model).version;
}

void EngineReconciler::Acquire(const BackendId& id) {
  leases_[id].busy = true;
  ClientRequest request;
  request.url = context_.settings.platform_url + "/tables/leases/" + id;
  request.timeout = kStoreTimeout;
  context_.http.Start(std::move(request), [this, id](ClientResponse response) {
    OnRow(id, response);
  });
}

void EngineReconciler::OnRow(const BackendId& id,
                             const ClientResponse& response) {
  Lease& lease = leases_[id];
  if (response.status == kNotFound) {
    WriteLease(id, 1, 0, false);
    return;
  }
  Json row = Json::parse(response.body, nullptr, false);
  if (!response.Succeeded() || !row.is_object()) {
    context_.metrics.Increment("mangoyoke_store_errors_total", "call",
                               "read_lease");
    lease.busy = false;
    return;
  }
  Json value = Json::parse(row.value("value", ""), nullptr, false);
  if (!value.is_object()) {
    value = Json::object();
  }
  std::string holder = value.value("holder", "");
  const MemberRecord& self = context_.membership.self();
  std::string own = self.id + "/" + std::to_string(self.incarnation);
  int64_t expires_ms = value.value("expires_ms", int64_t{0});
  bool other = holder != own;
  if (other && WallMillis() < expires_ms + kClockSkew.count()) {
    lease.busy = false;  // Held by another instance; it gives the orders.
    return;
  }
  uint64_t fencing = value.value("fencing", uint64_t{0});
  WriteLease(id, other ? fencing + 1 : fencing,
             row.value("version", int64_t{0}), other);
}

void EngineReconciler::WriteLease(const BackendId& id,
                                  uint64_t fencing,
                                  int64_t expected_version,
                                  bool other_holder) {
  // Counted from before the write, so that a slow store shortens the lease.
  TimePoint started = SteadyClock::now();
  const MemberRecord& self = context_.membership.self();
  Json value{{"holder", self.id + "/" + std::to_string(self.incarnation)},
             {"fencing", fencing},
             {"expires_ms", WallMillis() + kLeaseLength.count()}};
  ClientRequest request;
  request.method = "PUT";
  request.url = context_.settings.platform_url + "/tables/leases/" + id;
  request.body = Json{
      {"expected_version", expected_version},
      {"value",
       value.dump()}}.dump();
  request.timeout = kStoreTimeout;
  request.fresh_connection = true;
  context_.http.Start(
      std::move(request),
      [this, id, fencing, started, other_holder](ClientResponse response) {
        Lease& lease = leases_[id];
        lease.busy = false;
        if (!response.Succeeded()) {
          // Lost to another, or unknown; the next read shows which.
          return;
        }
        lease.fencing = fencing;
        lease.valid_until = started + kLeaseLength;
        auto plan = plans_.Current();
        bool checks =
            plan->backends.contains(id) && plan->backends.at(id).checks_fencing;
        // The holder before stops giving orders kLeaseMargin before its
        // lease ends, and no order takes longer than kOrderTimeout; its lease
        // was over before this one began. An engine that ignores the number
        // gets an extra wait for an order delayed on the way.
        lease.usable_after =
            other_holder && !checks ? started + kOrderTimeout : started;
        LogEvent("lease")
            .Field("backend", id)
            .Field("fencing", static_cast<int64_t>(fencing));
      });
}

void EngineReconciler::GiveOrder(const BackendId& id) {
  auto plan = plans_.Current();
  const Backend& backend = plan->backends.at(id);
  const Model& model = plan->models.at(backend.model);
  Lease& lease = leases_[id];
  // The own clock decides: a pause before this line must not act on a lease
  // that ended meanwhile.
  if (SteadyClock::now() + kLeaseMargin >= lease.valid_until) {
    return;
  }
  lease.busy = true;
  ClientRequest request;
  request.method = "POST";
  request.url = backend.url + "/v1/orders";
  request.timeout = kOrderTimeout;
  request.fresh_connection = true;
  request.body = Json{{"fencing", lease.fencing},
                      {"holder", context_.membership.self().id},
                      {"role", RoleName(backend.role)},
                      {"model", backend.model},
                      {"version", model.version}}
                     .dump();
  context_.http.Start(std::move(request), [this, id](ClientResponse response) {
    Lease& held = leases_[id];
    held.busy = false;
    if (!response.Succeeded()) {
      context_.metrics.Increment("mangoyoke_orders_failed_total");
      if (response.status != 0) {
        // Refused: another holder has a higher number.
        held.valid_until = TimePoint{};
      }
    } else {
      context_.metrics.Increment("mangoyoke_orders_total");
    }
    LogEvent("order")
        .Field("backend", id)
        .Field("status", static_cast<int64_t>(response.status));
  });
}

}  // namespace mangoyoke
