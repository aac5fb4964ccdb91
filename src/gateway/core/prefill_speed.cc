// Computes the median time per prompt token of the recorded prefills.

#include "gateway/core/prefill_speed.h"

namespace mangoyoke {
namespace {

// Used until kMinSamples prefills of a service are recorded.
constexpr double kDefaultMillisPerToken = 1.0 / 30;
constexpr size_t kMinSamples = 8;
// The time of a shorter prompt depends more on the network than on the server.
constexpr int64_t kMinPromptTokens = 500;

}  // namespace

void PrefillSpeed::Record(const ServiceId& service,
                          int64_t tokens,
                          Duration duration) {
  if (tokens >= kMinPromptTokens) {
    samples_[service](ToMillis(duration) / static_cast<double>(tokens));
  }
}

double PrefillSpeed::MillisPerToken(const ServiceId& service) const {
  auto found = samples_.find(service);
  if (found == samples_.end() ||
      boost::accumulators::count(found->second) < kMinSamples) {
    return kDefaultMillisPerToken;
  }
  return boost::accumulators::median(found->second);
}

}  // namespace mangoyoke
