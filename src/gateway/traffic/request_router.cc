// Routing of callers' requests.

#include "gateway/traffic/request_router.h"

#include <algorithm>

#include "base/log.h"
#include "gateway/traffic/engine_request.h"
#include "gateway/traffic/plain_request.h"

namespace mangoyoke {
namespace {

// Retry-After for callers while there is no configuration yet, or no memory for
// their requests.
constexpr Duration kNotReadyRetryAfter = Millis(300);

}  // namespace

RequestRouter::RequestRouter(TrafficContext& context)
    : context_(context),
      account_gate_(context),
      admission_(context.io,
                 EngineAdmission::Callbacks{
                     [this](uint64_t id) {
                       bool waits_no_longer = true;
                       requests_.Run(id, [&](ActiveRequest& request) {
                         waits_no_longer =
                             static_cast<EngineRequest&>(request).TryAdmit();
                       });
                       return waits_no_longer;
                     },
                     [this](uint64_t id) {
                       requests_.Run(id, [](ActiveRequest& request) {
                         static_cast<EngineRequest&>(request).OnWaitExpired();
                       });
                     },
                     [this](const AccountId& account) {
                       return context_.quotas.RelativeUse(account,
                                                          SteadyClock::now());
                     }}),
      requests_(context.io) {
  context_.admission = &admission_;
  context_.on_quarantine = [this] { requests_.NotifyQuarantine(); };
}

CallerLimits RequestRouter::Limits() const {
  return context_.config ? context_.config->limits() : CallerLimits{};
}

HttpResponse RequestRouter::MakeParseErrorResponse(const Error& error) const {
  return MakeErrorResponse(error, std::nullopt);
}

HttpResponse RequestRouter::MakeErrorResponse(
    const Error& error,
    std::optional<Duration> retry_after) const {
  context_.metrics.Increment("mangoyoke_refusals_total", "reason",
                             GetErrorInfo(error.code).name);
  if (error.code == ErrorCode::kNoMemory ||
      error.code == ErrorCode::kNotReady) {
    retry_after = kNotReadyRetryAfter;
  }
  return context_.callers.EncodeErrorResponse(error, retry_after);
}

std::optional<Error> RequestRouter::CheckHead(
    const http::request_header<>& head) const {
  if (!context_.config || !context_.config->accounts().required()) {
    return std::nullopt;
  }
  CallerRequest caller_request =
      context_.callers.DecodeRequest(HttpRequest(head));
  auto checked = CheckEntry(caller_request);
  const auto* error = std::get_if<Error>(&checked);
  if (error == nullptr || error->code != ErrorCode::kUnknownApiKey) {
    return std::nullopt;
  }
  LogRejected(caller_request, *error);
  return *error;
}

void RequestRouter::LogRejected(const CallerRequest& caller_request,
                                const Error& error) const {
  LogEvent("request_end", LogLevel::kWarning)
      .Field("request", caller_request.id)
      .Field("host", caller_request.host)
      .Field("path", caller_request.path)
      .Field("outcome", GetErrorInfo(error.code).name)
      .Field("why", error.detail)
      .Field("config",
             static_cast<int64_t>(context_.config ? context_.config->revision()
                                                  : Revision{0}));
}

void RequestRouter::SendErrorResponse(HttpResponder& responder,
                                      const CallerRequest& caller_request,
                                      const Error& error,
                                      std::optional<Duration> retry_after) {
  LogRejected(caller_request, error);
  responder.Reply(MakeErrorResponse(error, retry_after));
}

bool RequestRouter::HasPrefillOrDecodeServers(const ServiceId& service) const {
  const auto& servers = context_.servers->servers;
  return std::any_of(servers.begin(), servers.end(), [&](const auto& entry) {
    return entry.second.service == service &&
           entry.second.stage != ServerStage::kCombined;
  });
}

Result<RequestRouter::Entry> RequestRouter::CheckEntry(
    const CallerRequest& caller_request) const {
  if (!context_.config) {
    return Error{ErrorCode::kNotReady, "the instance has no configuration yet"};
  }
  const ServingConfig& config = *context_.config;
  Entry entry;
  entry.route = config.Match(caller_request.host, caller_request.path);
  if (entry.route == nullptr) {
    return Error{ErrorCode::kUnknownPath, "no route matches the host and path"};
  }
  auto caller = Authenticate(config, *entry.route, caller_request.api_key);
  if (const auto* error = std::get_if<Error>(&caller)) {
    return *error;
  }
  entry.caller = std::get<AuthenticatedCaller>(std::move(caller));
  return entry;
}

void RequestRouter::OnRequest(HttpRequest request,
                              std::shared_ptr<HttpResponder> responder) {
  CallerRequest caller_request = context_.callers.DecodeRequest(request);
  auto checked = CheckEntry(caller_request);
  if (const auto* error = std::get_if<Error>(&checked)) {
    SendErrorResponse(*responder, caller_request, *error);
    return;
  }
  auto& [route, caller] = std::get<Entry>(checked);
  const ServiceId* service = PickService(*route, context_.random());
  if (service == nullptr) {
    SendErrorResponse(*responder, caller_request,
                      Error{ErrorCode::kNoBackend,
                            "the route has no service with a weight above 0"});
    return;
  }
  auto charged = account_gate_.Charge(caller_request, caller.account);
  if (const auto* refusal = std::get_if<QuotaRefusal>(&charged)) {
    SendErrorResponse(*responder, caller_request,
                      Error{ErrorCode::kQuotaExceeded,
                            "the account demands more than its quota"},
                      refusal->retry_after);
    return;
  }
  RoutedRequest input;
  input.request = std::move(request);
  input.caller_request = std::move(caller_request);
  input.responder = std::move(responder);
  input.config = context_.config;
  input.route = route;
  input.service = *service;
  input.identity = std::move(caller.identity);
  input.priority = caller.priority;
  input.quota_charge = std::get<QuotaCharge>(std::move(charged));
  bool stream = route->kind == RequestKind::kStreaming;
  if (stream || HasPrefillOrDecodeServers(*service)) {
    requests_.Add(
        std::make_unique<EngineRequest>(context_, requests_, std::move(input)));
  } else {
    requests_.Add(
        std::make_unique<PlainRequest>(context_, requests_, std::move(input)));
  }
}

}  // namespace mangoyoke
