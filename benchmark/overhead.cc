// Measures what an entry adds: latency of a plain call against the service
// itself, processor time for each relayed token, memory for each open stream.

#include <algorithm>
#include <cstdio>
#include <thread>

#include "cluster.h"

namespace mangoyoke::testing {
namespace {

constexpr int kCalls = 1500;

std::vector<double> TimeCalls(const std::string& url) {
  std::vector<double> millis;
  for (int i = 0; i < kCalls; ++i) {
    auto begin = SteadyClock::now();
    SendHttpRequest("GET", url);
    millis.push_back(ToMillis(SteadyClock::now() - begin));
  }
  std::sort(millis.begin(), millis.end());
  return millis;
}

double Share(const std::vector<double>& sorted, double share) {
  return sorted[static_cast<size_t>(share *
                                    static_cast<double>(sorted.size() - 1))];
}

void CompareLatency(Cluster& cluster) {
  std::vector<double> direct;
  std::vector<double> routed;
  cluster.RunLoad("--seconds 14 --rate 12 --output-tokens 100 --seed 2", [&] {
    std::this_thread::sleep_for(Millis(1500));
    direct = TimeCalls(cluster.ServiceUrl(0) + "/availability");
    routed = TimeCalls("http://" + cluster.CallerAddress(0) +
                       "/services/bookings/availability");
  });
  std::printf("plain call, entry loaded with streams   p50     p99 (ms)\n");
  std::printf("  directly                           %6.2f  %6.2f\n",
              Share(direct, 0.5), Share(direct, 0.99));
  std::printf("  through the entry                  %6.2f  %6.2f\n",
              Share(routed, 0.5), Share(routed, 0.99));
  std::printf("  added                              %6.2f  %6.2f\n",
              Share(routed, 0.5) - Share(direct, 0.5),
              Share(routed, 0.99) - Share(direct, 0.99));
}

void MeasureRelay(Cluster& cluster) {
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
      "relayed %.0f tokens with %.2f s of processor time: %.0f tokens "
      "a core-second\n",
      tokens, cpu_s, tokens / cpu_s);
}

void MeasureMemory(Cluster& cluster) {
  auto resident = [&] {
    std::this_thread::sleep_for(Millis(1200));
    return cluster.ReadCounter(0, "mangoyoke_resident_bytes") / 1e6;
  };
  double before = resident();
  double during = 0;
  double open = 0;
  cluster.RunLoad(
      "--seconds 6 --rate 170 --output-tokens 600 --document-tokens 20 "
      "--question-tokens 20 --seed 4",
      [&] {
        std::this_thread::sleep_for(Millis(5500));
        open = cluster.SumEngineStats("running");
        during = resident();
      });
  std::printf("resident memory: %.1f MB idle, %.1f MB with %.0f open streams\n",
              before, during, open);
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
  std::string plan = cluster.PlanText();
  std::string wide;
  for (size_t at = 0, next = 0; at < plan.size(); at = next) {
    next = plan.find("[backend d", at + 1);
    next = next == std::string::npos ? plan.size() : next;
    std::string part = plan.substr(at, next - at);
    if (part.starts_with("[backend d")) {
      part.insert(part.find('\n') + 1, "slots = 200\n");
    }
    wide += part;
  }
  cluster.SubmitPlan(0, wide, 1, "wide");
  Eventually([&] { return cluster.IsActiveEverywhere(2); });
  CompareLatency(cluster);
  MeasureRelay(cluster);
  MeasureMemory(cluster);
  return 0;
}

}  // namespace
}  // namespace mangoyoke::testing

int main() {
  return mangoyoke::testing::Main();
}
