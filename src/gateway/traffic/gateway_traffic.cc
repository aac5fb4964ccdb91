// Wiring of the traffic thread.

#include "gateway/traffic/gateway_traffic.h"

#include <set>

namespace mangoyoke {
namespace {

constexpr Duration kSweepInterval = Millis(500);

}  // namespace

GatewayTraffic::GatewayTraffic(boost::asio::io_context& io,
                               const GatewaySettings& settings,
                               const GatewayPorts& ports,
                               Metrics& metrics)
    : settings_(settings),
      context_(io,
               ports.callers,
               ports.backends,
               metrics,
               settings.repeat_budget,
               SteadyClock::now()),
      handler_(context_),
      front_(io, handler_),
      reporter_(context_, settings.id),
      sweep_timer_(io, kSweepInterval, [this] { Sweep(); }) {}

Result<Unit> GatewayTraffic::Start() {
  if (auto result = front_.Listen(settings_.callers);
      !Ok(result) || settings_.load_port == 0) {
    return result;
  }
  return reporter_.Start(IpOf(settings_.callers), settings_.load_port);
}

void GatewayTraffic::SetConfig(std::shared_ptr<const ServingConfig> config) {
  context_.config = std::move(config);
}

void GatewayTraffic::SetServers(std::shared_ptr<const ServerView> servers) {
  context_.servers = std::move(servers);
  context_.health.KeepOnly(*context_.servers);
}

void GatewayTraffic::SetOthers(const std::vector<std::string>& ips) {
  context_.budget.SetEntries(ips.size() + 1, SteadyClock::now());
  reporter_.SetOthers(ips);
}

void GatewayTraffic::SetBudget(const RepeatBudgetOptions& options) {
  context_.budget.SetOptions(options);
}

void GatewayTraffic::Sweep() {
  std::set<std::string> addresses;
  for (const auto& [id, server] : context_.servers->servers) {
    addresses.insert(server.address);
  }
  context_.pool.Sweep([&addresses](const std::string& address) {
    return addresses.contains(address);
  });
}

}  // namespace mangoyoke
