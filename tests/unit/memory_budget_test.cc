// MemoryBudget: a common limit, and who makes room.

#include "gateway/net/memory_budget.h"

#include <gtest/gtest.h>

#include <optional>

namespace mangoyoke {
namespace {

constexpr size_t kLimit = 32 << 20;
constexpr size_t kLarge = 10 << 20;
constexpr size_t kSmall = 4 << 10;

class MemoryBudgetTest : public ::testing::Test {
 protected:
  MemoryBudget::Share NewShare() {
    return budget_.NewShare([this] { ++given_up_; });
  }

  MemoryBudget budget_{kLimit};
  int given_up_ = 0;
};

TEST_F(MemoryBudgetTest, BodiesHaveACommonLimit) {
  auto first = NewShare();
  auto second = NewShare();
  auto third = NewShare();
  auto fourth = NewShare();
  EXPECT_TRUE(first.Resize(kLarge));
  EXPECT_TRUE(second.Resize(kLarge));
  EXPECT_TRUE(third.Resize(kLarge));
  EXPECT_FALSE(fourth.Resize(kLarge));
  EXPECT_EQ(given_up_, 0);
  third = MemoryBudget::Share();
  EXPECT_TRUE(fourth.Resize(kLarge));
  EXPECT_TRUE(fourth.Resize(kSmall));
  EXPECT_TRUE(first.Resize(2 * kLarge));
}

TEST_F(MemoryBudgetTest, LargestBodyMakesRoomForASmallOne) {
  auto large = NewShare();
  auto largest = NewShare();
  ASSERT_TRUE(large.Resize(kLarge));
  ASSERT_TRUE(largest.Resize(kLimit - kLarge));
  auto small = NewShare();
  EXPECT_TRUE(small.Resize(kSmall));
  EXPECT_EQ(given_up_, 1);
  EXPECT_FALSE(largest.Resize(kLimit - kLarge + 1));
  EXPECT_FALSE(largest.Resize(kSmall));
  EXPECT_TRUE(large.Resize(kLarge + 1));
}

TEST_F(MemoryBudgetTest, BodyThatCannotBeGivenUpStays) {
  auto large = budget_.NewShare(nullptr);
  ASSERT_TRUE(large.Resize(kLimit));
  auto small = NewShare();
  EXPECT_FALSE(small.Resize(kSmall));
  large.SetGiveUp([this] { ++given_up_; });
  EXPECT_TRUE(small.Resize(kSmall));
  EXPECT_EQ(given_up_, 1);
}

TEST_F(MemoryBudgetTest, MovedShareHoldsItsBytesOnce) {
  auto share = budget_.NewShare(nullptr);
  ASSERT_TRUE(share.Resize(kLimit));
  auto moved = std::move(share);
  EXPECT_FALSE(NewShare().Resize(1));
  { auto last = std::move(moved); }
  EXPECT_TRUE(NewShare().Resize(kLimit));
}

TEST(MemoryBudgetLifetimeTest, ShareMayOutliveItsBudget) {
  std::optional<MemoryBudget> budget(kLimit);
  auto share = budget->NewShare(nullptr);
  budget.reset();
  EXPECT_TRUE(share.Resize(kSmall));
}

TEST(MemoryBudgetAppendTest, BodyGrowsWithinItsShare) {
  constexpr size_t kBudget = 100'000;
  MemoryBudget budget(kBudget);
  auto share = budget.NewShare(nullptr);
  std::string body;
  while (AppendWithin(share, body, "0123456789")) {
    ASSERT_LE(body.capacity(), kBudget);
  }
  EXPECT_GT(body.size(), kBudget / 2);
  EXPECT_TRUE(body.ends_with("0123456789"));
}

}  // namespace
}  // namespace mangoyoke
