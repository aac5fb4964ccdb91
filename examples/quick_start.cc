// The example in the README: finds which instance allocates the servers of each
// cell of a plan.

#include <iostream>

#include "mangoyoke/cell_map.h"
#include "mangoyoke/plan_builder.h"

int main() {
  mangoyoke::PlanBuilder plan("demo");
  plan.AddModel("assistant");
  plan.AddPrefill("p1", "http://127.0.0.1:9001", "mid-a", "assistant");
  plan.AddDecode("d1", "http://127.0.0.1:9002", "mid-b", "assistant");
  mangoyoke::MemberRecord instance{.id = "entry1", .zone = "mid-a"};
  for (const auto& [id, cell] : mangoyoke::BuildCells(plan.plan())) {
    std::cout << id << " -> " << RankAllocators(cell, {instance}).front()
              << "\n";
  }
}
