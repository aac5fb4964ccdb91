// How fast a service's engines read prompts, learned from prefills that did
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

class PrefillSpeed {
 public:
  // A prefill of `tokens` took `took` at a server that read nothing else.
  void Record(const ServiceId& service, int64_t tokens, Duration took);
  // Time that a prefill server needs for one token of a prompt.
  double MillisPerToken(const ServiceId& service) const;

 private:
  // The median, so that slow servers do not count for all.
  using Samples = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::count,
                                 boost::accumulators::tag::median>>;

  std::map<ServiceId, Samples> samples_;  // Milliseconds for a token.
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CORE_PREFILL_SPEED_H_
