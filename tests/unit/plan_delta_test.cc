// Tests of splitting plans into sections and of deltas between them.

#include "mangoyoke/plan_delta.h"

#include <gtest/gtest.h>

namespace mangoyoke {
namespace {

PlanSections Sections(const std::string& extra) {
  std::string text = "[plan]\nname = p\n[model m]\n" + extra;
  return SplitSections(FormatPlan(std::get<Plan>(ParsePlan(text, "p", 1))));
}

TEST(PlanDeltaTest, AppliedDeltaGivesTheOtherPlan) {
  PlanSections from = Sections("[account a]\n[account b]\nweight = 2\n");
  PlanSections to = Sections("[account b]\nweight = 3\n[account c]\n");
  PlanDelta delta = MakeDelta(from, to, 2);
  EXPECT_EQ(delta.removed, std::vector<std::string>{"account a"});
  EXPECT_EQ(delta.changed.size(), 2U);
  auto plan = std::get<Plan>(ParsePlan(JoinSections(from), "p", 1));
  auto expected = std::get<Plan>(ParsePlan(JoinSections(to), "p", 2));
  EXPECT_EQ(std::get<Plan>(ApplyDelta(plan, delta)), expected);
  ApplyDelta(from, delta);
  EXPECT_EQ(from, to);
}

TEST(PlanDeltaTest, DeltaThatBreaksAReferenceIsAnError) {
  auto plan = std::get<Plan>(ParsePlan(
      "[plan]\nname = p\n[service s]\n[route r]\nservice = s\npath = /\n", "p",
      1));
  PlanDelta delta{2, {}, {"service s"}};
  EXPECT_EQ(std::get<Error>(ApplyDelta(plan, delta)).code,
            ErrorCode::kPlanInvalid);
}

TEST(PlanDeltaTest, JoinedSectionsParseToTheSamePlan) {
  PlanSections sections = Sections("[account a]\n");
  auto plan = std::get<Plan>(ParsePlan(JoinSections(sections), "p", 1));
  EXPECT_EQ(SplitSections(FormatPlan(plan)), sections);
}

}  // namespace
}  // namespace mangoyoke
