// Acquires leases on engines and sends orders to them.

#include "daemon/control/orders/engine_reconciler.h"

#include "base/log.h"

namespace mangoyoke {
namespace {

constexpr Duration kTickInterval = Millis(500);
constexpr Millis kLeaseDuration{6000};
// Timeouts of one order and of one call of the table service.
constexpr Millis kOrderTimeout{2000};
constexpr Millis kStoreTimeout{1500};
// No order starts this close to the end of the lease, so that an order in
// flight ends before the lease does.
constexpr Millis kLeaseMargin{2500};
// Maximum tolerated difference between the wall clocks of two instances.
constexpr Millis kMaxClockSkew{500};
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
      AcquireLease(id);
    } else if (now >= lease.usable_after) {
      SendOrder(id);
    }
  }
}

bool EngineReconciler::NeedsOrder(const BackendId& id,
                                  const Backend& desired) const {
  const EngineState* state = watcher_.GetState(id);
  if (state == nullptr) {
    return false;
  }
  auto plan = plans_.Current();
  return state->role != desired.role || state->model != desired.model ||
         state->version != plan->models.at(desired.model).version;
}

void EngineReconciler::AcquireLease(const BackendId& id) {
  leases_[id].busy = true;
  ClientRequest request;
  request.url = context_.settings.platform_url + "/tables/leases/" + id;
  request.timeout = kStoreTimeout;
  context_.http.Start(std::move(request), [this, id](ClientResponse response) {
    OnLeaseRow(id, response);
  });
}

void EngineReconciler::OnLeaseRow(const BackendId& id,
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
  std::string own_holder = self.id + "/" + std::to_string(self.incarnation);
  int64_t expires_ms = value.value("expires_ms", int64_t{0});
  bool held_by_other = holder != own_holder;
  if (held_by_other && WallMillis() < expires_ms + kMaxClockSkew.count()) {
    lease.busy = false;  // The other instance sends the orders.
    return;
  }
  uint64_t fencing_token = value.value("fencing", uint64_t{0});
  WriteLease(id, held_by_other ? fencing_token + 1 : fencing_token,
             row.value("version", int64_t{0}), held_by_other);
}

void EngineReconciler::WriteLease(const BackendId& id,
                                  uint64_t fencing_token,
                                  int64_t expected_version,
                                  bool other_holder) {
  // Validity counts from before the write, so that a slow store shortens the
  // lease instead of extending it.
  TimePoint started = SteadyClock::now();
  const MemberRecord& self = context_.membership.self();
  Json value{{"holder", self.id + "/" + std::to_string(self.incarnation)},
             {"fencing", fencing_token},
             {"expires_ms", WallMillis() + kLeaseDuration.count()}};
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
      std::move(request), [this, id, fencing_token, started,
                           other_holder](ClientResponse response) {
        Lease& lease = leases_[id];
        lease.busy = false;
        if (!response.Succeeded()) {
          // Another instance won, or the outcome is unknown. The next read of
          // the row shows which.
          return;
        }
        lease.fencing_token = fencing_token;
        lease.valid_until = started + kLeaseDuration;
        auto plan = plans_.Current();
        bool checks_fencing_token =
            plan->backends.contains(id) && plan->backends.at(id).checks_fencing;
        // The previous holder starts no order within kLeaseMargin of the end
        // of its lease, no order takes longer than kOrderTimeout, and its lease
        // ended before this one began. Engines that ignore the fencing token
        // get an extra wait in case an order is delayed in the network.
        lease.usable_after = other_holder && !checks_fencing_token
                                 ? started + kOrderTimeout
                                 : started;
        LogEvent("lease")
            .Field("backend", id)
            .Field("fencing", static_cast<int64_t>(fencing_token));
      });
}

void EngineReconciler::SendOrder(const BackendId& id) {
  auto plan = plans_.Current();
  const Backend& backend = plan->backends.at(id);
  const Model& model = plan->models.at(backend.model);
  Lease& lease = leases_[id];
  // Checked again here: the process may have been suspended since the last
  // check, and the lease may have ended meanwhile.
  if (SteadyClock::now() + kLeaseMargin >= lease.valid_until) {
    return;
  }
  lease.busy = true;
  ClientRequest request;
  request.method = "POST";
  request.url = backend.url + "/v1/orders";
  request.timeout = kOrderTimeout;
  request.fresh_connection = true;
  request.body = Json{{"fencing", lease.fencing_token},
                      {"holder", context_.membership.self().id},
                      {"role", RoleName(backend.role)},
                      {"model", backend.model},
                      {"version", model.version}}
                     .dump();
  context_.http.Start(std::move(request), [this, id](ClientResponse response) {
    Lease& current_lease = leases_[id];
    current_lease.busy = false;
    if (!response.Succeeded()) {
      context_.metrics.Increment("mangoyoke_orders_failed_total");
      if (response.status != 0) {
        // Rejected: another holder has a higher fencing token.
        current_lease.valid_until = TimePoint{};
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
