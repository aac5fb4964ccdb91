// Tells first tries of callers from repeats.
//
// Each try of a caller has an id of its own, but states how long the caller
// still waits. Callers of one route start with similar patience, so one that
// waits for clearly less has spent the difference on earlier tries.

#ifndef MANGOYOKE_GATEWAY_CORE_CALLER_RETRY_DETECTOR_H_
#define MANGOYOKE_GATEWAY_CORE_CALLER_RETRY_DETECTOR_H_

#include <map>
#include <string>

#include "mangoyoke/clock.h"

namespace mangoyoke {

class CallerRetryDetector {
 public:
  // Notes that a caller of `route` waits for `timeout` more. Returns the time
  // that it has probably spent on earlier tries; zero at a first try.
  Duration RecordTimeout(const std::string& route, Duration timeout);

 private:
  // Patience at a first try, by route id. Rises at once, falls slowly.
  std::map<std::string, Duration> patience_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CORE_CALLER_RETRY_DETECTOR_H_
