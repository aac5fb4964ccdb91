// Records and looks up the notices.

#include "gateway/core/server_notices.h"

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace mangoyoke {
namespace {

// How long a notice outlives the row of its server. Longer than a server goes
// on serving after its row was removed.
constexpr Duration kRetention = Seconds(60);

}  // namespace

void ServerNotices::RecordResponse(const BackendServer& server,
                                   const BackendResponse& response,
                                   std::string_view request_id,
                                   TimePoint now) {
  if (response.malformed_pause) {
    LogEvent("server_pause_ignored", LogLevel::kWarning)
        .Field("server", server.id)
        .Field("request", request_id);
  }
  if (!response.draining && !response.pause) {
    return;
  }
  Notice* notice = FindOrAdd(server, now);
  if (notice == nullptr) {
    return;
  }
  if (response.draining && !std::exchange(notice->draining, true)) {
    LogEvent("server_draining")
        .Field("server", server.id)
        .Field("start", server.start_time_ms)
        .Field("request", request_id)
        .Field("status", static_cast<int64_t>(response.status));
  }
  if (response.pause) {
    Pause(*notice, server, *response.pause, request_id, now);
  }
}

void ServerNotices::Pause(Notice& notice,
                          const BackendServer& server,
                          Duration duration,
                          std::string_view request_id,
                          TimePoint now) {
  Duration bounded = std::min<Duration>(duration, kMaxPause);
  notice.paused_until = std::max(notice.paused_until, now + bounded);
  LogEvent("server_paused")
      .Field("server", server.id)
      .Field("start", server.start_time_ms)
      .Field("request", request_id)
      .Field("asked_ms", ToMillis(duration))
      .Field("paused_ms", ToMillis(notice.paused_until - now));
}

const ServerNotices::Notice* ServerNotices::Find(
    const BackendServer& server) const {
  auto found = notices_.find(server.id);
  if (found == notices_.end() ||
      found->second.start_time_ms != server.start_time_ms) {
    return nullptr;
  }
  return &found->second;
}

ServerNotices::Notice* ServerNotices::FindOrAdd(const BackendServer& server,
                                                TimePoint now) {
  Notice& notice = notices_[server.id];
  if (server.start_time_ms < notice.start_time_ms) {
    return nullptr;
  }
  if (server.start_time_ms > notice.start_time_ms) {
    notice = Notice{};
    notice.start_time_ms = server.start_time_ms;
  }
  notice.last_listed = now;
  return &notice;
}

WorkState ServerNotices::StateOf(const BackendServer& server,
                                 TimePoint now) const {
  const Notice* notice = Find(server);
  if (notice == nullptr) {
    return WorkState::kAccepting;
  }
  if (notice->draining) {
    return WorkState::kDraining;
  }
  return now < notice->paused_until ? WorkState::kPaused
                                    : WorkState::kAccepting;
}

std::optional<TimePoint> ServerNotices::PausedUntil(const BackendServer& server,
                                                    TimePoint now) const {
  if (StateOf(server, now) != WorkState::kPaused) {
    return std::nullopt;
  }
  return Find(server)->paused_until;
}

void ServerNotices::KeepOnly(const ServerSnapshot& snapshot, TimePoint now) {
  for (auto& [id, notice] : notices_) {
    if (snapshot.Find(id) != nullptr) {
      notice.last_listed = now;
    }
  }
  std::erase_if(notices_, [now](const auto& entry) {
    return now - entry.second.last_listed > kRetention;
  });
}

}  // namespace mangoyoke
