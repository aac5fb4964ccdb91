// Tests that the timeouts on the way of a change add up to less than what users
// allow.

#include "gateway/core/change_timeouts.h"

#include <gtest/gtest.h>

namespace mangoyoke {
namespace {

// What users allow: until a change is known on instances that work, and until
// an instance has caught up after trouble with its connections or the store.
struct Allowed {
  Millis change;
  Millis recovery;
};

// A read of a whole table by one of the smallest instances.
constexpr Millis kTableRead{300};

class ChangeTimeoutsTest : public ::testing::TestWithParam<Allowed> {
 protected:
  ChangeTimeouts timeouts_ = DeriveChangeTimeouts(GetParam().change);
};

TEST_P(ChangeTimeoutsTest, FollowersWithoutReadersReadTheStoreInTime) {
  EXPECT_LE(timeouts_.LongestFallback() + kTableRead, GetParam().change);
}

TEST_P(ChangeTimeoutsTest, ReadersCatchUpInTimeAfterSilence) {
  EXPECT_LE(timeouts_.LongestSilence(timeouts_.config_watch) + kTableRead,
            GetParam().recovery);
  EXPECT_LE(timeouts_.LongestSilence(timeouts_.server_watch) + kTableRead,
            GetParam().recovery);
}

// Else followers would read the store although its readers work.
TEST_P(ChangeTimeoutsTest, WatchConfirmsTheViewBeforeItIsOld) {
  EXPECT_LE(timeouts_.config_watch + kServingTickInterval,
            timeouts_.max_unconfirmed);
}

INSTANTIATE_TEST_SUITE_P(Deployments,
                         ChangeTimeoutsTest,
                         ::testing::Values(Allowed{Millis(2000), Millis(3000)},
                                           Allowed{Millis(3000), Millis(4000)},
                                           Allowed{Millis(4000), Millis(5000)},
                                           Allowed{Millis(19'000),
                                                   Millis(19'000)}));

}  // namespace
}  // namespace mangoyoke
