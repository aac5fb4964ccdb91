// Bounded volume of log lines.

#include "base/log_limiter.h"

#include <gtest/gtest.h>

namespace mangoyoke {
namespace {

TEST(LogLimiterTest, FloodOfOneKindIsBoundedAndCounted) {
  LogLimiter limiter(10, 5);
  TimePoint now = TimePoint() + Seconds(1);
  uint64_t left_out = 0;
  int written = 0;
  for (int i = 0; i < 1000; ++i) {
    written += limiter.Allow("flood", now + Millis(i), left_out) ? 1 : 0;
  }
  EXPECT_GE(written, 14);
  EXPECT_LE(written, 15);
  EXPECT_TRUE(limiter.Allow("other", now + Seconds(1), left_out));
  EXPECT_EQ(left_out, 0U);
  EXPECT_TRUE(limiter.Allow("flood", now + Seconds(2), left_out));
  EXPECT_GT(left_out, 50U);
}

}  // namespace
}  // namespace mangoyoke
