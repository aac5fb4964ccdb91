// Shared parts of the traffic thread and calls in the background.

#include "gateway/traffic/traffic_context.h"

#include <boost/asio/post.hpp>

#include "gateway/traffic/server_attempt.h"

namespace mangoyoke {
namespace {

// Other entries' reports of their load count this long.
constexpr Duration kLoadReportLife = Millis(400);
constexpr Duration kReleaseTimeout = Millis(500);

}  // namespace

TrafficContext::TrafficContext(boost::asio::io_context& io_context,
                               const CallerCodec& caller_codec,
                               const BackendCodec& backend_codec,
                               Metrics& process_metrics,
                               RepeatBudgetOptions budget_options,
                               TimePoint process_started)
    : io(io_context),
      callers(caller_codec),
      backends(backend_codec),
      metrics(process_metrics),
      pool(io_context,
           [&backend_codec](const http::response_header<>& head) {
             return backend_codec.DecodeAnswer(head).request_id;
           }),
      load(kLoadReportLife),
      budget(budget_options, process_started),
      placement(
          std::make_unique<LeastTimePlacement>([this] { return Random(); })),
      servers(std::make_shared<ServerView>()) {}

TrafficContext::~TrafficContext() = default;

namespace {

// Sends `request` to a server; the answer is not looked at.
void SendInBackground(TrafficContext& context,
                      const BackendId& server_id,
                      const std::string& address,
                      HttpRequest request) {
  uint64_t id = context.next_background++;
  BackendServer server;
  server.id = server_id;
  server.address = address;
  AttemptHandlers handlers;
  handlers.on_end = [&context, id](AttemptOutcome) {
    boost::asio::post(context.io,
                      [&context, id] { context.background.erase(id); });
  };
  auto attempt = std::make_unique<ServerAttempt>(context, server, LoadCharge{});
  context.background.emplace(id, std::move(attempt))
      .first->second->Start(std::move(request), "", false, kReleaseTimeout,
                            std::move(handlers));
}

}  // namespace

void ReleaseHandle(TrafficContext& context, const PrefillHandle& handle) {
  context.metrics.Count("mangoyoke_handles_released_total");
  SendInBackground(context, handle.server, handle.address,
                   context.backends.EncodeRelease(handle));
}

void ReleaseRoom(TrafficContext& context, const RoomHold& hold) {
  context.metrics.Count("mangoyoke_holds_released_total");
  SendInBackground(context, hold.server, hold.address,
                   context.backends.EncodeHoldDrop(hold));
}

}  // namespace mangoyoke
