// Compares policies that choose among servers whose speed is not configured.
// One loop of arrivals; servers are queues; instances see their own requests at
// once and those of others with a lag. Prints a table: the share of the
// requests at the fastest third of the servers, times from arrival to the end,
// and the mean time beyond that of an oracle that knows the present speeds.

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <vector>

#include "gateway/core/placement.h"
#include "gateway/core/server_speed.h"

namespace mangoyoke {
namespace {

constexpr size_t kServers = 30;
constexpr int kSlots = 12;
constexpr double kWorkMs = 100;
constexpr TimePoint kStart{Seconds(1000)};
constexpr Duration kRunTime = Seconds(40);
constexpr Duration kWarmUp = Seconds(10);
constexpr Duration kNoiseSpan = Millis(600);
constexpr int kNoisePercent = 15;
constexpr double kNoiseFactor = 2.5;
// Speeds that are worked on for a report: as in the gateway.
constexpr Duration kSpeedReportLag = Seconds(1);

struct Scenario {
  const char* name;
  size_t instances;
  Duration load_lag;  // Of the work in flight that others report.
  // Time at `server` divided by the usual time, with `others` in flight.
  std::function<double(size_t server, int64_t others, TimePoint now)> factor;
};

// A request in flight at a server.
struct Visit {
  TimePoint begin;
  TimePoint end;
  size_t instance;
};

// What one instance knows when it chooses.
struct View {
  std::vector<int64_t> in_flight;
  size_t instance;
  TimePoint now;
};

class Policy {
 public:
  virtual ~Policy() = default;
  virtual size_t Choose(const View& view, std::mt19937_64& random) = 0;
  // An attempt of `instance` ended, that began with `others` in flight.
  virtual void Observe(size_t instance,
                       size_t server,
                       int64_t others,
                       double ms,
                       TimePoint now) {
    (void)instance, (void)server, (void)others, (void)ms, (void)now;
  }
};

double Uniform(std::mt19937_64& random) {
  return std::uniform_real_distribution<double>(0, 1)(random);
}

// The server with the least `cost`; among equals, a random one.
size_t Least(const std::function<double(size_t)>& cost,
             std::mt19937_64& random) {
  size_t best = 0;
  double least = 0;
  for (size_t i = 0; i < kServers; ++i) {
    double here = cost(i) * (1 + 0.02 * Uniform(random));
    if (i == 0 || here < least) {
      best = i;
      least = here;
    }
  }
  return best;
}

// Time of a request with `others` in flight, as a multiple of that at an idle
// server of the same speed.
double LoadFactor(int64_t others) {
  double busy = static_cast<double>(others) / kSlots;
  return 1 + 0.5 * std::min(busy, 1.0) + 1.5 * std::max(busy - 1, 0.0);
}

class LeastRequests : public Policy {
 public:
  size_t Choose(const View& view, std::mt19937_64& random) override {
    return Least(
        [&](size_t i) { return 1.0 + static_cast<double>(view.in_flight[i]); },
        random);
  }
};

// Moving averages of each instance by itself. `peak`: a slower observation
// counts at once, and fades.
class OwnAverage : public Policy {
 public:
  OwnAverage(size_t instances, bool peak, bool two_choices)
      : averages_(instances, std::vector<Average>(kServers)),
        peak_(peak),
        two_choices_(two_choices) {}

  size_t Choose(const View& view, std::mt19937_64& random) override {
    auto cost = [&](size_t i) {
      const Average& average = averages_[view.instance][i];
      double fade =
          std::exp2(-ToMillis(view.now - average.updated) / kHalfLifeMs);
      double ms = kWorkMs + fade * (average.ms - kWorkMs);
      return ms * LoadFactor(view.in_flight[i]);
    };
    if (!two_choices_) {
      return Least(cost, random);
    }
    size_t first = random() % kServers;
    size_t second = random() % kServers;
    return cost(first) <= cost(second) ? first : second;
  }

  void Observe(size_t instance,
               size_t server,
               int64_t /*others*/,
               double ms,
               TimePoint now) override {
    Average& average = averages_[instance][server];
    double weight = peak_ && ms > average.ms ? 1 : 0.3;
    average.ms += weight * (ms - average.ms);
    average.updated = now;
  }

 private:
  static constexpr double kHalfLifeMs = 10'000;

  struct Average {
    double ms = kWorkMs;
    TimePoint updated = kStart;
  };

  std::vector<std::vector<Average>> averages_;
  bool peak_;
  bool two_choices_;
};

// A limit of requests in flight for each server, raised while attempts take
// about as long as the shortest recent ones.
class GradientLimit : public Policy {
 public:
  explicit GradientLimit(size_t instances)
      : limits_(instances, std::vector<Limit>(kServers)) {}

  size_t Choose(const View& view, std::mt19937_64& random) override {
    return Least(
        [&](size_t i) {
          return (1.0 + static_cast<double>(view.in_flight[i])) /
                 limits_[view.instance][i].requests;
        },
        random);
  }

  void Observe(size_t instance,
               size_t server,
               int64_t /*others*/,
               double ms,
               TimePoint /*now*/) override {
    Limit& limit = limits_[instance][server];
    limit.least_ms = std::min(ms, limit.least_ms * 1.02);
    double gradient = std::clamp(limit.least_ms / ms, 0.5, 1.0);
    limit.requests =
        std::clamp(0.8 * limit.requests + 0.2 * (limit.requests * gradient + 1),
                   1.0, 2.0 * kSlots);
  }

 private:
  struct Limit {
    double requests = kSlots;
    double least_ms = kWorkMs;
  };

  std::vector<std::vector<Limit>> limits_;
};

// ServerSpeeds with reports between all instances. Chooses the best of
// `choices` random servers, after a draw of at least `least_draw`.
class SharedSums : public Policy {
 public:
  SharedSums(size_t instances, size_t choices, bool drawn)
      : speeds_(instances), choices_(choices), drawn_(drawn) {
    for (size_t i = 0; i < kServers; ++i) {
      BackendServer server;
      server.id = std::to_string(i);
      server.slots = kSlots;
      snapshot_.servers[server.id] = server;
      servers_.push_back(server);
    }
    for (ServerSpeeds& speeds : speeds_) {
      speeds.SetServers(snapshot_);
    }
  }

  size_t Choose(const View& view, std::mt19937_64& random) override {
    Report(view.now);
    ServerSpeeds& speeds = speeds_[view.instance];
    auto cost = [&](size_t i) {
      SpeedEstimate estimate =
          speeds.Estimate(servers_[i], view.in_flight[i], view.now);
      double share = static_cast<double>(view.in_flight[i]) / kSlots;
      double draw = drawn_ ? DrawnFactor(estimate, Uniform(random)) : 1;
      return draw * estimate.relative_time * (1 + std::max(share - 1, 0.0));
    };
    if (choices_ == kServers) {
      return Least(cost, random);
    }
    size_t best = random() % kServers;
    for (size_t i = 1; i < choices_; ++i) {
      size_t other = random() % kServers;
      best = cost(other) < cost(best) ? other : best;
    }
    return best;
  }

  void Observe(size_t instance,
               size_t server,
               int64_t others,
               double ms,
               TimePoint now) override {
    speeds_[instance].Record(servers_[server], others, ms, now);
  }

 private:
  void Report(TimePoint now) {
    if (now < next_report_) {
      return;
    }
    next_report_ = now + kSpeedReportLag;
    for (size_t from = 0; from < speeds_.size(); ++from) {
      SpeedSource source{ReportScope::kInstance, std::to_string(from)};
      for (const SpeedRecord& record : speeds_[from].TakeOwnChanges(kServers)) {
        for (size_t to = 0; to < speeds_.size(); ++to) {
          if (to != from) {
            speeds_[to].Apply(source, record, now);
          }
        }
      }
    }
  }

  ServerSnapshot snapshot_;
  std::vector<BackendServer> servers_;
  std::vector<ServerSpeeds> speeds_;
  size_t choices_;
  bool drawn_;
  TimePoint next_report_ = kStart;
};

// Knows the present speeds and all work in flight.
class Oracle : public Policy {
 public:
  explicit Oracle(const Scenario& scenario) : scenario_(scenario) {}

  size_t Choose(const View& view, std::mt19937_64& random) override {
    return Least(
        [&](size_t i) {
          return scenario_.factor(i, view.in_flight[i], view.now) *
                 LoadFactor(view.in_flight[i]);
        },
        random);
  }

 private:
  const Scenario& scenario_;
};

struct Result {
  double fast_share = 0;
  double mean = 0;
  double p50 = 0;
  double p99 = 0;
};

class Loop {
 public:
  Loop(const Scenario& scenario, Policy& policy, bool sees_all)
      : scenario_(scenario), policy_(policy), sees_all_(sees_all) {}

  Result Run(double per_second) {
    double fast = 0;
    std::vector<double> times;
    for (TimePoint now = kStart; now < kStart + kRunTime;) {
      now += FromMillis(-1000 / per_second * std::log(1 - Uniform(random_)));
      EndVisits(now);
      size_t instance = random_() % scenario_.instances;
      size_t server = policy_.Choose(ViewOf(instance, now), random_);
      double ms = Send(server, instance, now);
      if (now - kStart > kWarmUp) {
        times.push_back(ms);
        fast += server % 3 == 2 ? 1 : 0;
      }
    }
    std::sort(times.begin(), times.end());
    Result result;
    auto count = static_cast<double>(times.size());
    result.fast_share = fast / count;
    for (double ms : times) {
      result.mean += ms / count;
    }
    result.p50 = times[times.size() / 2];
    result.p99 = times[times.size() * 99 / 100];
    return result;
  }

 private:
  struct End {
    TimePoint at;
    size_t instance;
    size_t server;
    int64_t others;
    double ms;

    bool operator<(const End& other) const { return at > other.at; }
  };

  // An instance knows its own work, and that of the others as it was.
  View ViewOf(size_t instance, TimePoint now) {
    View view{std::vector<int64_t>(kServers), instance, now};
    TimePoint known = now - (sees_all_ ? Duration::zero() : scenario_.load_lag);
    for (size_t i = 0; i < kServers; ++i) {
      for (const Visit& visit : visits_[i]) {
        TimePoint seen = visit.instance == instance ? now : known;
        view.in_flight[i] += visit.begin <= seen && visit.end > seen ? 1 : 0;
      }
    }
    return view;
  }

  // A server serves kSlots at a time; the time of one grows with the others.
  double Send(size_t server, size_t instance, TimePoint now) {
    auto& visits = visits_[server];
    std::erase_if(visits, [&](const Visit& visit) {
      return visit.end + scenario_.load_lag < now;
    });
    std::vector<TimePoint> ends;
    for (const Visit& visit : visits) {
      if (visit.end > now) {
        ends.push_back(visit.end);
      }
    }
    auto others = static_cast<int64_t>(ends.size());
    TimePoint begin = now;
    if (others >= kSlots) {
      std::sort(ends.begin(), ends.end());
      begin = ends[ends.size() - kSlots];
    }
    double scatter =
        std::exp(0.2 * std::normal_distribution<double>()(random_));
    double work = kWorkMs * scatter * Noise(server, begin) *
                  scenario_.factor(server, others, begin) *
                  LoadFactor(std::min<int64_t>(others, kSlots));
    TimePoint end = begin + FromMillis(work);
    visits.push_back({now, end, instance});
    double ms = ToMillis(end - now);
    ends_.push({end, instance, server, others, ms});
    return ms;
  }

  void EndVisits(TimePoint now) {
    while (!ends_.empty() && ends_.top().at <= now) {
      const End& end = ends_.top();
      policy_.Observe(end.instance, end.server, end.others, end.ms, end.at);
      ends_.pop();
    }
  }

  static double Noise(size_t server, TimePoint now) {
    auto span = static_cast<uint64_t>(now.time_since_epoch() / kNoiseSpan);
    std::mt19937_64 hash(kServers * span + server);
    hash.discard(4);
    return hash() % 100 < kNoisePercent ? kNoiseFactor : 1;
  }

  const Scenario& scenario_;
  Policy& policy_;
  bool sees_all_;
  std::mt19937_64 random_{1};
  std::array<std::vector<Visit>, kServers> visits_;
  std::priority_queue<End> ends_;
};

double MixedSpeeds(size_t server) {
  return 1 / (server % 3 == 2 ? 1.7 : 0.7);
}

std::vector<Scenario> Scenarios() {
  auto mixed = [](size_t server, int64_t, TimePoint) {
    return MixedSpeeds(server);
  };
  return {
      {"alike, 9 instances", 9, Millis(40),
       [](size_t, int64_t, TimePoint) { return 1.0; }},
      {"mixed speeds, 9 instances", 9, Millis(40), mixed},
      {"mixed speeds, 63 instances", 63, Millis(300), mixed},
      {"knee at half the slots of a third", 63, Millis(300),
       [](size_t server, int64_t others, TimePoint) {
         return server % 3 != 2 && others >= kSlots / 2 ? 2.5 : 1.0;
       }},
      {"a third twice as slow after 20 s", 63, Millis(300),
       [](size_t server, int64_t, TimePoint now) {
         return server % 3 == 0 && now > kStart + Seconds(20) ? 2.0 : 1.0;
       }},
  };
}

void RunScenario(const Scenario& scenario, double per_second) {
  size_t n = scenario.instances;
  std::vector<std::pair<const char*, std::unique_ptr<Policy>>> policies;
  policies.emplace_back("oracle", std::make_unique<Oracle>(scenario));
  policies.emplace_back("least requests", std::make_unique<LeastRequests>());
  policies.emplace_back("own moving average",
                        std::make_unique<OwnAverage>(n, false, false));
  policies.emplace_back("gradient limits", std::make_unique<GradientLimit>(n));
  policies.emplace_back("two choices, peak average",
                        std::make_unique<OwnAverage>(n, true, true));
  policies.emplace_back("shared sums, no draw",
                        std::make_unique<SharedSums>(n, kServers, false));
  policies.emplace_back("shared sums, best of 4",
                        std::make_unique<SharedSums>(n, 4, false));
  policies.emplace_back("shared sums, drawn",
                        std::make_unique<SharedSums>(n, kServers, true));
  double oracle_mean = 0;
  for (auto& [name, policy] : policies) {
    bool oracle = oracle_mean == 0;
    Result result = Loop(scenario, *policy, oracle).Run(per_second);
    oracle_mean = oracle ? result.mean : oracle_mean;
    std::printf("| %s | %.0f | %s | %.2f | %.0f | %.0f | %.0f |\n",
                scenario.name, per_second, name, result.fast_share, result.p50,
                result.p99, result.mean - oracle_mean);
  }
}

}  // namespace
}  // namespace mangoyoke

int main() {
  std::printf(
      "| servers | requests a second | policy | share of the last third | p50 "
      "ms | p99 ms | regret ms |\n|---|---|---|---|---|---|---|\n");
  for (const auto& scenario : mangoyoke::Scenarios()) {
    for (double per_second : {60.0, 300.0, 600.0}) {
      mangoyoke::RunScenario(scenario, per_second);
    }
  }
  return 0;
}
