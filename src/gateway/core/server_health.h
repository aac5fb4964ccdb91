// What this entry believes of each backend server's health, from the answers
// to its own requests. A server that fails is avoided for a while and then
// tried again; one that fails or is slow more often than its pool costs more.

#ifndef MANGOYOKE_GATEWAY_CORE_SERVER_HEALTH_H_
#define MANGOYOKE_GATEWAY_CORE_SERVER_HEALTH_H_

#include <map>

#include "gateway/core/backend_server.h"
#include "mangoyoke/clock.h"

namespace mangoyoke {

// How a request at a server ended, as evidence of its health.
enum class ServerOutcome {
  kSuccess,      // A complete answer.
  kError,        // A complete answer that reports a failure of the server.
  kRejected,     // Refused: no room.
  kUnreachable,  // No connection.
  kIncomplete,   // The answer broke off or was no answer.
  kTimeout,      // No answer in time.
};

std::string_view ServerOutcomeName(ServerOutcome outcome);

class ServerHealth {
 public:
  // `slowness`: time taken by time expected; 0 if not known.
  void RecordOutcome(const BackendServer& server,
                     ServerOutcome outcome,
                     double slowness,
                     TimePoint now);

  // Whether the server gets work now.
  bool Usable(const BackendServer& server, TimePoint now) const;
  // Share of recent requests that failed, in [0, 1].
  double FailureRate(const BackendServer& server, TimePoint now) const;
  // Smoothed slowness; 1 if nothing is known.
  double Slowness(const BackendServer& server, TimePoint now) const;
  // Drops what is known of servers that are not in `snapshot`.
  void KeepOnly(const ServerSnapshot& snapshot);

 private:
  struct Belief {
    int64_t start_time_ms = 0;  // Of the incarnation that the belief is about.
    double failures = 0;        // Decayed counts.
    double requests = 0;
    double slowness = 1;
    TimePoint updated{};
    TimePoint avoid_until{};
    Duration avoid_time{};  // Length of the last avoidance.
  };

  const Belief* Find(const BackendServer& server) const;
  static double Decay(const Belief& belief, TimePoint now);
  static void Avoid(Belief& belief, Duration first, TimePoint now);

  std::map<BackendId, Belief> beliefs_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CORE_SERVER_HEALTH_H_
