// Compares placement policies in one run, at the Association's size: goodput
// within both latency targets, wasted prefill, service at the crest, tail
// latency with stragglers. Prints a table.

#include <cstdio>
#include <cxxopts.hpp>
#include <thread>

#include "cluster.h"

namespace mangoyoke::testing {
namespace {

struct Scenario {
  std::string name;
  std::string policy;
  std::string load;
  int slowed = 0;  // Engines of each role that run five times slower.
};

struct Row {
  double goodput = 0;  // Share of sent completions within both targets.
  double complete = 0;
  double first_p50 = 0;
  double first_p95 = 0;
  double first_p99 = 0;
  double wasted = 0;  // Share of prefill work.
  double bookings_confirmed = 0;
  double booking_p99 = 0;
  std::string ends;
};

Row RunScenario(const Scenario& scenario) {
  ClusterOptions options;
  options.instances = 9;
  options.prefill_engines = 6;
  options.decode_engines = 6;
  options.service_servers = 3;
  options.instance_settings =
      "[placement]\npolicy = " + scenario.policy + "\n[log]\nlevel = warning\n";
  Cluster cluster(options);
  for (int i = 0; i < scenario.slowed; ++i) {
    for (const char* role : {"p", "d"}) {
      cluster.SetBehavior(cluster.EngineUrl(role + std::to_string(i)),
                          {{"slow", 5.0}});
    }
  }
  Json report = cluster.RunLoad(scenario.load);
  const Json& stories = report["completions"];
  const Json& bookings = report["bookings"];
  double sent = stories.value("sent", 1.0);
  Row row;
  row.goodput = stories.value("in_target", 0.0) / sent;
  row.complete = stories["ends"].value("complete", 0.0) / sent;
  row.first_p50 = stories["first_token_ms"].value("p50", 0.0);
  row.first_p95 = stories["first_token_ms"].value("p95", 0.0);
  row.first_p99 = stories["first_token_ms"].value("p99", 0.0);
  row.wasted = cluster.SumEngineStats("prefill_ms_wasted") /
               std::max(1.0, cluster.SumEngineStats("prefill_ms"));
  row.bookings_confirmed = bookings["ends"].value("confirmed", 0.0) /
                           std::max(1.0, bookings.value("sent", 1.0));
  row.booking_p99 = bookings["ms"].value("p99", 0.0);
  row.ends = stories["ends"].dump();
  return row;
}

void Print(const Scenario& scenario, const Row& row) {
  std::printf(
      "%-12s %-13s %7.3f %8.3f %7.0f %7.0f %7.0f %7.4f %8.3f %7.1f  %s\n",
      scenario.name.c_str(), scenario.policy.c_str(), row.goodput, row.complete,
      row.first_p50, row.first_p95, row.first_p99, row.wasted,
      row.bookings_confirmed, row.booking_p99, row.ends.c_str());
  std::fflush(stdout);
}

int Main(int argc, char** argv) {
  cxxopts::Options parser("placement", "Compares placement policies");
  std::string only;
  parser.add_options()("only", "one scenario: steady, crest or stragglers",
                       cxxopts::value(only));
  parser.parse(argc, argv);
  const std::string base =
      "--output-tokens 200 --document-tokens 2500 --documents 12 --bookings 20 "
      "--seed 11 ";
  const std::string steady = base + "--seconds 24 --rate 14";
  const std::string crest = base + "--seconds 18 --rate 14 --crest 3";
  const std::vector<Scenario> scenarios = {
      {"steady", "least_loaded", steady, 0},
      {"steady", "reserving", steady, 0},
      {"crest", "least_loaded", crest, 0},
      {"crest", "reserving", crest, 0},
      {"stragglers", "reserving", steady, 1},
      {"stragglers", "least_loaded", steady, 1},
  };
  std::printf("%-12s %-13s %7s %8s %7s %7s %7s %7s %8s %7s  %s\n", "scenario",
              "policy", "goodput", "complete", "ttft50", "ttft95", "ttft99",
              "wasted", "booked", "book99", "ends");
  for (const Scenario& scenario : scenarios) {
    if (only.empty() || only == scenario.name) {
      Print(scenario, RunScenario(scenario));
    }
  }
  return 0;
}

}  // namespace
}  // namespace mangoyoke::testing

int main(int argc, char** argv) {
  return mangoyoke::testing::Main(argc, argv);
}
