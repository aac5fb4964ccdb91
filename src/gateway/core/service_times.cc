// A quantile of the last service times of each route.

#include "gateway/core/service_times.h"

#include <algorithm>
#include <vector>

namespace mangoyoke {
namespace {

constexpr size_t kKeptTimes = 64;
constexpr double kTypicalShare = 0.95;
// Routes come and go with configurations; beyond this many all are forgotten.
constexpr size_t kMaxRoutes = 4096;

}  // namespace

void ServiceTimes::Record(const std::string& route, Duration time) {
  if (times_.size() >= kMaxRoutes && !times_.contains(route)) {
    times_.clear();
  }
  std::deque<Duration>& times = times_[route];
  times.push_back(time);
  if (times.size() > kKeptTimes) {
    times.pop_front();
  }
}

std::optional<Duration> ServiceTimes::Typical(const std::string& route) const {
  auto found = times_.find(route);
  if (found == times_.end()) {
    return std::nullopt;
  }
  std::vector<Duration> times(found->second.begin(), found->second.end());
  auto index =
      static_cast<size_t>(kTypicalShare * static_cast<double>(times.size()));
  auto place = times.begin() + static_cast<ptrdiff_t>(index);
  std::nth_element(times.begin(), place, times.end());
  return *place;
}

}  // namespace mangoyoke
