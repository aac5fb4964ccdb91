// Routing of callers' requests.

#include "gateway/traffic/front_handler.h"

#include <algorithm>

#include "base/log.h"
#include "gateway/traffic/engine_run.h"
#include "gateway/traffic/plain_run.h"

namespace mangoyoke {
namespace {

constexpr Duration kRetryWithoutConfig = Millis(300);

}  // namespace

FrontHandler::FrontHandler(TrafficContext& context)
    : context_(context),
      runs_(context.io),
      admission_(
          context.io,
          EngineAdmission::Callbacks{
              [this](uint64_t id) {
                auto* run = static_cast<EngineRun*>(runs_.Find(id));
                return run == nullptr || run->TryAdmit();
              },
              [this](uint64_t id) {
                if (auto* run = static_cast<EngineRun*>(runs_.Find(id))) {
                  run->GiveUpWaiting();
                }
              }}) {
  context_.admission = &admission_;
}

CallerLimits FrontHandler::Limits() const {
  return context_.config ? context_.config->limits() : CallerLimits{};
}

HttpResponse FrontHandler::OnBadRequest(const Error& error) const {
  context_.metrics.Count("mangoyoke_refusals_total", "reason",
                         InfoOf(error.code).name);
  return context_.callers.EncodeRefusal(error, std::nullopt);
}

void FrontHandler::Refuse(Exchange& exchange,
                          const CallerRequest& facts,
                          ErrorCode code,
                          std::string_view why) {
  const ErrorInfo& info = InfoOf(code);
  context_.metrics.Count("mangoyoke_refusals_total", "reason", info.name);
  LogEvent("request_end", LogLevel::kWarning)
      .Field("request", facts.id)
      .Field("host", facts.host)
      .Field("path", facts.path)
      .Field("outcome", info.name)
      .Field("why", why)
      .Field("config",
             static_cast<int64_t>(context_.config ? context_.config->revision()
                                                  : Revision{0}));
  std::optional<Duration> retry_after;
  if (code == ErrorCode::kNotReady) {
    retry_after = kRetryWithoutConfig;
  }
  exchange.Reply(context_.callers.EncodeRefusal(Error{code, std::string(why)},
                                                retry_after));
}

bool FrontHandler::HasEngines(const ServiceId& service) const {
  const auto& servers = context_.servers->servers;
  return std::any_of(servers.begin(), servers.end(), [&](const auto& entry) {
    return entry.second.service == service &&
           entry.second.stage != ServerStage::kWhole;
  });
}

void FrontHandler::OnRequest(HttpRequest request,
                             std::shared_ptr<Exchange> exchange) {
  CallerRequest facts = context_.callers.DecodeRequest(request);
  if (!context_.config) {
    Refuse(*exchange, facts, ErrorCode::kNotReady, "no configuration yet");
    return;
  }
  const RouteRule* route = context_.config->Match(facts.host, facts.path);
  if (route == nullptr) {
    Refuse(*exchange, facts, ErrorCode::kUnknownPath, "no route");
    return;
  }
  const ServiceId* service = PickService(*route, context_.random());
  if (service == nullptr) {
    Refuse(*exchange, facts, ErrorCode::kNoBackend, "the route has no service");
    return;
  }
  RunInput input{std::move(request),
                 std::move(facts),
                 std::move(exchange),
                 context_.config,
                 route,
                 *service};
  bool stream = route->kind == RequestKind::kStreaming;
  if (stream || HasEngines(*service)) {
    runs_.Add(std::make_unique<EngineRun>(context_, runs_, std::move(input)));
  } else {
    runs_.Add(std::make_unique<PlainRun>(context_, runs_, std::move(input)));
  }
}

}  // namespace mangoyoke
