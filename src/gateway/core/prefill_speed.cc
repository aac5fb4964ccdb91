// Median of measured prefills.

#include "gateway/core/prefill_speed.h"

namespace mangoyoke {
namespace {

// Until enough was measured.
constexpr double kAssumedMillisPerToken = 1.0 / 30;
constexpr size_t kEnoughSamples = 8;
// The time of a shorter prompt says more about the network than the engine.
constexpr int64_t kShortestPrompt = 500;

}  // namespace

void PrefillSpeed::Record(const ServiceId& service,
                          int64_t tokens,
                          Duration took) {
  if (tokens >= kShortestPrompt) {
    samples_[service](ToMillis(took) / static_cast<double>(tokens));
  }
}

double PrefillSpeed::MillisPerToken(const ServiceId& service) const {
  auto found = samples_.find(service);
  if (found == samples_.end() ||
      boost::accumulators::count(found->second) < kEnoughSamples) {
    return kAssumedMillisPerToken;
  }
  return boost::accumulators::median(found->second);
}

}  // namespace mangoyoke
