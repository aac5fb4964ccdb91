// Compares placement policies on a cluster of 9 instances, 12 engines and 3
// service servers. Prints a table: goodput (share of completions within both
// latency targets), wasted prefill work, plain calls at peak load, and tail
// latency with slow servers.

#include <cstdio>
#include <cxxopts.hpp>
#include <thread>

#include "cluster.h"

namespace mangoyoke::testing {
namespace {

// One row of the table: a placement policy under a load.
struct Scenario {
  std::string name;
  std::string policy;
  std::string load;      // Flags of the load generator.
  int slow_engines = 0;  // Engines of each role slowed down five times.
};

// The results of one scenario. Latencies are in milliseconds.
struct Row {
  double goodput = 0;    // Share of sent completions within both targets.
  double complete = 0;   // Share of sent completions that completed.
  double first_p50 = 0;  // Time to first token.
  double first_p95 = 0;
  double first_p99 = 0;
  double wasted =
      0;  // Share of the prefill work that was cancelled or expired.
  double bookings_confirmed = 0;  // Share of sent bookings.
  double booking_p99 = 0;
  std::string ends;  // Completions counted by outcome, as JSON.
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
  for (int i = 0; i < scenario.slow_engines; ++i) {
    for (const char* role : {"p", "d"}) {
      cluster.SetBehavior(cluster.EngineUrl(role + std::to_string(i)),
                          {{"slow", 5.0}});
    }
  }
  Json report = cluster.RunLoad(scenario.load);
  const Json& completions = report["completions"];
  const Json& bookings = report["bookings"];
  double sent = completions.value("sent", 1.0);
  Row row;
  row.goodput = completions.value("in_target", 0.0) / sent;
  row.complete = completions["ends"].value("complete", 0.0) / sent;
  row.first_p50 = completions["first_token_ms"].value("p50", 0.0);
  row.first_p95 = completions["first_token_ms"].value("p95", 0.0);
  row.first_p99 = completions["first_token_ms"].value("p99", 0.0);
  row.wasted = cluster.SumEngineStats("prefill_ms_wasted") /
               std::max(1.0, cluster.SumEngineStats("prefill_ms"));
  row.bookings_confirmed = bookings["ends"].value("confirmed", 0.0) /
                           std::max(1.0, bookings.value("sent", 1.0));
  row.booking_p99 = bookings["ms"].value("p99", 0.0);
  row.ends = completions["ends"].dump();
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
  std::string scenario_filter;
  parser.add_options()("only", "one scenario: steady, crest or stragglers",
                       cxxopts::value(scenario_filter));
  parser.parse(argc, argv);
  const std::string common_flags =
      "--output-tokens 200 --document-tokens 2500 --documents 12 --bookings 20 "
      "--seed 11 ";
  const std::string steady = common_flags + "--seconds 24 --rate 14";
  const std::string peak = common_flags + "--seconds 18 --rate 14 --crest 3";
  const std::vector<Scenario> scenarios = {
      {"steady", "least_loaded", steady, 0},
      {"steady", "reserving", steady, 0},
      {"crest", "least_loaded", peak, 0},
      {"crest", "reserving", peak, 0},
      {"stragglers", "reserving", steady, 1},
      {"stragglers", "least_loaded", steady, 1},
  };
  std::printf("%-12s %-13s %7s %8s %7s %7s %7s %7s %8s %7s  %s\n", "scenario",
              "policy", "goodput", "complete", "ttft50", "ttft95", "ttft99",
              "wasted", "booked", "book99", "ends");
  for (const Scenario& scenario : scenarios) {
    if (scenario_filter.empty() || scenario_filter == scenario.name) {
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
