// Length of the outputs of each service's LLM servers, measured on complete
// streams.
//
// Load pattern: at the start of a load peak many streams are admitted at the
// same time, while their memory is that of their prompts alone. Counted so,
// more of them fit than the memory holds when they have grown, and servers
// preempt streams midway.

#ifndef MANGOYOKE_GATEWAY_CORE_OUTPUT_LENGTH_H_
#define MANGOYOKE_GATEWAY_CORE_OUTPUT_LENGTH_H_

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/rolling_count.hpp>
#include <boost/accumulators/statistics/rolling_mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cstdint>
#include <map>

#include "mangoyoke/plan.h"

namespace mangoyoke {

// Estimates the tokens of an output, by service.
class OutputLength {
 public:
  // Records a complete output of `tokens`.
  void Record(const ServiceId& service, int64_t tokens);
  // The mean of the last outputs; 0 until enough were recorded.
  int64_t ExpectedTokens(const ServiceId& service) const;

 private:
  using Samples = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::rolling_count,
                                 boost::accumulators::tag::rolling_mean>>;

  std::map<ServiceId, Samples> samples_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CORE_OUTPUT_LENGTH_H_
