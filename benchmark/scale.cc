// Measures how the cost of the control traffic of one instance grows with the
// number of instances, and how long a plan takes to become active on all of
// them. docs/CAPACITY.md uses the slopes.

#include <cstdio>
#include <cxxopts.hpp>
#include <thread>

#include "cluster.h"

namespace mangoyoke::testing {
namespace {

// Until connections opened for joining are closed.
constexpr Millis kSettleTime{11'000};
constexpr Millis kMeasurementWindow{6000};

// Metrics per instance: the mean over all instances.
struct Sample {
  double cpu_ms = 0;
  double peer_bytes = 0;
  double resident_bytes = 0;
};

Sample Measure(Cluster& cluster, int instances) {
  Sample sum;
  for (int i = 0; i < instances; ++i) {
    sum.cpu_ms += cluster.ReadCounter(i, "mangoyoke_process_cpu_ms");
    sum.peer_bytes += cluster.ReadCounter(i, "mangoyoke_peer_bytes");
    sum.resident_bytes += cluster.ReadCounter(i, "mangoyoke_resident_bytes");
  }
  return Sample{sum.cpu_ms / instances, sum.peer_bytes / instances,
                sum.resident_bytes / instances};
}

// Measures one cluster size and prints a row.
void RunSize(int instances, int zones, int engines) {
  ClusterOptions options;
  options.instances = instances;
  options.zones = zones;
  options.prefill_engines = engines / 2;
  options.decode_engines = engines / 2;
  options.service_servers = 0;
  options.instance_settings =
      "[log]\nlevel = warning\n[limits]\n"
      "traffic_threads = 1\n";
  Cluster cluster(options);
  std::this_thread::sleep_for(kSettleTime);
  auto begin = SteadyClock::now();
  Sample before = Measure(cluster, instances);
  std::this_thread::sleep_for(kMeasurementWindow);
  Sample after = Measure(cluster, instances);
  double seconds = ToMillis(SteadyClock::now() - begin) / 1000;
  auto submitted = SteadyClock::now();
  cluster.SubmitPlan(0, cluster.PlanText("[account x]\n"), 1, "scale");
  bool active_everywhere =
      Eventually([&] { return cluster.IsActiveEverywhere(2); });
  double activation_ms = ToMillis(SteadyClock::now() - submitted);
  double false_deaths = 0;
  for (int i = 0; i < instances; ++i) {
    false_deaths += cluster.ReadCounter(i, "mangoyoke_member_deaths_total");
  }
  // Only the calling side counts the bytes of an exchange; the called side has
  // the same traffic, so an instance's traffic is twice its own count.
  std::printf("%9d %6d %8d %9.2f %10.2f %8.1f %10.0f %13.0f\n", instances,
              zones, engines, (after.cpu_ms - before.cpu_ms) / seconds / 10,
              2 * (after.peer_bytes - before.peer_bytes) / seconds / 1000,
              after.resident_bytes / 1e6,
              active_everywhere ? activation_ms : -1, false_deaths);
  std::fflush(stdout);
}

int Main(int argc, char** argv) {
  cxxopts::Options parser("scale", "Control cost by number of instances");
  int max_instances = 96;
  int min_instances = 3;
  parser.add_options()("most", "largest number of instances",
                       cxxopts::value(max_instances))(
      "least", "smallest number of instances", cxxopts::value(min_instances));
  parser.parse(argc, argv);
  std::printf("%9s %6s %8s %9s %10s %8s %10s %13s\n", "instances", "zones",
              "engines", "cpu_pct", "kB_per_s", "rss_MB", "spread_ms",
              "false_deaths");
  struct Size {
    int instances;
    int zones;
    int engines;
  };
  for (const Size& size :
       {Size{3, 3, 0}, Size{9, 3, 0}, Size{9, 3, 12}, Size{24, 3, 0},
        Size{48, 6, 0}, Size{96, 6, 0}, Size{96, 12, 0}}) {
    if (size.instances >= min_instances && size.instances <= max_instances) {
      RunSize(size.instances, size.zones, size.engines);
    }
  }
  return 0;
}

}  // namespace
}  // namespace mangoyoke::testing

int main(int argc, char** argv) {
  return mangoyoke::testing::Main(argc, argv);
}
