// Tells caller retries from first tries by their timeouts.
//
// Each try of a caller has a new request id, but states how long the caller
// will still wait. Callers of one route start with similar timeouts, so one
// with a clearly shorter timeout has spent the difference on earlier tries.

#ifndef MANGOYOKE_GATEWAY_CORE_CALLER_RETRY_DETECTOR_H_
#define MANGOYOKE_GATEWAY_CORE_CALLER_RETRY_DETECTOR_H_

#include <map>
#include <string>

#include "mangoyoke/clock.h"

namespace mangoyoke {

// Estimates, for each route, the timeout that callers start with.
class CallerRetryDetector {
 public:
  // Records that a caller of the route with id `route` still waits for
  // `timeout`. Returns the time that it has probably spent on earlier tries;
  // zero if this seems to be its first try.
  Duration RecordTimeout(const std::string& route, Duration timeout);

 private:
  // Estimated timeout of a first try, by route id. Rises at once to a longer
  // timeout, falls slowly.
  std::map<std::string, Duration> initial_timeouts_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CORE_CALLER_RETRY_DETECTOR_H_
