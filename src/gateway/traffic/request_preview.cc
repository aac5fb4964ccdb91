// Previews as JSON. Times are milliseconds.

#include "gateway/traffic/request_preview.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>

#include "gateway/core/placement.h"

namespace mangoyoke {
namespace {

using Json = nlohmann::json;

// Candidates of one stage that are listed; the best come first.
constexpr size_t kMaxCandidates = 20;

Json EncodeSpeed(const SpeedEstimate& speed, TimePoint now) {
  Json encoded = {{"relative_time", speed.relative_time},
                  {"uncertainty", speed.uncertainty},
                  {"observations", speed.observations}};
  if (speed.last) {
    encoded["age_ms"] = ToMillis(now - *speed.last);
  }
  if (speed.knee) {
    encoded["knee"] = *speed.knee;
  }
  return encoded;
}

Json EncodeCandidate(const PlacementCandidate& candidate, TimePoint now) {
  const BackendServer& server = *candidate.server;
  Json encoded = {{"server", server.id},
                  {"zone", server.zone},
                  {"slots", server.slots},
                  {"expected_ms", candidate.cost},
                  {"requests", candidate.load.requests},
                  {"prompt_tokens", candidate.load.prompt_tokens},
                  {"kv_tokens", candidate.load.kv_tokens},
                  {"memory_share", candidate.memory_share},
                  {"failure_rate", candidate.failure_rate},
                  {"speed", EncodeSpeed(candidate.speed, now)}};
  if (!candidate.exclusion.empty()) {
    encoded["excluded"] = candidate.exclusion;
  }
  if (candidate.paused_until) {
    encoded["paused_ms"] = ToMillis(*candidate.paused_until - now);
  }
  return encoded;
}

// The candidates of one stage, the best first, and what would be done.
Json PreviewStage(TrafficContext& context,
                  const PlacementQuery& query,
                  TimePoint now) {
  PlacementContext placement_context{
      *context.servers,
      context.load,
      context.health,
      context.notices,
      context.config->FindService(query.service),
      context.prefill_speed.MillisPerToken(query.service),
      now,
      context.learned_capacity ? &context.server_speeds : nullptr};
  auto candidates = ListCandidates(query, placement_context);
  Json stage = {{"stage", StageName(query.stage)},
                {"servers", candidates.size()}};
  Json listed = Json::array();
  for (const PlacementCandidate& candidate : candidates) {
    if (listed.size() < kMaxCandidates) {
      listed.push_back(EncodeCandidate(candidate, now));
    }
  }
  stage["candidates"] = listed;
  if (!candidates.empty() && candidates.front().exclusion.empty()) {
    stage["verdict"] = "admitted";
    stage["server"] = candidates.front().server->id;
    return stage;
  }
  bool waits = std::ranges::any_of(candidates, [](const auto& candidate) {
    return candidate.exclusion == kExcludedForMemory;
  });
  stage["verdict"] = waits ? "waits for memory" : "refused";
  std::optional<TimePoint> earliest;
  for (const PlacementCandidate& candidate : candidates) {
    if (candidate.paused_until &&
        (!earliest || *candidate.paused_until < *earliest)) {
      earliest = candidate.paused_until;
    }
  }
  if (!waits && earliest) {
    stage["retry_after_ms"] = ToMillis(*earliest - now);
  }
  return stage;
}

bool HasStage(const TrafficContext& context,
              const ServiceId& service,
              ServerStage stage) {
  return std::ranges::any_of(context.servers->servers, [&](const auto& entry) {
    return entry.second.service == service && entry.second.stage == stage;
  });
}

Json PreviewService(TrafficContext& context,
                    const PreviewQuery& preview,
                    const ServiceShare& share,
                    TimePoint now) {
  Json stages = Json::array();
  int64_t output = preview.output_tokens > 0
                       ? preview.output_tokens
                       : context.output_length.ExpectedTokens(share.service);
  for (ServerStage stage :
       {ServerStage::kPrefill, ServerStage::kDecode, ServerStage::kCombined}) {
    if (!HasStage(context, share.service, stage)) {
      continue;
    }
    PlacementQuery query;
    query.service = share.service;
    query.stage = stage;
    if (stage == ServerStage::kPrefill) {
      query.prompt_tokens = preview.prompt_tokens;
    } else {
      query.kv_tokens = preview.prompt_tokens + output;
    }
    if (stage == ServerStage::kDecode) {
      query.preferred_zone = context.zone;
    }
    stages.push_back(PreviewStage(context, query, now));
  }
  return Json{{"service", share.service},
              {"weight", share.weight},
              {"expected_output_tokens", output},
              {"stages", stages}};
}

Json PreviewAccount(const ServingConfig& config, const PreviewQuery& query) {
  Json encoded = {{"required", config.accounts().required()}};
  if (query.account.empty()) {
    return encoded;
  }
  encoded["account"] = query.account;
  const ClientAccount* account = config.accounts().Find(query.account);
  encoded["known"] = account != nullptr;
  if (account != nullptr && account->priority) {
    encoded["priority"] = *account->priority;
  }
  if (account != nullptr && account->quota.limited()) {
    bool tokens = account->quota.unit == QuotaUnit::kTokens;
    encoded["quota"] = {{"unit", tokens ? "tokens" : "requests"},
                        {"rate_per_s", account->quota.rate_per_s},
                        {"burst", account->quota.burst}};
  }
  return encoded;
}

std::string_view KindName(RequestKind kind) {
  switch (kind) {
    case RequestKind::kIdempotent:
      return "idempotent";
    case RequestKind::kNonIdempotent:
      return "non_idempotent";
    case RequestKind::kStreaming:
      return "streaming";
  }
  return "non_idempotent";
}

}  // namespace

Json PreviewRequest(TrafficContext& context,
                    const PreviewQuery& query,
                    TimePoint now) {
  Json preview = {{"host", query.host},
                  {"path", query.path},
                  {"method", query.method},
                  {"zone", context.zone},
                  {"learned_capacity", context.learned_capacity}};
  if (!context.config) {
    preview["refused"] = GetErrorInfo(ErrorCode::kNotReady).name;
    return preview;
  }
  const ServingConfig& config = *context.config;
  preview["config"] = config.revision();
  preview["account"] = PreviewAccount(config, query);
  const RouteRule* route = config.Match(query.host, query.path);
  if (route == nullptr) {
    preview["refused"] = GetErrorInfo(ErrorCode::kUnknownPath).name;
    return preview;
  }
  preview["route"] = {{"id", route->id},
                      {"kind", KindName(route->kind)},
                      {"prefix", route->prefix},
                      {"priority", route->priority},
                      {"timeout_ms", route->timeout.count()},
                      {"target_ms", route->target_latency.count()}};
  Json services = Json::array();
  for (const ServiceShare& share : route->services) {
    services.push_back(PreviewService(context, query, share, now));
  }
  preview["services"] = services;
  return preview;
}

}  // namespace mangoyoke
