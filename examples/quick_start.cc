// The README's example: which instance allocates an engine pool.

#include <iostream>

#include "mangoyoke/cell_map.h"
#include "mangoyoke/plan_builder.h"

int main() {
  mangoyoke::PlanBuilder plan("demo");
  plan.AddModel("assistant");
  plan.AddPrefill("p1", "http://127.0.0.1:9001", "mid-a", "assistant");
  plan.AddDecode("d1", "http://127.0.0.1:9002", "mid-b", "assistant");
  mangoyoke::MemberRecord entry{.id = "entry1", .zone = "mid-a"};
  for (const auto& [id, cell] : mangoyoke::BuildCells(plan.plan())) {
    std::cout << id << " -> " << RankAllocators(cell, {entry}).front() << "\n";
  }
}
