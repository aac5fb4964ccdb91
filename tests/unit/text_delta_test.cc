// Text deltas: what they make is the text, and they are as long as the change.

#include "base/text_delta.h"

#include <gtest/gtest.h>

#include <random>

namespace mangoyoke {
namespace {

constexpr size_t kMaxSize = 1 << 20;
constexpr uint32_t kSeed = 38;
constexpr int kRounds = 2000;

std::string RandomText(std::mt19937& random) {
  static constexpr std::string_view kBytes = "}{a,b}";
  std::string text;
  for (size_t size = random() % 40; text.size() < size;) {
    text.push_back(kBytes[random() % kBytes.size()]);
  }
  return text;
}

TEST(TextDeltaTest, MakesTheTextOfAnyTwo) {
  std::mt19937 random(kSeed);
  for (int i = 0; i < kRounds; ++i) {
    std::string base = RandomText(random);
    std::string text = RandomText(random);
    auto made = ApplyTextDelta(base, MakeTextDelta(base, text), kMaxSize);
    ASSERT_EQ(made, text) << "from " << base;
  }
}

TEST(TextDeltaTest, ChangedObjectCostsItsOwnSize) {
  std::string base = R"({"n":1,"l":[{"a":1},{"a":2},{"a":3}]})";
  std::string text = R"({"n":1,"l":[{"a":1},{"a":9},{"a":3}]})";
  EXPECT_EQ(MakeTextDelta(base, text),
            (TextDelta{TextRange{0, 19}, std::string(",{\"a\":9}"),
                       TextRange{27, 10}}));
}

TEST(TextDeltaTest, RangesOutsideAndLongTextsAreRefused) {
  for (const TextRange& range :
       {TextRange{0, 4}, TextRange{4, 0}, TextRange{3, 1},
        TextRange{1, SIZE_MAX}, TextRange{SIZE_MAX, 2}}) {
    EXPECT_EQ(ApplyTextDelta("abc", TextDelta{range}, kMaxSize), std::nullopt);
  }
  TextDelta twice{TextRange{0, 3}, TextRange{0, 3}};
  EXPECT_EQ(ApplyTextDelta("abc", twice, 6), "abcabc");
  EXPECT_EQ(ApplyTextDelta("abc", twice, 5), std::nullopt);
}

}  // namespace
}  // namespace mangoyoke
