// Routing of callers' requests.

#include "daemon/traffic/traffic_worker.h"

#include <nlohmann/json.hpp>

#include "base/log.h"

namespace mangoyoke {
namespace {

using Json = nlohmann::json;

constexpr Duration kTickInterval = Millis(25);
constexpr std::string_view kServicesPrefix = "/services/";
constexpr Millis kDefaultCallTimeout{30'000};

// The parts of "/services/<service>/<path>?<query>".
struct ServicePath {
  ServiceId service;
  std::string backend_path;  // "/<path>?<query>"
};

ServicePath SplitServicePath(const ServerRequest& request) {
  std::string path = request.path.substr(kServicesPrefix.size());
  size_t slash = path.find('/');
  ServicePath result;
  result.service = path.substr(0, slash);
  result.backend_path = slash == std::string::npos ? "/" : path.substr(slash);
  char separator = '?';
  for (const auto& [key, value] : request.query) {
    result.backend_path += separator + key + "=" + value;
    separator = '&';
  }
  return result;
}

}  // namespace

TrafficWorker::TrafficWorker(boost::asio::io_context& io,
                             std::string name,
                             const Settings& settings,
                             Metrics& metrics,
                             ControlInterface& control,
                             AccountRequestLimiter& accounts)
    : name_(std::move(name)),
      http_(io),
      context_{io, settings, metrics, control, accounts, http_, retries_},
      services_(context_),
      timer_(io) {}

void TrafficWorker::StartTimer() {
  if (std::exchange(timer_running_, true)) {
    return;
  }
  timer_.expires_after(kTickInterval);
  timer_.async_wait([this](const boost::system::error_code& error) {
    timer_running_ = false;
    if (error) {
      return;
    }
    Tick();
    if (!completions_.empty()) {
      StartTimer();
    }
  });
}

void TrafficWorker::OnRequest(ServerRequest request,
                              std::shared_ptr<ResponseStream> stream) {
  const std::string& path = request.path;
  if (path == "/v1/completions" || path == "/v1/chat/completions") {
    HandleCompletion(request, stream);
  } else if (path.starts_with(kServicesPrefix)) {
    HandleService(request, stream);
  } else if (path == "/v1/entries") {
    HandleInstanceList(request, stream);
  } else if (path == "/v1/models") {
    HandleModels(stream);
  } else if (path == "/healthz") {
    auto refusal = context_.control.RefusalReason();
    if (refusal) {
      SendErrorResponse(context_.metrics, stream, Error{*refusal, ""});
    } else {
      SendJson(stream, 200, Json{{"ok", true}}.dump());
    }
  } else {
    SendErrorResponse(context_.metrics, stream,
                      Error{ErrorCode::kUnknownPath, path});
  }
}

std::optional<Error> TrafficWorker::Admit(const Plan& plan,
                                          const AccountId& account) {
  auto maximum = static_cast<size_t>(context_.settings.max_open_requests);
  if (active_requests_ >= maximum) {
    return Error{ErrorCode::kQueueFull,
                 "this instance has " + std::to_string(active_requests_) +
                     " open requests, the limit is " + std::to_string(maximum)};
  }
  auto it = plan.accounts.find(account);
  int64_t limit = it == plan.accounts.end()
                      ? context_.settings.max_open_requests
                      : it->second.max_requests;
  if (!context_.accounts.TryAcquire(account, limit)) {
    return Error{ErrorCode::kAccountLimit, account};
  }
  return std::nullopt;
}

void TrafficWorker::HandleCompletion(
    const ServerRequest& request,
    const std::shared_ptr<ResponseStream>& stream) {
  if (auto refusal = context_.control.RefusalReason()) {
    SendErrorResponse(context_.metrics, stream, Error{*refusal, ""});
    return;
  }
  auto plan = context_.control.CurrentPlan();
  auto parsed = ParseCompletion(request, *plan);
  if (const auto* error = std::get_if<Error>(&parsed)) {
    SendErrorResponse(context_.metrics, stream, *error);
    return;
  }
  auto& parameters = std::get<CompletionParameters>(parsed);
  AccountId account = parameters.account;
  if (auto refusal = Admit(*plan, account)) {
    SendErrorResponse(context_.metrics, stream, *refusal);
    return;
  }
  const RequestOwner& self = context_.control.Self();
  std::string id = self.instance + "-" + std::to_string(self.incarnation) +
                   "-" + name_ + std::to_string(++last_request_number_) + "-" +
                   RequestFingerprint(parameters.model, parameters.prompt);
  auto completion = std::make_shared<Completion>(context_, plan, id,
                                                 std::move(parameters), stream);
  completions_[id] =
      ActiveCompletion{completion, account, request.connection_id};
  UpdateActiveCount();
  StartTimer();
  completion->Start();
}

void TrafficWorker::HandleService(
    const ServerRequest& request,
    const std::shared_ptr<ResponseStream>& stream) {
  if (auto refusal = context_.control.RefusalReason()) {
    SendErrorResponse(context_.metrics, stream, Error{*refusal, ""});
    return;
  }
  auto plan = context_.control.CurrentPlan();
  auto headers = ParseCallerHeaders(request, *plan, kDefaultCallTimeout);
  if (const auto* error = std::get_if<Error>(&headers)) {
    SendErrorResponse(context_.metrics, stream, *error);
    return;
  }
  const auto& caller = std::get<CallerHeaders>(headers);
  ServicePath path = SplitServicePath(request);
  if (!plan->services.contains(path.service)) {
    SendErrorResponse(context_.metrics, stream,
                      Error{ErrorCode::kUnknownService, path.service});
    return;
  }
  ServiceRequest call;
  call.service = path.service;
  call.method = request.method;
  call.path = path.backend_path;
  call.content_type = request.Header("content-type");
  call.body = request.body;
  call.account = caller.account;
  call.idempotency_key = request.Header("idempotency-key");
  call.timeout_ms = caller.timeout.count();
  bool idempotent = plan->IsIdempotent(call.service, call.method, call.path);
  if (!idempotent && call.idempotency_key.empty()) {
    SendErrorResponse(context_.metrics, stream,
                      Error{ErrorCode::kMissingKey, ""});
    return;
  }
  if (auto refusal = Admit(*plan, caller.account)) {
    SendErrorResponse(context_.metrics, stream, *refusal);
    return;
  }
  ++active_calls_;
  UpdateActiveCount();
  auto finish = [this, stream, account = caller.account](Outcome outcome) {
    context_.accounts.Release(account);
    --active_calls_;
    UpdateActiveCount();
    SendServiceResponse(stream, outcome);
  };
  if (idempotent) {
    services_.Run(std::move(call), finish);
  } else {
    context_.control.ExecuteAtMostOnce(context_.io, std::move(call), finish);
  }
}

void TrafficWorker::SendServiceResponse(
    const std::shared_ptr<ResponseStream>& stream,
    const Outcome& outcome) {
  if (const auto* error = std::get_if<Error>(&outcome)) {
    SendErrorResponse(context_.metrics, stream, *error);
    return;
  }
  const auto& response = std::get<ServiceResponse>(outcome);
  std::string type = response.content_type.empty() ? "application/octet-stream"
                                                   : response.content_type;
  stream->Send(response.status, type, response.body);
}

void TrafficWorker::HandleInstanceList(
    const ServerRequest& request,
    const std::shared_ptr<ResponseStream>& stream) {
  ZoneId zone(request.Query("zone"));
  if (zone.empty()) {
    zone = context_.settings.zone;
  }
  context_.control.ListInstances(
      context_.io, zone,
      [this, stream](const std::vector<InstanceAddress>& instances) {
        Json list = Json::array();
        for (const InstanceAddress& instance : instances) {
          list.push_back(Json{{"instance", instance.instance},
                              {"zone", instance.zone},
                              {"address", instance.address},
                              {"ticket", instance.ticket}});
        }
        SendJson(stream, 200,
                 Json{{"ttl_s", context_.settings.instance_list_ttl.count()},
                      {"ticket_life_s", context_.settings.ticket_ttl.count()},
                      {"entries", list}}
                     .dump());
      });
}

void TrafficWorker::HandleModels(
    const std::shared_ptr<ResponseStream>& stream) {
  Json data = Json::array();
  if (auto plan = context_.control.CurrentPlan()) {
    for (const auto& [id, model] : plan->models) {
      data.push_back(
          Json{{"id", id}, {"object", "model"}, {"version", model.version}});
    }
  }
  SendJson(stream, 200, Json{{"object", "list"}, {"data", data}}.dump());
}

void TrafficWorker::OnDisconnect(uint64_t connection_id) {
  for (auto& [id, active] : completions_) {
    if (active.connection_id == connection_id) {
      active.completion->OnCallerDisconnected();
    }
  }
}

void TrafficWorker::Tick() {
  TimePoint now = SteadyClock::now();
  for (auto it = completions_.begin(); it != completions_.end();) {
    it->second.completion->Tick(now);
    if (it->second.completion->done()) {
      context_.accounts.Release(it->second.account);
      it = completions_.erase(it);
    } else {
      ++it;
    }
  }
  UpdateActiveCount();
}

void TrafficWorker::UpdateActiveCount() {
  active_requests_ = completions_.size() + active_calls_;
}

}  // namespace mangoyoke
