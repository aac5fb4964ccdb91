// Attempts, retries and hedges of service calls.

#include "daemon/traffic/service_runner.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>

#include "base/log.h"

namespace mangoyoke {
namespace {

// Weight of a new sample in the moving average of the latency.
constexpr double kLatencySmoothing = 0.1;
// A hedge starts after this multiple of the mean latency plus this margin.
constexpr double kHedgeFactor = 4;
constexpr double kHedgeMarginMs = 20;
// Most attempts of one call, including hedges.
constexpr size_t kMaxAttempts = 4;
constexpr Millis kConnectTimeout{500};

}  // namespace

// One call in progress, with all its attempts.
struct ServiceRunner::Call {
  explicit Call(boost::asio::io_context& io) : hedge(io) {}

  ServiceRequest request;
  Callback callback;
  std::shared_ptr<const Plan> plan;
  bool idempotent = false;
  TimePoint started;
  TimePoint deadline;
  std::vector<BackendId> tried;
  std::map<BackendId, TransferId> transfers;  // Attempts in flight.
  boost::asio::steady_timer hedge;
  bool done = false;
  Error last_error;
};

ServiceRunner::ServiceRunner(TrafficContext& context) : context_(context) {}
ServiceRunner::~ServiceRunner() = default;

ServiceRunner::ServiceState& ServiceRunner::GetState(const Service& service) {
  // The limit is per instance and divided evenly among the traffic threads.
  int64_t threads = context_.settings.traffic_threads;
  int64_t share = (service.max_concurrent + threads - 1) / threads;
  auto [it, inserted] = services_.try_emplace(service.id, share);
  it->second.limit.SetMaximum(share);
  return it->second;
}

void ServiceRunner::Run(ServiceRequest request, Callback callback) {
  auto plan = context_.control.CurrentPlan();
  if (!plan || !plan->services.contains(request.service)) {
    callback(Error{ErrorCode::kUnknownService, request.service});
    return;
  }
  const Service& service = plan->services.at(request.service);
  if (!GetState(service).limit.TryAcquire()) {
    callback(Error{ErrorCode::kServiceLimit, request.service});
    return;
  }
  ++active_calls_;
  context_.retries.OnRequest();
  auto call = std::make_shared<Call>(context_.io);
  call->plan = plan;
  call->callback = std::move(callback);
  call->idempotent =
      plan->IsIdempotent(request.service, request.method, request.path);
  call->started = SteadyClock::now();
  call->deadline =
      call->started + std::min(service.timeout, Millis(request.timeout_ms));
  call->request = std::move(request);
  StartAttempt(call);
}

std::vector<BackendId> ServiceRunner::RankBackends(const Plan& plan,
                                                   const ServiceId& service) {
  TimePoint now = SteadyClock::now();
  std::vector<BackendId> healthy;
  std::vector<BackendId> ejected;
  for (const auto& [id, backend] : plan.backends) {
    if (backend.role != BackendRole::kService || backend.service != service ||
        backend.leaving) {
      continue;
    }
    auto health = stragglers_.HealthOf(id, now);
    (health == StragglerDetector::Health::kEjected ? ejected : healthy)
        .push_back(id);
  }
  std::stable_sort(healthy.begin(), healthy.end(),
                   [this](const BackendId& left, const BackendId& right) {
                     return in_flight_[left] < in_flight_[right];
                   });
  healthy.insert(healthy.end(), ejected.begin(), ejected.end());
  return healthy;
}

void ServiceRunner::StartAttempt(const std::shared_ptr<Call>& call) {
  TimePoint now = SteadyClock::now();
  BackendId chosen;
  for (const BackendId& id : RankBackends(*call->plan, call->request.service)) {
    if (std::find(call->tried.begin(), call->tried.end(), id) ==
        call->tried.end()) {
      chosen = id;
      break;
    }
  }
  if (chosen.empty() || now >= call->deadline ||
      call->tried.size() >= kMaxAttempts) {
    if (call->transfers.empty()) {
      Error no_backend{ErrorCode::kNoBackend, call->request.service};
      Finish(call, call->tried.empty() ? no_backend : call->last_error);
    }
    return;
  }
  call->tried.push_back(chosen);
  const Backend& backend = call->plan->backends.at(chosen);
  ClientRequest request;
  request.method = call->request.method;
  request.url = backend.url + call->request.path;
  request.body = call->request.body;
  request.connect_timeout = kConnectTimeout;
  request.timeout = std::max(
      Millis(1), std::chrono::duration_cast<Millis>(call->deadline - now));
  request.fresh_connection = !call->idempotent;
  if (!call->request.content_type.empty()) {
    request.headers.emplace_back("Content-Type", call->request.content_type);
  }
  if (!call->request.idempotency_key.empty()) {
    request.headers.emplace_back("Idempotency-Key",
                                 call->request.idempotency_key);
  }
  if (!call->request.account.empty()) {
    request.headers.emplace_back("X-Client-Account", call->request.account);
  }
  ++in_flight_[chosen];
  call->transfers[chosen] = context_.http.Start(
      std::move(request), [this, call, chosen, now](ClientResponse response) {
        OnResponse(call, chosen, now, std::move(response));
      });
  ScheduleHedge(call);
}

void ServiceRunner::ScheduleHedge(const std::shared_ptr<Call>& call) {
  double mean_ms =
      GetState(call->plan->services.at(call->request.service)).mean_ms;
  if (!call->idempotent || call->tried.size() > 1 || mean_ms <= 0) {
    return;
  }
  call->hedge.expires_after(
      FromMillis(mean_ms * kHedgeFactor + kHedgeMarginMs));
  call->hedge.async_wait([this, call](const boost::system::error_code& error) {
    if (error || call->done || !context_.retries.TryAcquire()) {
      return;
    }
    context_.metrics.Increment("mangoyoke_retries_total", "reason", "hedge");
    StartAttempt(call);
  });
}

void ServiceRunner::OnResponse(const std::shared_ptr<Call>& call,
                               const BackendId& backend,
                               TimePoint sent,
                               ClientResponse response) {
  call->transfers.erase(backend);
  --in_flight_[backend];
  if (call->done) {
    return;
  }
  if (response.result != TransferResult::kComplete) {
    OnFailure(call, backend, response);
    return;
  }
  ServiceState& state =
      GetState(call->plan->services.at(call->request.service));
  double latency_ms = ToMillis(SteadyClock::now() - sent);
  state.mean_ms =
      state.mean_ms == 0
          ? latency_ms
          : state.mean_ms + kLatencySmoothing * (latency_ms - state.mean_ms);
  Finish(call, ServiceResponse{response.status, response.content_type,
                               std::move(response.body)});
}

void ServiceRunner::OnFailure(const std::shared_ptr<Call>& call,
                              const BackendId& backend,
                              const ClientResponse& response) {
  stragglers_.ObserveFailure(backend,
                             RankBackends(*call->plan, call->request.service),
                             SteadyClock::now());
  bool not_connected = response.result == TransferResult::kConnectFailed;
  ErrorCode code = not_connected ? ErrorCode::kConnectFailed
                   : response.result == TransferResult::kTimeout
                       ? ErrorCode::kBackendTimeout
                       : ErrorCode::kBackendBroken;
  call->last_error = Error{code, backend + ": " + response.error};
  if (not_connected) {
    // No byte of the request was sent, so it is safe to try another server.
    context_.metrics.Increment("mangoyoke_retries_total", "reason",
                               "connect_failed");
    StartAttempt(call);
    return;
  }
  if (call->idempotent && context_.retries.TryAcquire()) {
    context_.metrics.Increment("mangoyoke_retries_total", "reason",
                               GetErrorInfo(code).name);
    StartAttempt(call);
    return;
  }
  if (call->transfers.empty()) {
    Finish(call, call->last_error);
  }
}

void ServiceRunner::Finish(const std::shared_ptr<Call>& call, Outcome outcome) {
  if (std::exchange(call->done, true)) {
    return;
  }
  TimePoint now = SteadyClock::now();
  call->hedge.cancel();
  for (const auto& [backend, transfer] : call->transfers) {
    context_.http.Cancel(transfer);
    --in_flight_[backend];
  }
  call->transfers.clear();
  Duration elapsed = now - call->started;
  GetState(call->plan->services.at(call->request.service))
      .limit.Release(elapsed, Ok(outcome), now);
  --active_calls_;
  context_.metrics.Observe("mangoyoke_service_ms", ToMillis(elapsed));
  const auto* error = std::get_if<Error>(&outcome);
  LogEvent("service_call")
      .Field("service", call->request.service)
      .Field("key", call->request.idempotency_key)
      .Field("result",
             error != nullptr ? GetErrorInfo(error->code).name : "answered")
      .Field("ms", ToMillis(elapsed));
  call->callback(std::move(outcome));
}

}  // namespace mangoyoke
