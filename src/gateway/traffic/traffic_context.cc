// Construction of the shared state, and requests sent in the background.

#include "gateway/traffic/traffic_context.h"

#include <boost/asio/post.hpp>

#include "gateway/traffic/server_attempt.h"

namespace mangoyoke {
namespace {

constexpr Duration kReleaseTimeout = Millis(500);

}  // namespace

TrafficContext::TrafficContext(boost::asio::io_context& io_context,
                               ZoneId own_zone,
                               const CallerCodec& caller_codec,
                               const BackendCodec& backend_codec,
                               Metrics& process_metrics,
                               SharedRetryBudgetOptions retry_budget_options,
                               TimePoint process_started)
    : io(io_context),
      zone(std::move(own_zone)),
      callers(caller_codec),
      backends(backend_codec),
      metrics(process_metrics),
      pool(io_context,
           [&backend_codec](const http::response_header<>& head) {
             return backend_codec.DecodeResponse(head).request_id;
           }),
      load(ReportTtls{}),
      retry_budget(retry_budget_options, process_started),
      placement(
          std::make_unique<LeastTimePlacement>([this] { return Random(); })),
      servers(std::make_shared<ServerSnapshot>()) {}

TrafficContext::~TrafficContext() = default;

namespace {

// Sends `request` to a server and ignores the response.
void SendInBackground(TrafficContext& context,
                      const BackendId& server_id,
                      const std::string& address,
                      HttpRequest request) {
  uint64_t id = context.next_background_id++;
  const BackendServer* known = context.servers->Find(server_id);
  BackendServer server = known != nullptr ? *known : BackendServer{};
  server.id = server_id;
  server.address = address;
  AttemptCallbacks callbacks;
  callbacks.on_end = [&context, id](AttemptOutcome) {
    boost::asio::post(
        context.io, [&context, id] { context.background_attempts.erase(id); });
  };
  auto attempt = std::make_unique<ServerAttempt>(context, server, LoadCharge{});
  context.background_attempts.emplace(id, std::move(attempt))
      .first->second->Start(std::move(request), "", false, kReleaseTimeout,
                            std::move(callbacks));
}

}  // namespace

void ReleaseHandle(TrafficContext& context, const PrefillHandle& handle) {
  context.metrics.Increment("mangoyoke_handles_released_total");
  SendInBackground(context, handle.server, handle.address,
                   context.backends.EncodeHandleRelease(handle));
}

void ReleaseReservation(TrafficContext& context,
                        const KvReservation& reservation) {
  context.metrics.Increment("mangoyoke_holds_released_total");
  SendInBackground(context, reservation.server, reservation.address,
                   context.backends.EncodeReservationRelease(reservation));
}

}  // namespace mangoyoke
