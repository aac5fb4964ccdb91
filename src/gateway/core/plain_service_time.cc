// Computes the mean of the recorded service times.

#include "gateway/core/plain_service_time.h"

namespace mangoyoke {
namespace {

// Requests that the mean is taken of.
constexpr size_t kWindow = 64;
constexpr size_t kMinSamples = 8;

}  // namespace

void PlainServiceTime::Record(const ServiceId& service, Duration time) {
  auto [samples, inserted] = samples_.try_emplace(
      service, boost::accumulators::tag::rolling_window::window_size = kWindow);
  samples->second(ToMillis(time));
}

std::optional<Duration> PlainServiceTime::Mean(const ServiceId& service) const {
  auto found = samples_.find(service);
  if (found == samples_.end() ||
      boost::accumulators::rolling_count(found->second) < kMinSamples) {
    return std::nullopt;
  }
  return FromMillis(boost::accumulators::rolling_mean(found->second));
}

}  // namespace mangoyoke
