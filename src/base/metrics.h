// Counters, gauges and latency histograms, printed in the Prometheus text
// exposition format.

#ifndef MANGOYOKE_BASE_METRICS_H_
#define MANGOYOKE_BASE_METRICS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace mangoyoke {

// All metrics of one process. Thread-safe; there are few series, so one lock
// suffices.
class Metrics {
 public:
  Metrics();
  ~Metrics();

  // Adds `amount` to the counter `name{label="value"}`, or `name` without a
  // label.
  void Increment(std::string_view name,
                 std::string_view label = {},
                 std::string_view value = {},
                 uint64_t amount = 1);

  // Sets the gauge `name`.
  void SetGauge(std::string_view name, double value);

  // Adds a sample in milliseconds to the histogram `name`.
  void Observe(std::string_view name, double millis);

  // The value of a counter; 0 if it was never incremented.
  uint64_t CounterValue(std::string_view name,
                        std::string_view label = {},
                        std::string_view value = {}) const;

  // All metrics in the text exposition format.
  std::string FormatText() const;

 private:
  struct Histogram;

  mutable std::mutex mutex_;
  std::map<std::string, uint64_t> counters_;
  std::map<std::string, double> gauges_;
  std::map<std::string, std::unique_ptr<Histogram>> histograms_;
};

// CPU time (user and system) of this process in milliseconds.
double ProcessCpuMillis();

// Resident memory of this process in bytes.
uint64_t ResidentBytes();

}  // namespace mangoyoke

#endif  // MANGOYOKE_BASE_METRICS_H_
