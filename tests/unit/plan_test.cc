// Tests of plans: parsing, error messages with file, line and key, printing,
// diffs.

#include "mangoyoke/plan.h"

#include <gtest/gtest.h>

namespace mangoyoke {
namespace {

constexpr char kText[] = R"([plan]
name = association
[model assistant]
[service bookings]
[route lookup]
service = bookings
method = GET
path = /availability
idempotent = yes
[backend d1]
url = http://127.0.0.1:9001
zone = mid-a
role = decode
model = assistant
)";

TEST(PlanTest, SectionWithoutKeysMeansDefaults) {
  auto plan = std::get<Plan>(ParsePlan(kText, "plan.ini", 3));
  EXPECT_EQ(plan.models.at("assistant").first_token_target, Millis(1500));
  EXPECT_EQ(plan.revision, 3U);
}

TEST(PlanTest, PrintedPlanParsesToAnEqualOne) {
  auto plan = std::get<Plan>(ParsePlan(kText, "plan.ini", 3));
  EXPECT_EQ(std::get<Plan>(ParsePlan(FormatPlan(plan), "again", 3)), plan);
}

TEST(PlanTest, ErrorsNameFileLineKeyAndExpectation) {
  std::string text = kText;
  text += "slots = 20s\ncolour = red\n[backend x]\nzone = a\n[what y]\n";
  auto error = std::get<Error>(ParsePlan(text, "plan.ini", 1));
  EXPECT_EQ(error.code, ErrorCode::kPlanInvalid);
  for (const char* expected :
       {"plan.ini:15: [backend d1] slots: expected a whole number",
        "plan.ini:16: [backend d1] colour: unknown key",
        "plan.ini:17: [backend x] url: expected a value",
        "plan.ini:19: [what]: unknown section"}) {
    EXPECT_NE(error.detail.find(expected), std::string::npos) << error.detail;
  }
}

TEST(PlanTest, ReferencesAreChecked) {
  std::string text = kText;
  text +=
      "[backend d2]\nurl = http://x:1\nzone = a\nrole = decode\n"
      "model = none\n";
  auto error = std::get<Error>(ParsePlan(text, "plan.ini", 1));
  EXPECT_NE(error.detail.find("no [model none]"), std::string::npos);
}

TEST(PlanTest, LongestPrefixDecidesAndUnknownCallsAreNonIdempotent) {
  auto plan = std::get<Plan>(ParsePlan(kText, "plan.ini", 1));
  EXPECT_TRUE(plan.IsIdempotent("bookings", "GET", "/availability/7"));
  EXPECT_FALSE(plan.IsIdempotent("bookings", "POST", "/availability"));
  EXPECT_FALSE(plan.IsIdempotent("bookings", "GET", "/book"));
}

TEST(PlanTest, DiffNamesWhatChanged) {
  auto from = std::get<Plan>(ParsePlan(kText, "a", 1));
  std::string text = kText;
  text += "slots = 10\n[account farm]\n";
  auto to = std::get<Plan>(ParsePlan(text, "b", 2));
  EXPECT_EQ(DiffPlans(from, to),
            (std::vector<std::string>{"+ [account farm]", "~ [backend d1]"}));
}

}  // namespace
}  // namespace mangoyoke
