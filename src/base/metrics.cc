// Implementation of the metrics on Boost.Accumulators and Boost.Histogram.

#include "base/metrics.h"

#include <sys/resource.h>
#include <unistd.h>

// Included first: Boost.Accumulators uses it without including it.
#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <fstream>
#include <vector>

namespace mangoyoke {

namespace accumulators = boost::accumulators;

namespace {

// Upper bounds of the histogram buckets in milliseconds. They are finest where
// latency targets lie: from the response of a service to the end of a long
// stream.
const std::vector<double>& BucketUpperBounds() {
  static const std::vector<double> kUpperBounds = {
      1,   2,   5,   10,  20,  35,   50,   75,   100,    150,
      200, 300, 450, 600, 900, 1500, 2500, 5000, 10'000, 20'000};
  return kUpperBounds;
}

// The bucket bounds with the lower bound of the first bucket, which the axis
// requires.
std::vector<double> BucketEdges() {
  std::vector<double> edges = {0};
  edges.insert(edges.end(), BucketUpperBounds().begin(),
               BucketUpperBounds().end());
  return edges;
}

// The name of a series in the exposition format: name{label="value"}.
std::string SeriesKey(std::string_view name,
                      std::string_view label,
                      std::string_view value) {
  std::string key(name);
  if (!label.empty()) {
    key.append("{").append(label).append("=\"").append(value).append("\"}");
  }
  return key;
}

}  // namespace

struct Metrics::Histogram {
  using Sums = accumulators::accumulator_set<
      double,
      accumulators::stats<accumulators::tag::count, accumulators::tag::sum>>;
  using Buckets = decltype(boost::histogram::make_histogram(
      boost::histogram::axis::variable<>(BucketEdges())));

  void Print(const std::string& name, std::ostream& out) const {
    double cumulative = 0;
    for (int i = 0; i < static_cast<int>(BucketUpperBounds().size()); ++i) {
      cumulative += buckets.at(i);
      out << name << "_bucket{le=\"" << BucketUpperBounds()[i] << "\"} "
          << cumulative << '\n';
    }
    out << name << "_bucket{le=\"+Inf\"} " << accumulators::count(sums) << '\n';
    out << name << "_sum " << accumulators::sum(sums) << '\n';
    out << name << "_count " << accumulators::count(sums) << '\n';
  }

  Sums sums;
  Buckets buckets = boost::histogram::make_histogram(
      boost::histogram::axis::variable<>(BucketEdges()));
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::Increment(std::string_view name,
                        std::string_view label,
                        std::string_view value,
                        uint64_t amount) {
  std::lock_guard lock(mutex_);
  counters_[SeriesKey(name, label, value)] += amount;
}

void Metrics::SetGauge(std::string_view name, double value) {
  std::lock_guard lock(mutex_);
  gauges_[std::string(name)] = value;
}

void Metrics::Observe(std::string_view name, double millis) {
  std::lock_guard lock(mutex_);
  auto& histogram = histograms_[std::string(name)];
  if (!histogram) {
    histogram = std::make_unique<Histogram>();
  }
  histogram->sums(millis);
  histogram->buckets(millis);
}

uint64_t Metrics::CounterValue(std::string_view name,
                               std::string_view label,
                               std::string_view value) const {
  std::lock_guard lock(mutex_);
  auto it = counters_.find(SeriesKey(name, label, value));
  return it == counters_.end() ? 0 : it->second;
}

std::string Metrics::FormatText() const {
  std::lock_guard lock(mutex_);
  std::ostringstream out;
  for (const auto& [key, value] : counters_) {
    out << key << ' ' << value << '\n';
  }
  for (const auto& [key, value] : gauges_) {
    out << key << ' ' << value << '\n';
  }
  for (const auto& [name, histogram] : histograms_) {
    histogram->Print(name, out);
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
