// Implementation of the metrics on Boost.Accumulators.

#include "base/metrics.h"

#include <sys/resource.h>
#include <unistd.h>

// Before Boost.Accumulators, which uses it without including it.
#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <fstream>
#include <vector>

namespace mangoyoke {

namespace accumulators = boost::accumulators;

namespace {

constexpr double kMedian = 0.5;
constexpr double kP95 = 0.95;
constexpr double kP99 = 0.99;

const std::vector<double>& Probabilities() {
  static const std::vector<double> kValues = {kMedian, kP95, kP99};
  return kValues;
}

std::string Key(std::string_view name,
                std::string_view label,
                std::string_view value) {
  std::string key(name);
  if (!label.empty()) {
    key.append("{").append(label).append("=\"").append(value).append("\"}");
  }
  return key;
}

}  // namespace

struct Metrics::Quantiles {
  using Set = accumulators::accumulator_set<
      double,
      accumulators::stats<accumulators::tag::count,
                          accumulators::tag::extended_p_square_quantile>>;
  Set set{accumulators::extended_p_square_probabilities = Probabilities()};
  double sum = 0;
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::Count(std::string_view name,
                    std::string_view label,
                    std::string_view value,
                    uint64_t amount) {
  std::lock_guard lock(mutex_);
  counters_[Key(name, label, value)] += amount;
}

void Metrics::Set(std::string_view name, double value) {
  std::lock_guard lock(mutex_);
  gauges_[std::string(name)] = value;
}

void Metrics::Observe(std::string_view name, double millis) {
  std::lock_guard lock(mutex_);
  auto& entry = quantiles_[std::string(name)];
  if (!entry) {
    entry = std::make_unique<Quantiles>();
  }
  entry->set(millis);
  entry->sum += millis;
}

uint64_t Metrics::Value(std::string_view name,
                        std::string_view label,
                        std::string_view value) const {
  std::lock_guard lock(mutex_);
  auto it = counters_.find(Key(name, label, value));
  return it == counters_.end() ? 0 : it->second;
}

std::string Metrics::Print() const {
  std::lock_guard lock(mutex_);
  std::ostringstream out;
  for (const auto& [key, value] : counters_) {
    out << key << ' ' << value << '\n';
  }
  for (const auto& [key, value] : gauges_) {
    out << key << ' ' << value << '\n';
  }
  for (const auto& [name, entry] : quantiles_) {
    for (double probability : Probabilities()) {
      out << name << "{quantile=\"" << probability << "\"} "
          << accumulators::quantile(
                 entry->set, accumulators::quantile_probability = probability)
          << '\n';
    }
    out << name << "_sum " << entry->sum << '\n';
    out << name << "_count " << accumulators::count(entry->set) << '\n';
  }
  return out.str();
}

double ProcessCpuMillis() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  auto millis = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) * 1e3 +
           static_cast<double>(time.tv_usec) / 1e3;
  };
  return millis(usage.ru_utime) + millis(usage.ru_stime);
}

uint64_t ResidentBytes() {
  std::ifstream statm("/proc/self/statm");
  uint64_t total_pages = 0;
  uint64_t resident_pages = 0;
  statm >> total_pages >> resident_pages;
  return resident_pages * static_cast<uint64_t>(sysconf(_SC_PAGESIZE));
}

}  // namespace mangoyoke
