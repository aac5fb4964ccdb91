// Construction of the shared state, and requests sent in the background.

#include "gateway/traffic/traffic_context.h"

#include <boost/asio/post.hpp>

#include "base/run_guarded.h"
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
           [&backend_codec](const http::response_header<>& head,
                            const ExpectedResponse& expected) {
             return FindResponseFault(backend_codec.DecodeResponse(head),
                                      expected);
           }),
      load(ReportTtls{}),
      retry_budget(retry_budget_options, process_started),
      placement(
          std::make_unique<LeastTimePlacement>([this] { return Random(); })),
      servers(std::make_shared<ServerSnapshot>()),
      server_ends(io_context,
                  [this]() -> const ServerSnapshot& { return *servers; }),
      quotas([this] { return Random(); }) {}

TrafficContext::~TrafficContext() = default;

namespace {

// Sends `release` to a server, ignores the response and increments the counter
// `sent_counter`. A server that is paused wants no release either; it frees
// what is not used in time by itself.
void SendRelease(TrafficContext& context,
                 const BackendId& server_id,
                 const std::string& address,
                 HttpRequest release,
                 const std::string& sent_counter) {
  const BackendServer* known = context.servers->Find(server_id);
  BackendServer server = known != nullptr ? *known : BackendServer{};
  server.id = server_id;
  server.address = address;
  if (context.notices.StateOf(server, SteadyClock::now()) ==
      WorkState::kPaused) {
    context.metrics.Increment("mangoyoke_releases_omitted_total");
    return;
  }
  context.metrics.Increment(sent_counter);
  uint64_t id = context.next_background_id++;
  ExchangeOptions exchange_options;
  exchange_options.timeout = kReleaseTimeout;
  exchange_options.max_body_bytes = ExchangeOptions::kMaxOwnBodyBytes;
  AttemptCallbacks callbacks;
  callbacks.on_end = [&context, id](AttemptOutcome) {
    boost::asio::post(
        context.io, [&context, id] { context.background_attempts.erase(id); });
  };
  auto attempt = std::make_unique<ServerAttempt>(context, server, LoadCharge{});
  context.background_attempts.emplace(id, std::move(attempt))
      .first->second->Start(std::move(release), ExpectedResponse{},
                            exchange_options, std::move(callbacks));
}

}  // namespace

void ReleaseHandle(TrafficContext& context, const PrefillHandle& handle) {
  // Called by destructors.
  RunGuarded("handle_release", [&] {
    SendRelease(context, handle.server, handle.address,
                context.backends.EncodeHandleRelease(handle),
                "mangoyoke_handles_released_total");
  });
}

void ReleaseReservation(TrafficContext& context,
                        const KvReservation& reservation) {
  // Called by destructors.
  RunGuarded("reservation_release", [&] {
    SendRelease(context, reservation.server, reservation.address,
                context.backends.EncodeReservationRelease(reservation),
                "mangoyoke_holds_released_total");
  });
}

}  // namespace mangoyoke
