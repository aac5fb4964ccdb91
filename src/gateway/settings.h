// Settings of the gateway, read from an INI file and checked key by key.

#ifndef MANGOYOKE_GATEWAY_SETTINGS_H_
#define MANGOYOKE_GATEWAY_SETTINGS_H_

#include <string>
#include <vector>

#include "gateway/core/repeat_budget.h"
#include "mangoyoke/clock.h"
#include "mangoyoke/error.h"
#include "mangoyoke/plan.h"

namespace mangoyoke {

struct GatewaySettings {
  // [instance]
  InstanceId id;
  ZoneId zone;
  std::string region;
  // [listen], each "IP:port"; empty: not served.
  std::string callers;
  std::string ready;
  std::string entries;  // Where callers ask which entries to use.
  std::string peers;
  std::string metrics;
  uint16_t load_port = 0;  // UDP, for reports of load between instances.
  // [store]
  std::string store;
  // [peers]
  std::vector<std::string> known_peers;
  // [limits]
  RepeatBudgetOptions repeat_budget;
  Seconds longest_entries_ttl{5};
  // [timing]
  Seconds leave_limit{8};           // Between the signal to stop and the kill.
  Millis server_return_time{2000};  // After the store is back.
  // [log]
  std::string log_level = "info";

  bool operator==(const GatewaySettings&) const = default;
};

Result<GatewaySettings> ParseGatewaySettings(const std::string& text,
                                             const std::string& file);
Result<GatewaySettings> LoadGatewaySettings(const std::string& path);

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_SETTINGS_H_
