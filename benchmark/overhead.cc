// Measures the overhead of one instance: added latency of a plain call, CPU
// time per relayed token, and memory per open stream.

#include <algorithm>
#include <cstdio>
#include <thread>

#include "cluster.h"

namespace mangoyoke::testing {
namespace {

constexpr int kCallCount = 1500;

// Times `kCallCount` sequential calls. Returns milliseconds in ascending order.
std::vector<double> TimeCalls(const std::string& url) {
  std::vector<double> millis;
  for (int i = 0; i < kCallCount; ++i) {
    auto begin = SteadyClock::now();
    SendHttpRequest("GET", url);
    millis.push_back(ToMillis(SteadyClock::now() - begin));
  }
  std::sort(millis.begin(), millis.end());
  return millis;
}

// The value at `fraction` (0 to 1) of sorted values.
double Quantile(const std::vector<double>& sorted, double fraction) {
  return sorted[static_cast<size_t>(fraction *
                                    static_cast<double>(sorted.size() - 1))];
}

// Compares direct calls to a service with calls through the instance, while the
// instance also relays token streams.
void CompareLatency(Cluster& cluster) {
  std::vector<double> direct;
  std::vector<double> routed;
  cluster.RunLoad("--seconds 14 --rate 12 --output-tokens 100 --seed 2", [&] {
    std::this_thread::sleep_for(Millis(1500));
    direct = TimeCalls(cluster.ServiceUrl(0) + "/availability");
    routed = TimeCalls("http://" + cluster.CallerAddress(0) +
                       "/services/bookings/availability");
  });
  std::printf("plain call, instance relaying streams   p50     p99 (ms)\n");
  std::printf("  directly                           %6.2f  %6.2f\n",
              Quantile(direct, 0.5), Quantile(direct, 0.99));
  std::printf("  through the instance               %6.2f  %6.2f\n",
              Quantile(routed, 0.5), Quantile(routed, 0.99));
  std::printf("  added                              %6.2f  %6.2f\n",
              Quantile(routed, 0.5) - Quantile(direct, 0.5),
              Quantile(routed, 0.99) - Quantile(direct, 0.99));
}

// Measures the CPU time for relaying tokens.
void MeasureRelayCost(Cluster& cluster) {
  double cpu_before = cluster.ReadCounter(0, "mangoyoke_process_cpu_ms");
  double tokens_before = cluster.SumEngineStats("tokens");
  cluster.RunLoad(
      "--seconds 6 --rate 40 --output-tokens 400 --document-tokens 50 "
      "--question-tokens 50 --seed 3");
  std::this_thread::sleep_for(Millis(1200));
  double cpu_s =
      (cluster.ReadCounter(0, "mangoyoke_process_cpu_ms") - cpu_before) / 1000;
  double tokens = cluster.SumEngineStats("tokens") - tokens_before;
  std::printf(
      "relayed %.0f tokens with %.2f s of CPU time: %.0f tokens per CPU second"
      "\n",
      tokens, cpu_s, tokens / cpu_s);
}

// Measures resident memory idle and with many open streams.
void MeasureMemory(Cluster& cluster) {
  auto resident_mb = [&] {
    std::this_thread::sleep_for(Millis(1200));
    return cluster.ReadCounter(0, "mangoyoke_resident_bytes") / 1e6;
  };
  double idle_mb = resident_mb();
  double loaded_mb = 0;
  double open_streams = 0;
  cluster.RunLoad(
      "--seconds 6 --rate 170 --output-tokens 600 --document-tokens 20 "
      "--question-tokens 20 --seed 4",
      [&] {
        std::this_thread::sleep_for(Millis(5500));
        open_streams = cluster.SumEngineStats("running");
        loaded_mb = resident_mb();
      });
  std::printf("resident memory: %.1f MB idle, %.1f MB with %.0f open streams\n",
              idle_mb, loaded_mb, open_streams);
}

int Main() {
  ClusterOptions options;
  options.instances = 1;
  options.zones = 1;
  options.prefill_engines = 6;
  options.decode_engines = 6;
  options.engine_flags = "--gap-ms 20 --slots 200";
  options.instance_settings =
      "[limits]\ntraffic_threads = 1\n[log]\nlevel = error\n";
  Cluster cluster(options);
  // Adds "slots = 200" to each decode server of the plan, to match the engines.
  std::string plan = cluster.PlanText();
  std::string plan_with_slots;
  for (size_t at = 0, next = 0; at < plan.size(); at = next) {
    next = plan.find("[backend d", at + 1);
    next = next == std::string::npos ? plan.size() : next;
    std::string section = plan.substr(at, next - at);
    if (section.starts_with("[backend d")) {
      section.insert(section.find('\n') + 1, "slots = 200\n");
    }
    plan_with_slots += section;
  }
  cluster.SubmitPlan(0, plan_with_slots, 1, "wide");
  Eventually([&] { return cluster.IsActiveEverywhere(2); });
  CompareLatency(cluster);
  MeasureRelayCost(cluster);
  MeasureMemory(cluster);
  return 0;
}

}  // namespace
}  // namespace mangoyoke::testing

int main() {
  return mangoyoke::testing::Main();
}
