// How long the servers of each plain service work on one request, measured on
// requests that found a free slot.

#ifndef MANGOYOKE_GATEWAY_CORE_PLAIN_SERVICE_TIME_H_
#define MANGOYOKE_GATEWAY_CORE_PLAIN_SERVICE_TIME_H_

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/rolling_count.hpp>
#include <boost/accumulators/statistics/rolling_mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <map>
#include <optional>

#include "mangoyoke/clock.h"
#include "mangoyoke/plan.h"

namespace mangoyoke {

class PlainServiceTime {
 public:
  // A request that did not have to wait for a slot was served in `time`.
  void Record(const ServiceId& service, Duration time);
  // The mean of the last ones; nothing until enough were recorded.
  std::optional<Duration> Mean(const ServiceId& service) const;

 private:
  using Samples = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::rolling_count,
                                 boost::accumulators::tag::rolling_mean>>;

  std::map<ServiceId, Samples> samples_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CORE_PLAIN_SERVICE_TIME_H_
