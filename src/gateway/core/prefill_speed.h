// Prefill speed of each service's LLM servers, measured on prefills that did
// not have to wait for others.

#ifndef MANGOYOKE_GATEWAY_CORE_PREFILL_SPEED_H_
#define MANGOYOKE_GATEWAY_CORE_PREFILL_SPEED_H_

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/median.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cstdint>
#include <map>

#include "mangoyoke/clock.h"
#include "mangoyoke/plan.h"

namespace mangoyoke {

// Estimates the prefill time per prompt token, by service.
class PrefillSpeed {
 public:
  // Records that a prefill of `tokens` took `duration` at a server that had no
  // other prefill. Short prompts are ignored.
  void Record(const ServiceId& service, int64_t tokens, Duration duration);
  // Milliseconds that a prefill server takes for one token of a prompt. A fixed
  // default until enough prefills were recorded.
  double MillisPerToken(const ServiceId& service) const;

 private:
  // The median, so that a few slow servers do not distort the estimate.
  using Samples = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::count,
                                 boost::accumulators::tag::median>>;

  std::map<ServiceId, Samples> samples_;  // Milliseconds per token.
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CORE_PREFILL_SPEED_H_
