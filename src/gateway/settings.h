// The gateway's settings, read from an INI file. Unknown sections and keys,
// missing required keys and values out of range are errors.

#ifndef MANGOYOKE_GATEWAY_SETTINGS_H_
#define MANGOYOKE_GATEWAY_SETTINGS_H_

#include <string>
#include <vector>

#include "gateway/core/account_quotas.h"
#include "gateway/core/shared_retry_budget.h"
#include "mangoyoke/clock.h"
#include "mangoyoke/error.h"
#include "mangoyoke/plan.h"

namespace mangoyoke {

// The members follow the sections of the settings file.
struct GatewaySettings {
  // [instance]
  InstanceId id;
  ZoneId zone;
  std::string region;
  // [listen]: each "IP:port"; an empty address is not listened on.
  std::string caller_address;
  std::string readiness_address;
  std::string instance_list_address;  // Serves the list of instances.
  std::string peer_address;
  std::string metrics_address;
  uint16_t load_port = 0;  // UDP port for load reports between instances.
  // [store]
  std::string store_address;
  // [peers]
  std::vector<std::string> seed_addresses;
  // [repeats]
  SharedRetryBudgetOptions retry_budget;
  // [quota]
  QuotaOptions quota;
  // [timing]
  // Upper bound for the TTL of an instance list given to callers.
  Seconds max_instance_list_ttl{5};
  // Time from the signal to stop until the process is killed.
  Millis drain_timeout{8000};
  // After an outage of the store, servers whose rows are gone stay usable this
  // long, so that they can register again.
  Millis server_reregistration_timeout{2000};
  // Time after its confirmation by the store within which a change has to be
  // known to every instance that works.
  Millis change_bound{2000};
  // [limits]
  // Memory that the process may occupy, in MB. A fourth of it is for the bodies
  // of requests, and as much for those of responses.
  int64_t memory_mb = 88;
  // [placement]
  // Place requests by the speed of the servers as all instances observe it.
  bool learned_capacity = false;
  // [log]
  std::string log_level = "info";

  bool operator==(const GatewaySettings&) const = default;
};

// Parses INI text. `file` names it in errors, which list all problems found
// (kSettingsInvalid).
Result<GatewaySettings> ParseGatewaySettings(const std::string& text,
                                             const std::string& file);
// Reads and parses the file at `path`.
Result<GatewaySettings> LoadGatewaySettings(const std::string& path);

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_SETTINGS_H_
