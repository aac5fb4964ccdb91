// Computes the mean length of the recorded outputs.

#include "gateway/core/output_length.h"

namespace mangoyoke {
namespace {

// Outputs that the mean is taken of.
constexpr size_t kWindow = 64;
constexpr size_t kMinSamples = 8;

}  // namespace

void OutputLength::Record(const ServiceId& service, int64_t tokens) {
  auto [samples, inserted] = samples_.try_emplace(
      service, boost::accumulators::tag::rolling_window::window_size = kWindow);
  samples->second(static_cast<double>(tokens));
}

int64_t OutputLength::ExpectedTokens(const ServiceId& service) const {
  auto found = samples_.find(service);
  if (found == samples_.end() ||
      boost::accumulators::rolling_count(found->second) < kMinSamples) {
    return 0;
  }
  return static_cast<int64_t>(boost::accumulators::rolling_mean(found->second));
}

}  // namespace mangoyoke
