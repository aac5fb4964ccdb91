// Health records of the backend servers, from the outcomes of this instance's
// own attempts. A server that fails is avoided for a while and then tried
// again. Its failure rate and slowness raise its placement cost.

#ifndef MANGOYOKE_GATEWAY_CORE_SERVER_HEALTH_H_
#define MANGOYOKE_GATEWAY_CORE_SERVER_HEALTH_H_

#include <map>

#include "gateway/core/backend_server.h"
#include "mangoyoke/clock.h"

namespace mangoyoke {

// The outcome of one attempt at a backend server.
enum class ServerOutcome {
  kSuccess,      // A complete response.
  kError,        // A complete response that reports a server error.
  kRejected,     // Refused for lack of capacity.
  kPaused,       // The same, and the server said for how long.
  kUnreachable,  // The connection failed.
  kIncomplete,   // The response was cut off or malformed.
  kTimeout,      // No response before the timeout.
};

// The name of `outcome` in logs.
std::string_view ServerOutcomeName(ServerOutcome outcome);

// The health records of all backend servers. A new incarnation of a server
// starts with an empty record.
class ServerHealth {
 public:
  // Records the outcome of an attempt at `server`, logs it unless it was a
  // success, and starts an avoidance if needed. `slowness`: time taken divided
  // by time expected; 0 if not known.
  void RecordOutcome(const BackendServer& server,
                     ServerOutcome outcome,
                     double slowness,
                     TimePoint now);

  // A server that was recorded as silent has gone on. Ends the avoidance if
  // nothing but silence caused it.
  void RecordEndOfSilence(const BackendServer& server, TimePoint now);

  // Whether the server may get requests now, that is, is not avoided.
  bool Usable(const BackendServer& server, TimePoint now) const;
  // Share of recent attempts that failed, in [0, 1]; 0 if nothing is known.
  double FailureRate(const BackendServer& server, TimePoint now) const;
  // Smoothed ratio of time taken to time expected; 1 if nothing is known.
  double Slowness(const BackendServer& server, TimePoint now) const;
  // Deletes the records of servers that are not in `snapshot`.
  void KeepOnly(const ServerSnapshot& snapshot);

 private:
  struct HealthRecord {
    int64_t start_time_ms = 0;  // Identifies the incarnation.
    double failures = 0;        // Decayed count of failed attempts.
    double requests = 0;        // Decayed count of all attempts.
    double slowness = 1;        // Moving average.
    TimePoint updated{};        // Time of the last recorded outcome.
    TimePoint avoid_until{};    // End of the last avoidance.
    Duration avoid_time{};      // Length of the last avoidance.
    bool only_silent = true;    // No other failure since the last avoidance.
  };

  // The record of this incarnation of the server; null if there is none.
  const HealthRecord* Find(const BackendServer& server) const;
  // The factor by which the record's counts have decayed at `now`.
  static double Decay(const HealthRecord& record, TimePoint now);
  // Starts an avoidance of length `initial`, or of twice the last one if that
  // ended recently, but at most `longest`. No effect during an avoidance.
  static void Avoid(HealthRecord& record,
                    Duration initial,
                    Duration longest,
                    TimePoint now);

  std::map<BackendId, HealthRecord> records_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CORE_SERVER_HEALTH_H_
