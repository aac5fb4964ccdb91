// Settings of one instance, read from an INI file. Every key is validated.

#ifndef MANGOYOKE_DAEMON_SETTINGS_H_
#define MANGOYOKE_DAEMON_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "mangoyoke/clock.h"
#include "mangoyoke/error.h"
#include "mangoyoke/plan.h"

namespace mangoyoke {

// Placement policies; see ReservingPlacement and LeastLoadedPlacement.
enum class PlacementKind { kReserving, kLeastLoaded };

// Comments in brackets name the section of the file.
struct Settings {
  // [instance]
  InstanceId id;
  ZoneId zone;
  std::string region;
  // [listen], each "IP:port".
  std::string caller_address;
  std::string admin_address;
  std::string peer_address;
  std::string advertised_peer_address;  // What other instances connect to.
  // [platform]
  std::string platform_url;
  // [peers]
  std::vector<std::string> seed_addresses;
  // [limits]
  int64_t traffic_threads = 2;
  int64_t max_request_bytes = 4 << 20;
  int64_t max_open_requests = 4000;
  int64_t max_buffered_bytes = 256 << 10;  // Unsent bytes for one slow caller.
  // [timing]
  Millis probe_interval{250};
  Millis suspect_after{1000};
  Millis dead_after{750};
  Millis plan_poll_interval{2000};
  Millis drain_grace_period{3000};  // New requests are accepted after SIGTERM.
  Millis drain_timeout{120'000};    // Limit for active requests to finish.
  Seconds instance_list_ttl{5};
  Seconds ticket_ttl{600};
  // [placement]
  PlacementKind placement = PlacementKind::kReserving;
  // [log]
  std::string log_level = "info";

  bool operator==(const Settings&) const = default;
};

// Parses settings. `file` is the file name in error messages. Fails with
// kSettingsInvalid and lists all problems.
Result<Settings> ParseSettings(const std::string& text,
                               const std::string& file);
// Reads and parses the file at `path`.
Result<Settings> LoadSettings(const std::string& path);

}  // namespace mangoyoke

#endif  // MANGOYOKE_DAEMON_SETTINGS_H_
