// Tests of OutcomeTable, tickets, the cell map, ConcurrencyLimit, RetryBudget,
// TokenSequencer and PrefixIndex.

#include <gtest/gtest.h>

#include <set>

#include "mangoyoke/cell_map.h"
#include "mangoyoke/concurrency_limit.h"
#include "mangoyoke/outcome_table.h"
#include "mangoyoke/prefix_index.h"
#include "mangoyoke/rendezvous.h"
#include "mangoyoke/retry_budget.h"
#include "mangoyoke/ticket.h"
#include "mangoyoke/token_sequencer.h"

namespace mangoyoke {
namespace {

TimePoint At(int millis) {
  return TimePoint(Millis(1'000'000 + millis));
}

TEST(OutcomeTableTest, RunsOnceAndAnswersAllWaiters) {
  OutcomeTable table({});
  std::vector<Outcome> outcomes;
  auto record_outcome = [&outcomes](const Outcome& outcome) {
    outcomes.push_back(outcome);
  };
  EXPECT_EQ(table.Begin("k", 1, At(0), record_outcome),
            OutcomeTable::BeginResult::kExecute);
  EXPECT_EQ(table.Begin("k", 1, At(1), record_outcome),
            OutcomeTable::BeginResult::kPending);
  table.Complete("k", ServiceResponse{200, "t", "body"}, At(2));
  EXPECT_EQ(table.Begin("k", 1, At(3), record_outcome),
            OutcomeTable::BeginResult::kPending);
  ASSERT_EQ(outcomes.size(), 2U);
  EXPECT_EQ(outcomes[0], outcomes[1]);
}

TEST(OutcomeTableTest, NotRunFreesTheKeyAndUnknownNeverDoes) {
  OutcomeTable table({});
  auto ignore = [](const Outcome&) {};
  table.Begin("k", 1, At(0), ignore);
  table.Complete("k", Error{ErrorCode::kConnectFailed, ""}, At(1));
  EXPECT_EQ(table.Begin("k", 1, At(2), ignore),
            OutcomeTable::BeginResult::kExecute);
  table.Complete("k", Error{ErrorCode::kBackendTimeout, ""}, At(3));
  EXPECT_EQ(table.Begin("k", 1, At(4), ignore),
            OutcomeTable::BeginResult::kPending);
}

TEST(OutcomeTableTest, FullTableRefusesWithNotRun) {
  OutcomeTableOptions options;
  options.max_keys = 1;
  OutcomeTable table(options);
  table.Begin("a", 1, At(0), [](const Outcome&) {});
  Outcome refused;
  table.Begin("b", 1, At(0),
              [&](const Outcome& outcome) { refused = outcome; });
  EXPECT_EQ(std::get<Error>(refused).code, ErrorCode::kOutcomeTableFull);
  table.Complete("a", ServiceResponse{}, At(0));
  table.Expire(At(901'000));
  EXPECT_EQ(table.size(), 0U);
}

TEST(TicketTest, PrintsAndParses) {
  Ticket ticket{"entry-3", 1796369714036, 1796369714};
  EXPECT_EQ(ParseTicketFromKey(FormatTicket(ticket) + ":van:7"), ticket);
  for (const char* bad : {"van-7", "mk1.a.b.c:x", "mk1.a.1:x", "mk2.a.1.2:x",
                          "mk1..1.2:x", ":", ""}) {
    EXPECT_FALSE(ParseTicketFromKey(bad)) << bad;
  }
}

TEST(CellMapTest, LargePoolsAreSplitAndMovesAreFew) {
  Plan plan;
  plan.models["m"].id = "m";
  for (int i = 0; i < 520; ++i) {
    Backend backend;
    backend.id = "b" + std::to_string(i);
    backend.role = i % 2 == 0 ? BackendRole::kPrefill : BackendRole::kDecode;
    backend.model = "m";
    backend.region = "r";
    plan.backends[backend.id] = backend;
  }
  auto cells = BuildCells(plan);
  EXPECT_EQ(cells.size(), 17U);
  for (const auto& [id, cell] : cells) {
    EXPECT_LE(cell.backends.size(), kMaxCellBackends + 2);
  }
  std::vector<MemberRecord> members;
  for (int i = 0; i < 16; ++i) {
    MemberRecord record;
    record.id = "i" + std::to_string(i);
    record.region = "r";
    members.push_back(record);
  }
  auto survivors = members;
  survivors.pop_back();
  for (const auto& [id, cell] : cells) {
    auto before = RankAllocators(cell, members);
    auto after = RankAllocators(cell, survivors);
    if (before[0] != "i15") {
      EXPECT_EQ(before[0], after[0]);
    }
  }
}

TEST(CellMapTest, LeavingAndSuspectInstancesAllocateOnlyAsLastResort) {
  Cell cell{"r/m/0", "r", "m", {}};
  MemberRecord leaving;
  leaving.id = "leaving";
  leaving.leaving = true;
  MemberRecord suspect;
  suspect.id = "suspect";
  suspect.state = MemberState::kSuspect;
  MemberRecord other;
  other.id = "elsewhere";
  EXPECT_EQ(RankAllocators(cell, {leaving, suspect, other}),
            std::vector<InstanceId>{"elsewhere"});
  EXPECT_EQ(RankAllocators(cell, {leaving, suspect}).size(), 2U);
}

TEST(ConcurrencyLimitTest, ShrinksOnFailuresAndGrowsBack) {
  ConcurrencyLimit limit(64);
  for (int i = 0; i < 10; ++i) {
    ASSERT_TRUE(limit.TryAcquire());
    limit.Release(Millis(5000), false, At(i * 300));
  }
  EXPECT_LT(limit.limit(), 16);
  int64_t low = limit.limit();
  for (int i = 0; i < 2000; ++i) {
    ASSERT_TRUE(limit.TryAcquire());
    limit.Release(Millis(5), true, At(4000 + i));
  }
  EXPECT_GT(limit.limit(), low * 2);
  EXPECT_EQ(limit.in_use(), 0);
}

TEST(RetryBudgetTest, RetriesStayAFixedShare) {
  RetryBudget budget(0.1, 5);
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.OnRequest();
    retries += budget.TryAcquire() ? 1 : 0;
  }
  EXPECT_LE(retries, 105);
  EXPECT_GE(retries, 95);
}

TEST(TokenSequencerTest, OrdersAndDropsRepeats) {
  TokenSequencer sequencer(2);
  using Tokens = std::vector<std::string>;
  EXPECT_EQ(sequencer.Push(1, "old"), Tokens{});
  EXPECT_EQ(sequencer.Push(3, "d"), Tokens{});
  EXPECT_EQ(sequencer.Push(3, "again"), Tokens{});
  EXPECT_EQ(sequencer.Push(2, "c"), (Tokens{"c", "d"}));
  EXPECT_EQ(sequencer.next(), 4);
}

TEST(PrefixIndexTest, HashesCoverWholePrefixes) {
  std::string first(8000, 'a');
  std::string second = "b" + std::string(7999, 'a');
  auto one = PrefixHashes(first);
  auto two = PrefixHashes(second);
  ASSERT_EQ(one.size(), 2U);
  EXPECT_NE(one[0], two[0]);
  EXPECT_NE(one[1], two[1]);
  PrefixIndex index(2);
  index.Add("p", one[0]);
  index.Add("p", one[1]);
  EXPECT_EQ(index.HitTokens("p", one), 2000);
  index.Add("p", two[0]);  // Evicts the oldest block.
  EXPECT_EQ(index.HitTokens("p", one), 0);
}

}  // namespace
}  // namespace mangoyoke
