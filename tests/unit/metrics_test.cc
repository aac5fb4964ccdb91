// The text exposition format of the metrics.

#include "base/metrics.h"

#include <gtest/gtest.h>

namespace mangoyoke {
namespace {

bool HasLine(const std::string& page, const std::string& line) {
  return ("\n" + page).find("\n" + line + "\n") != std::string::npos;
}

TEST(MetricsTest, HistogramsCountWhatIsBelowTheEndOfABucket) {
  Metrics metrics;
  for (double millis : {0.5, 60.0, 899.0, 901.0, 50'000.0}) {
    metrics.Observe("latency_ms", millis);
  }
  std::string page = metrics.FormatText();
  EXPECT_TRUE(HasLine(page, "latency_ms_bucket{le=\"1\"} 1")) << page;
  EXPECT_TRUE(HasLine(page, "latency_ms_bucket{le=\"50\"} 1")) << page;
  EXPECT_TRUE(HasLine(page, "latency_ms_bucket{le=\"75\"} 2")) << page;
  EXPECT_TRUE(HasLine(page, "latency_ms_bucket{le=\"900\"} 3")) << page;
  EXPECT_TRUE(HasLine(page, "latency_ms_bucket{le=\"20000\"} 4")) << page;
  EXPECT_TRUE(HasLine(page, "latency_ms_bucket{le=\"+Inf\"} 5")) << page;
  EXPECT_TRUE(HasLine(page, "latency_ms_count 5")) << page;
}

TEST(MetricsTest, CountersCarryTheirLabel) {
  Metrics metrics;
  metrics.Increment("refusals_total", "reason", "no_backend");
  metrics.Increment("refusals_total", "reason", "no_backend");
  EXPECT_TRUE(
      HasLine(metrics.FormatText(), "refusals_total{reason=\"no_backend\"} 2"));
  EXPECT_EQ(metrics.CounterValue("refusals_total", "reason", "other"), 0U);
}

}  // namespace
}  // namespace mangoyoke
