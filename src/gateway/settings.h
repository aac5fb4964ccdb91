// Settings of the gateway, read from an INI file and checked key by key.

#ifndef MANGOYOKE_GATEWAY_SETTINGS_H_
#define MANGOYOKE_GATEWAY_SETTINGS_H_

#include <string>
#include <vector>

#include "gateway/core/shared_retry_budget.h"
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
  std::string caller_address;
  std::string readiness_address;
  std::string instance_list_address;  // Where callers ask which entries to use.
  std::string peer_address;
  std::string metrics_address;
  uint16_t load_port = 0;  // UDP, for reports of load between instances.
  // [store]
  std::string store_address;
  // [peers]
  std::vector<std::string> seed_addresses;
  // [limits]
  SharedRetryBudgetOptions retry_budget;
  Seconds max_instance_list_ttl{5};
  // [timing]
  Seconds drain_timeout{8};  // Between the signal to stop and the kill.
  Millis server_reregistration_timeout{2000};  // After the store is back.
  // [log]
  std::string log_level = "info";

  bool operator==(const GatewaySettings&) const = default;
};

Result<GatewaySettings> ParseGatewaySettings(const std::string& text,
                                             const std::string& file);
Result<GatewaySettings> LoadGatewaySettings(const std::string& path);

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_SETTINGS_H_
