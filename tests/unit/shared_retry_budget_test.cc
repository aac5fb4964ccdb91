// Tests of the retry budget that all instances share: together they must stay
// within the bound of a window, whichever reports arrive.

#include "gateway/core/shared_retry_budget.h"

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace mangoyoke {
namespace {

const TimePoint kStart = TimePoint() + Seconds(1000);
// Earlier than any budget window that the tests use.
const TimePoint kLongAgo = kStart - Seconds(500);

// Ids of the instances from `first` to before `end`, without `own`.
std::set<InstanceId> Peers(size_t own, size_t first, size_t end) {
  std::set<InstanceId> ids;
  for (size_t i = first; i < end; ++i) {
    if (i != own) {
      ids.insert(std::to_string(i));
    }
  }
  return ids;
}

// However many of them receive the reports of the others.
TEST(SharedRetryBudgetTest, InstancesTogetherStayWithinTheBound) {
  constexpr size_t kInstances = 9;
  constexpr int kRequests = 20;
  for (size_t receiving = 0; receiving <= kInstances; ++receiving) {
    SharedRetryBudgetOptions options;
    std::vector<SharedRetryBudget> budgets(
        kInstances, SharedRetryBudget(options, kLongAgo));
    for (size_t i = 0; i < kInstances; ++i) {
      budgets[i].SetInstances(kInstances, Peers(i, 0, kInstances), kStart);
      for (int request = 0; request < kRequests; ++request) {
        budgets[i].OnRequest("s", kStart);
      }
    }
    int retries = 0;
    for (int round = 0; round < 200; ++round) {
      TimePoint now = kStart + Millis(10 * round);
      // Greedy order: each instance takes a retry if it may, before the next.
      for (size_t i = 0; i < kInstances; ++i) {
        retries += budgets[i].TryAcquire("s", now) ? 1 : 0;
        for (size_t j = 0; j < receiving; ++j) {
          budgets[j].UpdatePeerCounts(std::to_string(i), 1,
                                      budgets[i].LocalCounts(now), now);
        }
      }
    }
    double bound = options.share * kRequests * kInstances + options.fixed;
    EXPECT_LE(retries, bound) << receiving << " instances receive reports";
    EXPECT_GT(retries, bound / 4) << receiving << " instances receive reports";
  }
}

// Instances report to their own cell only. The shared part has to be usable all
// the same, and all cells together stay within the bound.
TEST(SharedRetryBudgetTest, CellsTogetherStayWithinTheBound) {
  constexpr size_t kInstances = 48;
  constexpr size_t kCellSize = 12;
  constexpr int kRequests = 2;
  SharedRetryBudgetOptions options;
  options.fixed = 300;
  std::vector<SharedRetryBudget> budgets(kInstances,
                                         SharedRetryBudget(options, kLongAgo));
  for (size_t i = 0; i < kInstances; ++i) {
    size_t first = i / kCellSize * kCellSize;
    budgets[i].SetInstances(kInstances, Peers(i, first, first + kCellSize),
                            kStart);
    for (int request = 0; request < kRequests; ++request) {
      budgets[i].OnRequest("s", kStart);
    }
  }
  int retries = 0;
  for (int round = 0; round < 100; ++round) {
    TimePoint now = kStart + Millis(10 * round);
    for (size_t i = 0; i < kInstances; ++i) {
      retries += budgets[i].TryAcquire("s", now) ? 1 : 0;
      size_t first = i / kCellSize * kCellSize;
      for (size_t j = first; j < first + kCellSize; ++j) {
        if (j != i) {
          budgets[j].UpdatePeerCounts(std::to_string(i), 1,
                                      budgets[i].LocalCounts(now), now);
        }
      }
    }
  }
  double bound = options.share * kRequests * kInstances + options.fixed;
  EXPECT_LE(retries, bound);
  // The local parts alone are two retries for each instance.
  EXPECT_GT(retries, 3 * static_cast<int>(kInstances));
}

// Instances die one after the other. The retries that they used must count for
// the rest of the window, or the survivors exceed the bound.
TEST(SharedRetryBudgetTest, WhatDeadInstancesUsedStillCounts) {
  constexpr size_t kInstances = 3;
  SharedRetryBudgetOptions options;
  std::vector<SharedRetryBudget> budgets(kInstances,
                                         SharedRetryBudget(options, kLongAgo));
  int retries = 0;
  for (size_t first_alive = 0; first_alive < kInstances; ++first_alive) {
    TimePoint now = kStart + Seconds(3) * first_alive;
    for (size_t i = first_alive; i < kInstances; ++i) {
      budgets[i].SetInstances(kInstances - first_alive,
                              Peers(i, first_alive, kInstances), now);
      for (size_t j = 0; j < kInstances; ++j) {
        if (j >= first_alive && j != i) {
          budgets[i].UpdatePeerCounts(std::to_string(j), 1,
                                      budgets[j].LocalCounts(now), now);
        }
      }
    }
    while (budgets[first_alive].TryAcquire("s", now)) {
      ++retries;
    }
    for (size_t i = first_alive + 1; i < kInstances; ++i) {
      budgets[i].UpdatePeerCounts(std::to_string(first_alive), 1,
                                  budgets[first_alive].LocalCounts(now), now);
    }
  }
  EXPECT_LE(retries, options.fixed);
}

// All processes are killed and restart. The retries of the first processes
// still count, but no process knows them any more.
TEST(SharedRetryBudgetTest,
     ProcessesThatStartAgainDoNotShareTheFixedPartAgain) {
  constexpr size_t kInstances = 4;
  constexpr int kRequests = 50;
  SharedRetryBudgetOptions options;
  int retries = 0;
  for (TimePoint started : {kLongAgo, kStart + Seconds(5)}) {
    TimePoint now = std::max(started, kStart) + Seconds(1);
    std::vector<SharedRetryBudget> budgets(kInstances,
                                           SharedRetryBudget(options, started));
    for (size_t i = 0; i < kInstances; ++i) {
      budgets[i].SetInstances(kInstances, Peers(i, 0, kInstances), now);
      for (int request = 0; request < kRequests; ++request) {
        budgets[i].OnRequest("s", now);
      }
    }
    for (size_t i = 0; i < kInstances; ++i) {
      for (size_t j = 0; j < kInstances; ++j) {
        if (j != i) {
          budgets[i].UpdatePeerCounts(std::to_string(j), 1,
                                      budgets[j].LocalCounts(now), now);
        }
      }
      while (budgets[i].TryAcquire("s", now)) {
        ++retries;
      }
    }
  }
  EXPECT_LE(retries,
            options.share * kRequests * kInstances * 2 + options.fixed);
}

TEST(SharedRetryBudgetTest, WhatAReplacedProcessUsedStillCounts) {
  SharedRetryBudgetOptions options;
  SharedRetryBudget budget(options, kLongAgo);
  budget.SetInstances(2, {"other"}, kStart);
  std::map<ServiceId, RetryCounts> used{{"s", RetryCounts{0, 50}}};
  budget.UpdatePeerCounts("other", 1, used, kStart);
  TimePoint now = kStart + Millis(500);
  budget.UpdatePeerCounts("other", 2, {}, now);
  int retries = 0;
  while (budget.TryAcquire("s", now)) {
    ++retries;
  }
  // Only the local part is left: the replaced process used up the shared part.
  EXPECT_LE(retries, options.fixed / 2 / 2);
}

TEST(SharedRetryBudgetTest, WindowSlides) {
  SharedRetryBudgetOptions options;
  options.fixed = 10;
  SharedRetryBudget budget(options, kLongAgo);
  int first = 0;
  while (budget.TryAcquire("s", kStart)) {
    ++first;
  }
  EXPECT_FALSE(budget.TryAcquire("s", kStart + Seconds(10)));
  EXPECT_TRUE(budget.TryAcquire("s", kStart + Millis(10'001)));
  EXPECT_GT(first, 0);
}

}  // namespace
}  // namespace mangoyoke
