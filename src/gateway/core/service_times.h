// How long requests take, by route: from recent requests that were served.

#ifndef MANGOYOKE_GATEWAY_CORE_SERVICE_TIMES_H_
#define MANGOYOKE_GATEWAY_CORE_SERVICE_TIMES_H_

#include <deque>
#include <map>
#include <optional>
#include <string>

#include "mangoyoke/clock.h"

namespace mangoyoke {

class ServiceTimes {
 public:
  // A request of `route` was served in `time`.
  void Record(const std::string& route, Duration time);
  // The time within which most requests of `route` are served; nothing if none
  // was served yet.
  std::optional<Duration> Typical(const std::string& route) const;

 private:
  std::map<std::string, std::deque<Duration>> times_;  // The last ones.
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CORE_SERVICE_TIMES_H_
