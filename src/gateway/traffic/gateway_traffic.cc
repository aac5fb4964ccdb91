// Connects the parts that run on the traffic thread.

#include "gateway/traffic/gateway_traffic.h"

#include <set>

namespace mangoyoke {
namespace {

constexpr Duration kSweepInterval = Millis(500);

}  // namespace

GatewayTraffic::GatewayTraffic(boost::asio::io_context& io,
                               const GatewaySettings& settings,
                               const GatewayCodecs& codecs,
                               Metrics& metrics)
    : settings_(settings),
      context_(io,
               codecs.callers,
               codecs.backends,
               metrics,
               settings.retry_budget,
               SteadyClock::now()),
      router_(context_),
      listener_(io, router_),
      reporter_(context_, settings.id),
      sweep_timer_(io, kSweepInterval, [this] { SweepConnections(); }) {}

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
}

void GatewayTraffic::SetServers(std::shared_ptr<const ServerSnapshot> servers) {
  context_.servers = std::move(servers);
  context_.health.KeepOnly(*context_.servers);
}

void GatewayTraffic::SetPeers(const std::vector<std::string>& ips) {
  context_.retry_budget.SetInstanceCount(ips.size() + 1, SteadyClock::now());
  reporter_.SetPeers(ips);
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
