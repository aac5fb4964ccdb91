// Matches requests to routes and services.

#include "gateway/core/serving_config.h"

#include <algorithm>
#include <cctype>
#include <numeric>

namespace mangoyoke {
namespace {

// `host` in lower case and without port.
std::string NormalizeHost(std::string_view host) {
  if (size_t colon = host.rfind(':'); colon != std::string_view::npos) {
    host = host.substr(0, colon);
  }
  std::string normalized(host);
  std::transform(normalized.begin(), normalized.end(), normalized.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return normalized;
}

}  // namespace

ServingConfig::ServingConfig(Revision revision,
                             std::vector<RouteRule> routes,
                             std::vector<ServiceRule> services,
                             CallerLimits limits,
                             ClientAccounts accounts)
    : revision_(revision), limits_(limits), accounts_(std::move(accounts)) {
  for (RouteRule& route : routes) {
    std::string normalized = NormalizeHost(route.host);
    routes_[normalized].push_back(std::move(route));
  }
  for (auto& [host, rules] : routes_) {
    std::stable_sort(rules.begin(), rules.end(),
                     [](const RouteRule& a, const RouteRule& b) {
                       return a.prefix.size() > b.prefix.size();
                     });
  }
  for (ServiceRule& service : services) {
    ServiceId id = service.id;
    services_.emplace(std::move(id), std::move(service));
  }
}

size_t ServingConfig::route_count() const {
  return std::accumulate(
      routes_.begin(), routes_.end(), size_t{0},
      [](size_t sum, const auto& entry) { return sum + entry.second.size(); });
}

const RouteRule* ServingConfig::Match(std::string_view host,
                                      std::string_view path) const {
  auto found = routes_.find(NormalizeHost(host));
  if (found == routes_.end()) {
    return nullptr;
  }
  for (const RouteRule& route : found->second) {
    if (path.starts_with(route.prefix)) {
      return &route;
    }
  }
  return nullptr;
}

const ServiceRule* ServingConfig::FindService(const ServiceId& id) const {
  auto found = services_.find(id);
  return found == services_.end() ? nullptr : &found->second;
}

const ServiceId* PickService(const RouteRule& route, uint64_t hash) {
  uint64_t total = 0;
  for (const ServiceShare& share : route.services) {
    total += share.weight;
  }
  if (total == 0) {
    return nullptr;
  }
  uint64_t point = hash % total;
  for (const ServiceShare& share : route.services) {
    if (point < share.weight) {
      return &share.service;
    }
    point -= share.weight;
  }
  return nullptr;
}

}  // namespace mangoyoke
