// What backend servers say of themselves in their responses: that they are
// draining, or that they want no requests for a while. Such a server gets no
// new work from this instance, whatever the registry says of it; requests that
// it has begun to serve are not affected.
//
// A notice holds for one incarnation of a server. A draining server never takes
// work again; a pause ends by itself.

#ifndef MANGOYOKE_GATEWAY_CORE_SERVER_NOTICES_H_
#define MANGOYOKE_GATEWAY_CORE_SERVER_NOTICES_H_

#include <map>
#include <optional>
#include <string_view>

#include "gateway/core/backend_server.h"
#include "gateway/core/codecs.h"
#include "mangoyoke/clock.h"

namespace mangoyoke {

// Whether a server wants new work.
enum class WorkState { kAccepting, kDraining, kPaused };

// The notices of all backend servers.
class ServerNotices {
 public:
  // Longest pause that a server can ask for. A longer one is cut to this.
  static constexpr Seconds kMaxPause{300};

  // Records what `response` of `server`, to the request `request_id`, says, and
  // logs it.
  void RecordResponse(const BackendServer& server,
                      const BackendResponse& response,
                      std::string_view request_id,
                      TimePoint now);

  // Whether this incarnation of `server` wants new work.
  WorkState StateOf(const BackendServer& server, TimePoint now) const;
  // The end of the pause of `server`; nothing unless it is paused.
  std::optional<TimePoint> PausedUntil(const BackendServer& server,
                                       TimePoint now) const;
  // Deletes the notices of servers that have not been in a snapshot for a
  // while. Until then a row that comes back does not make a draining server
  // usable.
  void KeepOnly(const ServerSnapshot& snapshot, TimePoint now);

 private:
  struct Notice {
    int64_t start_time_ms = 0;  // Identifies the incarnation.
    bool draining = false;      // Once true, true for the whole incarnation.
    TimePoint paused_until{};   // In the past: not paused.
    TimePoint last_listed{};    // When a snapshot last had the server.
  };

  // The notice of this incarnation of the server; null if there is none.
  const Notice* Find(const BackendServer& server) const;
  // The same, to be changed. Null if `server` is a former incarnation.
  Notice* FindOrAdd(const BackendServer& server, TimePoint now);
  static void Pause(Notice& notice,
                    const BackendServer& server,
                    Duration duration,
                    std::string_view request_id,
                    TimePoint now);

  std::map<BackendId, Notice> notices_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CORE_SERVER_NOTICES_H_
