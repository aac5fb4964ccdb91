// Configurations as JSON.

#include "config.h"

#include <nlohmann/json.hpp>

namespace mangoyoke::review {
namespace {

using Json = nlohmann::json;

std::string MakeConfig(const Json& route, const Json& service) {
  return Json{{"Version", 7},
              {"Routes", Json::array({route})},
              {"Services", Json::array({service})},
              {"Limits",
               {{"MaxHeaderBytes", 16384},
                {"MaxBodyBytes", 4194304},
                {"HeaderTimeoutMs", 3000},
                {"IdleTimeoutMs", 15000}}}}
      .dump();
}

}  // namespace

std::string AssistantConfig(bool resumable) {
  Json route{{"Name", "r-agreement"},
             {"Host", kHost},
             {"Prefix", "/agreement/"},
             {"Kind", "streaming"},
             {"TimeoutMs", 14000},
             {"TargetLatencyMs", 900},
             {"TargetGapMs", 300},
             {"Priority", 1},
             {"Service", kAssistantService},
             {"MaxAttempts", resumable ? 2 : 1},
             {"Sticky", true},
             {"Resumable", resumable}};
  Json engine{{"Slots", 64},
              {"KvTokens", 39418},
              {"KvTokenBytes", 327680},
              {"LinkMbps", 3400000.0},
              {"Stride", 1},
              {"KvTtlS", 0.5},
              {"SwitchS", 6.0},
              {"PinMs", 4000.0},
              {"HoldMs", 2000.0},
              {"Models", Json::array({{{"Name", "m"}}})}};
  Json service{{"Name", kAssistantService},
               {"HealthPath", "/healthz"},
               {"MaxConnections", 370},
               {"Protocol", "h1"},
               {"Tls", false},
               {"Engine", engine}};
  return MakeConfig(route, service);
}

std::string BookingsConfig() {
  Json route{{"Name", "r-deposit"},   {"Host", kHost},
             {"Prefix", "/deposit/"}, {"Kind", "non_idempotent"},
             {"TimeoutMs", 4000},     {"TargetLatencyMs", 300},
             {"Priority", 2},         {"Service", kBookingsService},
             {"MaxAttempts", 1}};
  Json service{{"Name", kBookingsService},
               {"HealthPath", "/healthz"},
               {"MaxConnections", 110},
               {"Protocol", "h1"},
               {"Tls", false}};
  return MakeConfig(route, service);
}

}  // namespace mangoyoke::review
