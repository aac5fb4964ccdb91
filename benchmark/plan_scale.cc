// Measures the cost of a plan change on one instance, for plans of up to 12000
// servers: size of text and delta, time to apply the delta, memory.

#include <cstdio>

#include "base/metrics.h"
#include "mangoyoke/cell_map.h"
#include "mangoyoke/clock.h"
#include "mangoyoke/plan_builder.h"
#include "mangoyoke/plan_delta.h"

namespace mangoyoke {
namespace {

constexpr int kRounds = 5;

// A plan with `servers` backend servers, 5 models and 640 client accounts.
Plan BuildPlan(int servers) {
  PlanBuilder builder("target");
  for (int model = 0; model < 5; ++model) {
    builder.AddModel("model" + std::to_string(model));
  }
  for (int account = 0; account < 640; ++account) {
    builder.AddAccount("account" + std::to_string(account));
  }
  for (int i = 0; i < servers; ++i) {
    std::string name = "backend" + std::to_string(i);
    std::string url = "http://10.1.2.3:" + std::to_string(1000 + i);
    std::string zone = "zone" + std::to_string(i % 23);
    std::string model = "model" + std::to_string(i % 5);
    Backend& backend = i % 2 == 0 ? builder.AddPrefill(name, url, zone, model)
                                  : builder.AddDecode(name, url, zone, model);
    backend.region = "region" + std::to_string(i % 9);
  }
  return builder.plan();
}

// Marks one server as leaving and prints what this change costs.
void Measure(int servers) {
  double memory_before = static_cast<double>(ResidentBytes());
  Plan plan = BuildPlan(servers);
  PlanSections sections = SplitSections(FormatPlan(plan));
  double plan_memory = static_cast<double>(ResidentBytes()) - memory_before;
  Plan changed = plan;
  changed.backends["backend7"].leaving = true;
  PlanDelta delta = MakeDelta(sections, SplitSections(FormatPlan(changed)), 2);
  size_t delta_bytes = 0;
  for (const auto& [header, body] : delta.changed) {
    delta_bytes += header.size() + body.size();
  }
  std::string text = JoinSections(sections);
  TimePoint begin = SteadyClock::now();
  size_t cells = 0;
  for (int i = 0; i < kRounds; ++i) {
    auto updated = ApplyDelta(plan, delta);
    ApplyDelta(sections, delta);
    cells = BuildCells(std::get<Plan>(updated)).size();
  }
  double millis = ToMillis(SteadyClock::now() - begin) / kRounds;
  std::printf("%8d %9zu %10.2f %10zu %12.1f %10.1f\n", servers, cells,
              static_cast<double>(text.size()) / 1e6, delta_bytes, millis,
              plan_memory / 1e6);
}

}  // namespace
}  // namespace mangoyoke

int main() {
  std::printf("%8s %9s %10s %10s %12s %10s\n", "servers", "cells", "text_MB",
              "delta_B", "apply_ms", "memory_MB");
  for (int servers : {12, 120, 1200, 12000}) {
    mangoyoke::Measure(servers);
  }
  return 0;
}
