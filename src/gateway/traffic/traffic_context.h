// State and services shared by all requests. Used on the traffic thread only.

#ifndef MANGOYOKE_GATEWAY_TRAFFIC_TRAFFIC_CONTEXT_H_
#define MANGOYOKE_GATEWAY_TRAFFIC_TRAFFIC_CONTEXT_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>

#include "base/metrics.h"
#include "gateway/core/account_quotas.h"
#include "gateway/core/caller_retry_detector.h"
#include "gateway/core/codecs.h"
#include "gateway/core/output_length.h"
#include "gateway/core/placement.h"
#include "gateway/core/plain_service_time.h"
#include "gateway/core/prefill_speed.h"
#include "gateway/core/prompt_quarantine.h"
#include "gateway/core/server_health.h"
#include "gateway/core/server_limits.h"
#include "gateway/core/server_load.h"
#include "gateway/core/server_notices.h"
#include "gateway/core/server_speed.h"
#include "gateway/core/service_times.h"
#include "gateway/core/shared_retry_budget.h"
#include "gateway/core/typical_times.h"
#include "gateway/net/connection_pool.h"
#include "gateway/traffic/server_end_detector.h"

namespace mangoyoke {

class EngineAdmission;
class PlainAdmission;
class ServerAttempt;

// `process_started` in the constructor: see SharedRetryBudget.
struct TrafficContext {
  TrafficContext(boost::asio::io_context& io_context,
                 ZoneId own_zone,
                 const CallerCodec& caller_codec,
                 const BackendCodec& backend_codec,
                 Metrics& process_metrics,
                 SharedRetryBudgetOptions retry_budget_options,
                 TimePoint process_started);
  ~TrafficContext();

  // Returns a random number in [0, 1).
  double Random() {
    return std::uniform_real_distribution<double>(0, 1)(random);
  }

  boost::asio::io_context& io;
  // Availability zone of this instance.
  ZoneId zone;
  const CallerCodec& callers;
  const BackendCodec& backends;
  Metrics& metrics;
  std::mt19937_64 random{std::random_device{}()};
  ConnectionPool pool;
  ServerLoad load;
  ServerHealth health;
  ServerLimits limits;
  ServerNotices notices;
  SharedRetryBudget retry_budget;
  CallerRetryDetector caller_retry_detector;
  PrefillSpeed prefill_speed;
  // Whether `server_speeds` is used.
  bool learned_capacity = false;
  ServerSpeeds server_speeds;
  TypicalTimes typical_times;  // Of attempts, by route.
  OutputLength output_length;
  ServiceTimes service_times;
  PlainServiceTime plain_service_time;
  // When this process ends all requests, since it stops.
  std::optional<TimePoint> stops_at;
  std::unique_ptr<ServerPlacement> placement;
  // The active configuration; null until the first one was loaded.
  std::shared_ptr<const ServingConfig> config;
  std::shared_ptr<const ServerSnapshot> servers;
  ServerEndDetector server_ends;
  PromptQuarantine quarantine;
  AccountQuotas quotas;
  // A part of prompts was quarantined. Set by RequestRouter.
  std::function<void()> on_quarantine;
  // Requests that wait for engine capacity. Set by RequestRouter.
  EngineAdmission* admission = nullptr;
  // Requests that wait for room at plain services. Set by RequestRouter.
  PlainAdmission* plain_admission = nullptr;
  // Attempts whose response no request waits for, by id.
  std::map<uint64_t, std::unique_ptr<ServerAttempt>> background_attempts;
  uint64_t next_background_id = 1;
};

// Frees the prefill result behind `handle` without waiting for the response,
// unless its server is paused.
void ReleaseHandle(TrafficContext& context, const PrefillHandle& handle);
// Releases a KV reservation without waiting for the response, unless its server
// is paused.
void ReleaseReservation(TrafficContext& context,
                        const KvReservation& reservation);

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_TRAFFIC_TRAFFIC_CONTEXT_H_
