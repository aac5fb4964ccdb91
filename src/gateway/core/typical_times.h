// The usual time of an attempt, by route: what a single one is compared with,
// so that routes with little and with much work say the same of a server.

#ifndef MANGOYOKE_GATEWAY_CORE_TYPICAL_TIMES_H_
#define MANGOYOKE_GATEWAY_CORE_TYPICAL_TIMES_H_

#include <map>
#include <optional>
#include <string>

namespace mangoyoke {

class TypicalTimes {
 public:
  // Records that an attempt of `route` took `ms` milliseconds. Returns `ms`
  // divided by the usual time before; nothing until enough were recorded, or if
  // `ms` is not positive.
  std::optional<double> RatioToTypical(const std::string& route, double ms);

 private:
  struct RouteTimes {
    double mean_log = 0;
    int count = 0;  // Up to the number that the mean covers.
  };

  std::map<std::string, RouteTimes> routes_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CORE_TYPICAL_TIMES_H_
