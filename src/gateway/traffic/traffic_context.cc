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
                               RepeatBudgetOptions budget_options)
    : io(io_context),
      callers(caller_codec),
      backends(backend_codec),
      metrics(process_metrics),
      pool(io_context,
           [&backend_codec](const http::response_header<>& head) {
             return backend_codec.DecodeAnswer(head).request_id;
           }),
      load(kLoadReportLife),
      budget(budget_options),
      placement(std::make_unique<LeastTimePlacement>([this] {
        return Random();
      })),
      servers(std::make_shared<ServerView>()) {}

TrafficContext::~TrafficContext() = default;

void ReleaseHandle(TrafficContext& context, const PrefillHandle& handle) {
  uint64_t id = context.next_background++;
  BackendServer server;
  server.id = handle.server;
  server.address = handle.address;
  auto attempt =
      std::make_unique<ServerAttempt>(context, server, LoadCharge{});
  AttemptHandlers handlers;
  handlers.on_end = [&context, id](AttemptOutcome) {
    boost::asio::post(context.io,
                      [&context, id] { context.background.erase(id); });
  };
  context.metrics.Count("mangoyoke_handles_released_total");
  ServerAttempt& started =
      *context.background.emplace(id, std::move(attempt)).first->second;
  started.Start(context.backends.EncodeRelease(handle), "", false,
                kReleaseTimeout, std::move(handlers));
}

}  // namespace mangoyoke
