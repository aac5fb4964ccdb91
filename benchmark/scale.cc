// Measures how the control cost of one instance grows with the number of
// instances, and how long a plan takes to be in force everywhere. The slopes
// are used in docs/CAPACITY.md.

#include <cstdio>
#include <cxxopts.hpp>
#include <thread>

#include "cluster.h"

namespace mangoyoke::testing {
namespace {

constexpr Millis kSettle{11'000};  // Until connections of joining are closed.
constexpr Millis kWindow{6000};

struct Sample {
  double cpu_ms = 0;
  double peer_bytes = 0;
  double resident_bytes = 0;
};

Sample Measure(Cluster& cluster, int entries) {
  Sample sum;
  for (int i = 0; i < entries; ++i) {
    sum.cpu_ms += cluster.ReadCounter(i, "mangoyoke_process_cpu_ms");
    sum.peer_bytes += cluster.ReadCounter(i, "mangoyoke_peer_bytes");
    sum.resident_bytes += cluster.ReadCounter(i, "mangoyoke_resident_bytes");
  }
  return Sample{sum.cpu_ms / entries, sum.peer_bytes / entries,
                sum.resident_bytes / entries};
}

void RunSize(int entries, int zones, int engines) {
  ClusterOptions options;
  options.instances = entries;
  options.zones = zones;
  options.prefill_engines = engines / 2;
  options.decode_engines = engines / 2;
  options.service_servers = 0;
  options.instance_settings =
      "[log]\nlevel = warning\n[limits]\n"
      "traffic_threads = 1\n";
  Cluster cluster(options);
  std::this_thread::sleep_for(kSettle);
  auto begin = SteadyClock::now();
  Sample before = Measure(cluster, entries);
  std::this_thread::sleep_for(kWindow);
  Sample after = Measure(cluster, entries);
  double seconds = ToMillis(SteadyClock::now() - begin) / 1000;
  auto submitted = SteadyClock::now();
  cluster.SubmitPlan(0, cluster.PlanText("[account x]\n"), 1, "scale");
  bool everywhere = Eventually([&] { return cluster.IsActiveEverywhere(2); });
  double spread_ms = ToMillis(SteadyClock::now() - submitted);
  double deaths = 0;
  for (int i = 0; i < entries; ++i) {
    deaths += cluster.ReadCounter(i, "mangoyoke_member_deaths_total");
  }
  // Each exchange is counted by the side that calls; the other side carries
  // as much again, so a node's traffic is twice its own count.
  std::printf("%9d %6d %8d %9.2f %10.2f %8.1f %10.0f %13.0f\n", entries, zones,
              engines, (after.cpu_ms - before.cpu_ms) / seconds / 10,
              2 * (after.peer_bytes - before.peer_bytes) / seconds / 1000,
              after.resident_bytes / 1e6, everywhere ? spread_ms : -1, deaths);
  std::fflush(stdout);
}

int Main(int argc, char** argv) {
  cxxopts::Options parser("scale", "Control cost by number of instances");
  int most = 96;
  int least = 3;
  parser.add_options()("most", "largest number of instances",
                       cxxopts::value(most))(
      "least", "smallest number of instances", cxxopts::value(least));
  parser.parse(argc, argv);
  std::printf("%9s %6s %8s %9s %10s %8s %10s %13s\n", "instances", "zones",
              "engines", "cpu_pct", "kB_per_s", "rss_MB", "spread_ms",
              "false_deaths");
  struct Size {
    int entries;
    int zones;
    int engines;
  };
  for (const Size& size :
       {Size{3, 3, 0}, Size{9, 3, 0}, Size{9, 3, 12}, Size{24, 3, 0},
        Size{48, 6, 0}, Size{96, 6, 0}, Size{96, 12, 0}}) {
    if (size.entries >= least && size.entries <= most) {
      RunSize(size.entries, size.zones, size.engines);
    }
  }
  return 0;
}

}  // namespace
}  // namespace mangoyoke::testing

int main(int argc, char** argv) {
  return mangoyoke::testing::Main(argc, argv);
}
