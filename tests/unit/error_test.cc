// Checks that the table of result codes and the page docs/result-codes.md have
// the same rows.

#include "mangoyoke/error.h"

#include <gtest/gtest.h>

#include <fstream>
#include <set>
#include <sstream>

namespace mangoyoke {
namespace {

TEST(ErrorTest, EveryRowIsOnThePage) {
  std::ifstream page(MANGOYOKE_SOURCE_DIR "/docs/result-codes.md");
  ASSERT_TRUE(page);
  std::set<std::string> rows;
  for (std::string line; std::getline(page, line);) {
    if (line.starts_with("| ") && std::isdigit(line[2]) != 0) {
      rows.insert(line);
    }
  }
  for (const ErrorInfo& info : ErrorTable()) {
    std::ostringstream row;
    row << "| " << static_cast<int>(info.code) << " | " << info.name << " | "
        << info.http_status << " | "
        << (info.execution == Execution::kNotExecuted ? "not run" : "unknown")
        << " | " << info.message << " |";
    EXPECT_EQ(rows.erase(row.str()), 1U) << row.str();
  }
  EXPECT_TRUE(rows.empty()) << *rows.begin();
}

}  // namespace
}  // namespace mangoyoke
