// How many requests each server of a plain service takes at a time, learned
// from its rejections.
//
// Load pattern: a load peak at a few servers that many instances share. A
// server queues some requests beyond its slots and rejects the others; how many
// it queues is not configured, and the reports of other instances' work are
// late, so what was known at a rejection is what counts here.

#ifndef MANGOYOKE_GATEWAY_CORE_SERVER_LIMITS_H_
#define MANGOYOKE_GATEWAY_CORE_SERVER_LIMITS_H_

#include <cstdint>
#include <map>

#include "gateway/core/backend_server.h"
#include "mangoyoke/clock.h"

namespace mangoyoke {

// The limits of all servers. A new incarnation of a server starts without one.
class ServerLimits {
 public:
  // Most requests in flight that `server` is expected to take: at least its
  // slots.
  int64_t Of(const BackendServer& server, TimePoint now) const;
  // `server` rejected a request while `in_flight` others were known there.
  void RecordRejection(const BackendServer& server,
                       int64_t in_flight,
                       TimePoint now);
  // Deletes the limits of servers that are not in `snapshot`.
  void KeepOnly(const ServerSnapshot& snapshot);

 private:
  struct Limit {
    int64_t start_time_ms = 0;  // Identifies the incarnation.
    double requests = 0;        // At `updated`; grows from then on.
    TimePoint updated{};
  };

  std::map<BackendId, Limit> limits_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CORE_SERVER_LIMITS_H_
