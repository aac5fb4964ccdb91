// Connects the parts that run on the traffic thread.

#include "gateway/traffic/gateway_traffic.h"

#include <nlohmann/json.hpp>
#include <set>

#include "gateway/traffic/request_preview.h"

namespace mangoyoke {
namespace {

constexpr Duration kSweepInterval = Millis(500);
constexpr size_t kBytesPerMb = 1 << 20;
// Part of the memory for bodies in each direction: 1 / this.
constexpr size_t kBodyMemoryDivisor = 4;

}  // namespace

GatewayTraffic::GatewayTraffic(boost::asio::io_context& io,
                               const GatewaySettings& settings,
                               const GatewayCodecs& codecs,
                               Metrics& metrics)
    : settings_(settings),
      context_(io,
               settings.zone,
               codecs.callers,
               codecs.backends,
               metrics,
               settings.retry_budget,
               SteadyClock::now()),
      router_(context_),
      listener_(io, router_),
      reporter_(context_, settings.id, settings.zone),
      sweep_timer_(io, kSweepInterval, [this] { SweepConnections(); }) {
  context_.learned_capacity = settings.learned_capacity;
  if (settings.learned_capacity) {
    reporter_.EnableSpeedReports();
  }
  auto body_memory = static_cast<size_t>(settings.memory_mb) * kBytesPerMb /
                     kBodyMemoryDivisor;
  context_.pool.body_memory().SetLimit(body_memory);
  context_.quotas.SetOptions(settings.quota);
  listener_.SetBodyMemory(body_memory);
}

Result<Unit> GatewayTraffic::Start() {
  if (auto result = listener_.Listen(settings_.caller_address);
      !Ok(result) || settings_.load_port == 0) {
    return result;
  }
  return reporter_.Start(ExtractIp(settings_.caller_address),
                         settings_.load_port);
}

void GatewayTraffic::SetConfig(std::shared_ptr<const ServingConfig> config) {
  context_.config = std::move(config);
  context_.quotas.SetAccounts(context_.config->accounts(), SteadyClock::now());
  router_.OnConfigChanged();
}

void GatewayTraffic::SetServers(std::shared_ptr<const ServerSnapshot> servers) {
  context_.servers = std::move(servers);
  context_.health.KeepOnly(*context_.servers);
  context_.limits.KeepOnly(*context_.servers);
  if (context_.learned_capacity) {
    context_.server_speeds.SetServers(*context_.servers);
  }
  context_.notices.KeepOnly(*context_.servers, SteadyClock::now());
}

void GatewayTraffic::SetPeers(const ReportGroup& group) {
  std::set<InstanceId> cell_peers;
  for (const MemberRecord& peer : group.cell_peers) {
    cell_peers.insert(peer.id);
  }
  context_.retry_budget.SetInstances(group.instance_count(),
                                     std::move(cell_peers), SteadyClock::now());
  context_.quotas.SetInstances(group.instance_count(), SteadyClock::now());
  reporter_.SetPeers(group);
}

void GatewayTraffic::StartDraining(TimePoint stops_at) {
  context_.stops_at = stops_at;
  listener_.StartDraining();
}

std::string GatewayTraffic::Preview(const PreviewQuery& query) {
  return PreviewRequest(context_, query, SteadyClock::now())
      .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void GatewayTraffic::SetRetryBudget(const SharedRetryBudgetOptions& options) {
  context_.retry_budget.SetOptions(options);
}

void GatewayTraffic::SweepConnections() {
  std::set<std::string> addresses;
  for (const auto& [id, server] : context_.servers->servers) {
    addresses.insert(server.address);
  }
  context_.pool.Sweep([&addresses](const std::string& address) {
    return addresses.contains(address);
  });
}

}  // namespace mangoyoke
