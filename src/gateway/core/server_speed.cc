// Estimates of random effects: the pool's usual time in each class of load, the
// deviation of each server from it, and that of each class at the server.

#include "gateway/core/server_speed.h"

#include <algorithm>
#include <cmath>
#include <functional>

#include "mangoyoke/rendezvous.h"

namespace mangoyoke {
namespace {

constexpr Duration kRefreshInterval = Millis(250);
// Observations with less weight together are forgotten.
constexpr double kMinWeight = 0.1;
// An observation counts as at most this many standard deviations from the
// expected time, so that a short disturbance moves the estimate little.
constexpr double kMaxDeviations = 2;
// The least such limit, as a logarithm: a factor of 2.5.
constexpr double kMinCut = 0.9;
// Weight of an observation in the variance of observations.
constexpr double kNoiseWeight = 0.1;
// Weight of a refresh in the variance between servers, if it rises or falls: a
// server that begins to differ has to show soon.
constexpr double kSpreadRiseWeight = 0.3;
constexpr double kSpreadFallWeight = 0.1;
constexpr double kMinNoise = 0.005;
// A standard deviation of 3 %. Servers that differ less count as alike.
constexpr double kMinSpread = 0.001;
// Observations of a server from which it counts in the variance.
constexpr double kMinSpreadWeight = 1.5;
constexpr size_t kMinSpreadServers = 3;
// Observations of one class of load count for its own deviation only by this
// part, since speed is nearly always common to all classes.
constexpr double kClassPriorFactor = 3;
// A server is markedly slower from this factor on, as a logarithm: 1.25.
constexpr double kKnee = 0.22;
// Sources in the record of one server.
constexpr size_t kMaxSources = 64;

double WeightAt(const SpeedSummary& summary, TimePoint now) {
  return summary.Weight() * summary.Decay(now);
}

}  // namespace

double ServerSpeeds::Pool::PriorWeight() const {
  return noise / spread;
}

bool ServerSpeeds::Pool::Known() const {
  return std::ranges::any_of(observed, std::identity());
}

void ServerSpeeds::Pool::FillUnobserved() {
  auto first = std::ranges::find(observed, true) - observed.begin();
  for (size_t i = 0; i < kLoadClasses; ++i) {
    if (!observed[i]) {
      typical[i] = typical[i == 0 ? static_cast<size_t>(first) : i - 1];
    }
  }
}

void ServerSpeeds::SetServers(const ServerSnapshot& snapshot) {
  std::erase_if(records_, [&](const auto& entry) {
    const auto& [id, record] = entry;
    const BackendServer* server = snapshot.Find(id);
    bool gone = server == nullptr ||
                server->start_time_ms != record.start_time_ms ||
                PoolKey(server->service, server->stage) != record.pool;
    if (gone) {
      by_key_.erase(record.key);
      own_changes_.erase(id);
    }
    return gone;
  });
  for (const auto& [id, server] : snapshot.servers) {
    auto [entry, added] = records_.try_emplace(id);
    if (!added) {
      continue;
    }
    ServerRecord& record = entry->second;
    record.key = StableHash(IncarnationOf(server));
    record.start_time_ms = server.start_time_ms;
    record.pool = {server.service, server.stage};
    by_key_[record.key] = id;
  }
}

ServerSpeeds::ServerRecord* ServerSpeeds::Find(const BackendServer& server) {
  auto found = records_.find(server.id);
  if (found == records_.end() ||
      found->second.start_time_ms != server.start_time_ms) {
    return nullptr;
  }
  return &found->second;
}

double ServerSpeeds::ExpectedLog(const ServerRecord& record,
                                 const Pool& pool,
                                 size_t load_class) {
  return pool.typical[load_class] + record.deviation +
         record.class_deviations[load_class];
}

void ServerSpeeds::Record(const BackendServer& server,
                          int64_t requests,
                          double ms_per_unit,
                          TimePoint now) {
  ServerRecord* record = Find(server);
  if (record == nullptr || !std::isfinite(ms_per_unit) || ms_per_unit <= 0) {
    return;
  }
  Refresh(now);
  size_t load_class = LoadClassOf(static_cast<double>(requests), server.slots);
  Pool& pool = pools_[record->pool];
  double log_time = std::log(ms_per_unit);
  if (pool.Known()) {
    double expected = ExpectedLog(*record, pool, load_class);
    double variance =
        pool.noise * (1 + 1 / (record->weight + pool.PriorWeight()));
    double cut = std::max(kMinCut, kMaxDeviations * std::sqrt(variance));
    double residual = std::clamp(log_time - expected, -cut, cut);
    pool.noise += kNoiseWeight * (residual * residual - pool.noise);
    pool.noise = std::max(pool.noise, kMinNoise);
    log_time = expected + residual;
  }
  record->own.Add(load_class, log_time, now);
  record->changed = true;
  own_changes_.insert(server.id);
}

bool ServerSpeeds::Apply(const SpeedSource& source,
                         const SpeedRecord& record,
                         TimePoint now) {
  auto id = by_key_.find(record.server);
  if (id == by_key_.end()) {
    return false;
  }
  ServerRecord& known = records_.at(id->second);
  auto found = known.reports.find(source);
  if (found == known.reports.end()) {
    if (known.reports.size() >= kMaxSources ||
        WeightAt(record.summary, now) < kMinWeight) {
      return true;
    }
    known.reports.emplace(source, record.summary);
  } else if (record.summary.as_of > found->second.as_of) {
    found->second = record.summary;
  } else {
    return true;
  }
  known.changed = true;
  return true;
}

SpeedEstimate ServerSpeeds::Estimate(const BackendServer& server,
                                     int64_t requests,
                                     TimePoint now) {
  Refresh(now);
  SpeedEstimate estimate;
  const ServerRecord* record = Find(server);
  if (record == nullptr) {
    return estimate;
  }
  auto found = pools_.find(record->pool);
  if (found == pools_.end() || !found->second.Known()) {
    return estimate;
  }
  const Pool& pool = found->second;
  double idle = pool.typical[0];
  size_t load_class = LoadClassOf(static_cast<double>(requests), server.slots);
  estimate.relative_time =
      std::exp(ExpectedLog(*record, pool, load_class) - idle);
  estimate.uncertainty =
      std::sqrt(pool.noise / (record->weight + pool.PriorWeight()));
  estimate.pool_spread = std::sqrt(pool.spread);
  estimate.observations = record->weight;
  if (record->weight >= kMinWeight) {
    estimate.last = record->merged.as_of;
  }
  for (size_t i = 1; i < kLoadClasses && !estimate.knee; ++i) {
    if (ExpectedLog(*record, pool, i) - ExpectedLog(*record, pool, 0) > kKnee) {
      estimate.knee = static_cast<double>(i) / kLoadClasses;
    }
  }
  return estimate;
}

void ServerSpeeds::Refresh(TimePoint now) {
  if (now < next_refresh_) {
    return;
  }
  next_refresh_ = now + kRefreshInterval;
  std::map<PoolKey, std::vector<ServerRecord*>> pools;
  for (auto& [id, record] : records_) {
    if (record.changed) {
      MergeReports(record, now);
    }
    record.weight = WeightAt(record.merged, now);
    if (record.weight >= kMinWeight) {
      pools[record.pool].push_back(&record);
    } else {
      record.deviation = 0;
      record.class_deviations = {};
      record.weight = 0;
    }
  }
  active_ = 0;
  for (const auto& [key, records] : pools) {
    active_ += records.size();
    EstimatePool(pools_[key], records, now);
  }
}

void ServerSpeeds::MergeReports(ServerRecord& record, TimePoint now) {
  std::erase_if(record.reports, [now](const auto& entry) {
    return WeightAt(entry.second, now) < kMinWeight;
  });
  record.merged = record.own;
  for (const auto& [source, summary] : record.reports) {
    record.merged.Merge(summary);
  }
  record.changed = false;
}

void ServerSpeeds::EstimatePool(Pool& pool,
                                const std::vector<ServerRecord*>& records,
                                TimePoint now) {
  std::array<SpeedSums, kLoadClasses> sums;
  for (const ServerRecord* record : records) {
    double decay = record->merged.Decay(now);
    for (size_t i = 0; i < kLoadClasses; ++i) {
      const SpeedSums& observed = record->merged.classes[i];
      sums[i].weight += decay * observed.weight;
      sums[i].log_sum +=
          decay * (observed.log_sum - observed.weight * record->deviation);
    }
  }
  for (size_t i = 0; i < kLoadClasses; ++i) {
    if (sums[i].weight >= kMinWeight) {
      pool.typical[i] = sums[i].log_sum / sums[i].weight;
      pool.observed[i] = true;
    }
  }
  pool.FillUnobserved();
  double square_sum = 0;
  size_t servers = 0;
  for (ServerRecord* record : records) {
    EstimateServer(*record, pool, now);
    if (record->weight >= kMinSpreadWeight) {
      // The estimate without its draw towards the pool.
      double raw = record->deviation * (record->weight + pool.PriorWeight()) /
                   record->weight;
      square_sum += raw * raw - pool.noise / record->weight;
      ++servers;
    }
  }
  if (servers >= kMinSpreadServers) {
    double spread =
        std::max(kMinSpread, square_sum / static_cast<double>(servers));
    double weight =
        spread > pool.spread ? kSpreadRiseWeight : kSpreadFallWeight;
    pool.spread += weight * (spread - pool.spread);
  }
}

void ServerSpeeds::EstimateServer(ServerRecord& record,
                                  const Pool& pool,
                                  TimePoint now) {
  double decay = record.merged.Decay(now);
  double prior_weight = pool.PriorWeight();
  double residual_sum = 0;
  for (size_t i = 0; i < kLoadClasses; ++i) {
    const SpeedSums& sums = record.merged.classes[i];
    residual_sum += decay * (sums.log_sum - sums.weight * pool.typical[i]);
  }
  record.deviation = residual_sum / (record.weight + prior_weight);
  // What a class adds carries over to the higher ones.
  double class_weight = kClassPriorFactor * prior_weight;
  double carried = 0;
  for (size_t i = 0; i < kLoadClasses; ++i) {
    const SpeedSums& sums = record.merged.classes[i];
    double residual =
        sums.log_sum - sums.weight * (pool.typical[i] + record.deviation);
    carried = (decay * residual + class_weight * carried) /
              (decay * sums.weight + class_weight);
    record.class_deviations[i] = carried;
  }
}

std::vector<SpeedRecord> ServerSpeeds::TakeOwnChanges(size_t limit) {
  std::vector<SpeedRecord> changes;
  while (!own_changes_.empty() && changes.size() < limit) {
    auto first = own_changes_.begin();
    const ServerRecord& record = records_.at(*first);
    changes.push_back({record.key, record.own});
    own_changes_.erase(first);
  }
  return changes;
}

std::vector<SpeedRecord> ServerSpeeds::Sum(ReportScope max_scope,
                                           size_t limit,
                                           TimePoint now) {
  std::vector<SpeedRecord> sums;
  BackendId& next = next_in_sum_[max_scope];
  auto entry = records_.lower_bound(next);
  for (size_t i = 0; i < records_.size() && sums.size() < limit; ++i) {
    if (entry == records_.end()) {
      entry = records_.begin();
    }
    const ServerRecord& record = entry->second;
    SpeedSummary sum = record.own;
    for (const auto& [source, summary] : record.reports) {
      if (source.scope <= max_scope) {
        sum.Merge(summary);
      }
    }
    if (WeightAt(sum, now) >= kMinWeight) {
      sums.push_back({record.key, sum});
    }
    ++entry;
  }
  next = entry == records_.end() ? BackendId() : entry->first;
  return sums;
}

std::map<SpeedSource, std::vector<SpeedRecord>> ServerSpeeds::BySource(
    TimePoint now) const {
  std::map<SpeedSource, std::vector<SpeedRecord>> by_source;
  for (const auto& [id, record] : records_) {
    for (const auto& [source, summary] : record.reports) {
      if (WeightAt(summary, now) >= kMinWeight) {
        by_source[source].push_back({record.key, summary});
      }
    }
  }
  return by_source;
}

std::vector<SpeedRecord> ServerSpeeds::Own(TimePoint now) const {
  std::vector<SpeedRecord> own;
  for (const auto& [id, record] : records_) {
    if (WeightAt(record.own, now) >= kMinWeight) {
      own.push_back({record.key, record.own});
    }
  }
  return own;
}

}  // namespace mangoyoke
