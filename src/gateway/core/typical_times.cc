// Moving geometric means.

#include "gateway/core/typical_times.h"

#include <algorithm>
#include <cmath>

namespace mangoyoke {
namespace {

constexpr int kMinAttempts = 8;
// Attempts that the moving mean covers.
constexpr int kMeanAttempts = 200;
// A configuration with more routes uses only some of them.
constexpr size_t kMaxRoutes = 1000;

}  // namespace

std::optional<double> TypicalTimes::RatioToTypical(const std::string& route,
                                                   double ms) {
  if (!std::isfinite(ms) || ms <= 0) {
    return std::nullopt;
  }
  if (routes_.size() >= kMaxRoutes && !routes_.contains(route)) {
    return std::nullopt;
  }
  RouteTimes& times = routes_[route];
  double log_time = std::log(ms);
  std::optional<double> share;
  if (times.count >= kMinAttempts) {
    share = std::exp(log_time - times.mean_log);
  }
  times.count = std::min(times.count + 1, kMeanAttempts);
  times.mean_log += (log_time - times.mean_log) / times.count;
  return share;
}

}  // namespace mangoyoke
