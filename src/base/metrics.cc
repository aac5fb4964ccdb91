// Implementation of the metrics on Boost.Accumulators and Boost.Histogram.

#include "base/metrics.h"

#include <sys/resource.h>
#include <unistd.h>

// Before Boost.Accumulators, which uses it without including it.
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

// Upper ends of the buckets in milliseconds: fine where targets lie, from a
// service's answer to the end of a long stream.
const std::vector<double>& BucketEnds() {
  static const std::vector<double> kEnds = {
      1,   2,   5,   10,  20,  35,   50,   75,   100,    150,
      200, 300, 450, 600, 900, 1500, 2500, 5000, 10'000, 20'000};
  return kEnds;
}

// The axis wants the lower end of the first bucket as well.
std::vector<double> BucketEdges() {
  std::vector<double> edges = {0};
  edges.insert(edges.end(), BucketEnds().begin(), BucketEnds().end());
  return edges;
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

struct Metrics::Histogram {
  using Sums = accumulators::accumulator_set<
      double,
      accumulators::stats<accumulators::tag::count, accumulators::tag::sum>>;
  using Buckets = decltype(boost::histogram::make_histogram(
      boost::histogram::axis::variable<>(BucketEdges())));

  void Print(const std::string& name, std::ostream& out) const {
    double below = 0;
    for (int i = 0; i < static_cast<int>(BucketEnds().size()); ++i) {
      below += buckets.at(i);
      out << name << "_bucket{le=\"" << BucketEnds()[i] << "\"} " << below
          << '\n';
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
  counters_[Key(name, label, value)] += amount;
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
  auto it = counters_.find(Key(name, label, value));
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
