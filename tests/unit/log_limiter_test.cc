// The rate limit of log lines.

#include "base/log_limiter.h"

#include <gtest/gtest.h>

namespace mangoyoke {
namespace {

TEST(LogLimiterTest, FloodOfOneKindIsBoundedAndCounted) {
  LogLimiter limiter(10, 5);
  TimePoint now = TimePoint() + Seconds(1);
  uint64_t suppressed = 0;
  int written = 0;
  for (int i = 0; i < 1000; ++i) {
    written += limiter.Allow("flood", now + Millis(i), suppressed) ? 1 : 0;
  }
  EXPECT_GE(written, 14);
  EXPECT_LE(written, 15);
  EXPECT_TRUE(limiter.Allow("other", now + Seconds(1), suppressed));
  EXPECT_EQ(suppressed, 0U);
  EXPECT_TRUE(limiter.Allow("flood", now + Seconds(2), suppressed));
  EXPECT_GT(suppressed, 50U);
}

}  // namespace
}  // namespace mangoyoke
