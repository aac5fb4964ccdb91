// Reports as MessagePack: an array of the kind, the scope, the source and its
// records. A record is a flat array of whole numbers: the hash of the server's
// incarnation, the age of the sums in milliseconds, and for each class of load
// with observations: the class, their weight and the mean logarithm of their
// times, the latter two in the units below. A question is an array of the kind
// only.

#include "gateway/traffic/speed_reporter.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

#include "base/log.h"

namespace mangoyoke {
namespace {

using Json = nlohmann::json;

constexpr Duration kOwnReportInterval = Millis(500);
constexpr Duration kCellSumInterval = Millis(500);
constexpr Duration kZoneSumInterval = Millis(250);
constexpr Duration kQuestionInterval = Millis(500);
constexpr int kMaxQuestions = 6;
constexpr Duration kAnswerInterval = Millis(50);
// Records in one datagram. Each takes 16 to 45 bytes.
constexpr size_t kMaxRecords = 48;
constexpr size_t kMaxAnswerDatagrams = 16;
// Units of the reported numbers.
constexpr double kWeightUnit = 0.1;
constexpr double kLogUnit = 0.01;
// Greater figures make no sense: e^20 ms is days.
constexpr int64_t kMaxLogUnits = 2000;
constexpr int64_t kMaxWeightUnits = 100'000;
constexpr int64_t kMaxAgeMs = 60'000;
constexpr size_t kSourceElement = 2;
constexpr size_t kRecordsElement = 3;
constexpr size_t kNumbersPerClass = 3;

Json EncodeRecord(const SpeedRecord& record, TimePoint now) {
  int64_t age_ms =
      std::chrono::duration_cast<Millis>(now - record.summary.as_of).count();
  Json encoded =
      Json::array({record.server, std::clamp<int64_t>(age_ms, 0, kMaxAgeMs)});
  for (size_t i = 0; i < kLoadClasses; ++i) {
    const SpeedSums& sums = record.summary.classes[i];
    int64_t weight = std::min<int64_t>(std::llround(sums.weight / kWeightUnit),
                                       kMaxWeightUnits);
    if (weight <= 0) {
      continue;
    }
    int64_t mean = std::llround(sums.log_sum / sums.weight / kLogUnit);
    encoded.push_back(i);
    encoded.push_back(weight);
    encoded.push_back(std::clamp(mean, -kMaxLogUnits, kMaxLogUnits));
  }
  return encoded;
}

// A whole number from `min` to `max`; nothing if `encoded` is none.
std::optional<int64_t> DecodeNumber(const Json& encoded,
                                    int64_t min,
                                    int64_t max) {
  if (!encoded.is_number_integer() ||
      (encoded.is_number_unsigned() &&
       encoded.get<uint64_t>() > static_cast<uint64_t>(INT64_MAX))) {
    return std::nullopt;
  }
  auto number = encoded.get<int64_t>();
  return number >= min && number <= max ? std::optional(number) : std::nullopt;
}

// Nothing if the record makes no sense.
std::optional<SpeedRecord> DecodeRecord(const Json& encoded, TimePoint now) {
  constexpr size_t kFirstClass = 2;
  if (!encoded.is_array() || encoded.size() < kFirstClass ||
      (encoded.size() - kFirstClass) % kNumbersPerClass != 0 ||
      !encoded[0].is_number_unsigned()) {
    return std::nullopt;
  }
  SpeedRecord record;
  record.server = encoded[0].get<uint64_t>();
  auto age_ms = DecodeNumber(encoded[1], 0, kMaxAgeMs);
  if (!age_ms) {
    return std::nullopt;
  }
  record.summary.as_of = now - Millis(*age_ms);
  for (size_t i = kFirstClass; i < encoded.size(); i += kNumbersPerClass) {
    auto load_class = DecodeNumber(encoded[i], 0, kLoadClasses - 1);
    auto weight = DecodeNumber(encoded[i + 1], 1, kMaxWeightUnits);
    auto mean = DecodeNumber(encoded[i + 2], -kMaxLogUnits, kMaxLogUnits);
    if (!load_class || !weight || !mean) {
      return std::nullopt;
    }
    SpeedSums& sums = record.summary.classes[static_cast<size_t>(*load_class)];
    sums.weight = kWeightUnit * static_cast<double>(*weight);
    sums.log_sum = sums.weight * kLogUnit * static_cast<double>(*mean);
  }
  return record;
}

// Nothing if there is no such scope.
std::optional<ReportScope> DecodeScope(const Json& encoded) {
  auto number = DecodeNumber(encoded, static_cast<int>(ReportScope::kInstance),
                             static_cast<int>(ReportScope::kZone));
  return number ? std::optional(static_cast<ReportScope>(*number))
                : std::nullopt;
}

// Datagrams with all `records`, each of at most kMaxRecords.
std::vector<std::vector<uint8_t>> Encode(
    const SpeedSource& source,
    const std::vector<SpeedRecord>& records,
    TimePoint now) {
  std::vector<std::vector<uint8_t>> reports;
  for (size_t i = 0; i < records.size(); i += kMaxRecords) {
    Json encoded = Json::array();
    for (size_t j = i; j < std::min(i + kMaxRecords, records.size()); ++j) {
      encoded.push_back(EncodeRecord(records[j], now));
    }
    reports.push_back(Json::to_msgpack(
        Json::array({PeerReportKind::kServerSpeed, source.scope, source.name,
                     std::move(encoded)})));
  }
  return reports;
}

// Whether `interval` has passed since `last`, which is then set to `now`.
bool IsDue(TimePoint& last, Duration interval, TimePoint now) {
  if (now - last < interval) {
    return false;
  }
  last = now;
  return true;
}

}  // namespace

void SpeedReporter::Tick(TimePoint now) {
  ServerSpeeds& speeds = context_.server_speeds;
  if (IsDue(last_own_report_, kOwnReportInterval, now)) {
    SpeedSource self{ReportScope::kInstance, endpoints_.self};
    auto changes = speeds.TakeOwnChanges(kMaxRecords);
    for (const auto& report : Encode(self, changes, now)) {
      for (const Endpoint& peer : endpoints_.cell_peers) {
        send_(report, peer);
      }
    }
  }
  if (IsDue(last_cell_sum_, kCellSumInterval, now)) {
    SendSum(ReportScope::kInstance, {ReportScope::kCell, endpoints_.cell},
            endpoints_.zone_peers, now);
  }
  if (IsDue(last_zone_sum_, kZoneSumInterval, now)) {
    SendSum(ReportScope::kCell, {ReportScope::kZone, endpoints_.zone},
            endpoints_.remote_peers, now);
  }
  if (speeds.empty() && questions_ < kMaxQuestions &&
      !endpoints_.cell_peers.empty() &&
      IsDue(last_question_, kQuestionInterval, now)) {
    Ask();
  }
}

const SpeedReporter::Endpoint* SpeedReporter::RandomOf(
    const ReportEndpoints::Endpoints& peers) {
  if (peers.empty()) {
    return nullptr;
  }
  auto index = static_cast<size_t>(context_.Random() *
                                   static_cast<double>(peers.size()));
  return &peers[std::min(index, peers.size() - 1)];
}

bool SpeedReporter::IsCellPeer(const Endpoint& peer) const {
  return std::ranges::find(endpoints_.cell_peers, peer) !=
         endpoints_.cell_peers.end();
}

void SpeedReporter::Ask() {
  ++questions_;
  send_(Json::to_msgpack(Json::array({PeerReportKind::kServerSpeed})),
        *RandomOf(endpoints_.cell_peers));
}

void SpeedReporter::Answer(const Endpoint& peer, TimePoint now) {
  auto by_source = context_.server_speeds.BySource(now);
  by_source[{ReportScope::kInstance, endpoints_.self}] =
      context_.server_speeds.Own(now);
  size_t sent = 0;
  for (const auto& [source, records] : by_source) {
    for (const auto& report : Encode(source, records, now)) {
      if (sent++ < kMaxAnswerDatagrams) {
        send_(report, peer);
      }
    }
  }
}

void SpeedReporter::SendSum(ReportScope max_scope,
                            const SpeedSource& source,
                            const ReportEndpoints::Endpoints& peers,
                            TimePoint now) {
  const Endpoint* peer = RandomOf(peers);
  if (peer == nullptr) {
    return;
  }
  auto sums = context_.server_speeds.Sum(max_scope, kMaxRecords, now);
  for (const auto& report : Encode(source, sums, now)) {
    send_(report, *peer);
  }
}

bool SpeedReporter::IncludesSelf(const SpeedSource& source) const {
  switch (source.scope) {
    case ReportScope::kInstance:
      return source.name == endpoints_.self;
    case ReportScope::kCell:
      return source.name == endpoints_.cell;
    case ReportScope::kZone:
      return source.name == endpoints_.zone;
  }
  return false;
}

void SpeedReporter::ApplyFrom(const Json& report,
                              const Endpoint& sender,
                              TimePoint now) {
  if (report.size() > 1) {
    Apply(report, now);
    return;
  }
  if (IsCellPeer(sender) && IsDue(last_answer_, kAnswerInterval, now)) {
    Answer(sender, now);
  }
}

void SpeedReporter::Apply(const Json& report, TimePoint now) {
  auto name = report.at(kSourceElement).get<std::string>();
  auto scope = DecodeScope(report.at(1));
  const Json& records = report.at(kRecordsElement);
  if (!scope || !records.is_array() || records.size() > kMaxRecords) {
    LogInvalidRecords(name, 0);
    return;
  }
  SpeedSource source{*scope, name};
  if (IncludesSelf(source)) {
    return;
  }
  int64_t odd = 0;
  for (const Json& encoded : records) {
    if (auto record = DecodeRecord(encoded, now)) {
      // A server that is not known yet is no fault of the peer.
      context_.server_speeds.Apply(source, *record, now);
    } else {
      ++odd;
    }
  }
  if (odd > 0) {
    LogInvalidRecords(name, odd);
  }
}

void SpeedReporter::LogInvalidRecords(const std::string& source,
                                      int64_t records) {
  context_.metrics.Increment("mangoyoke_speed_reports_odd_total");
  LogEvent("speed_report_odd", LogLevel::kWarning)
      .Field("source", source)
      .Field("records", records);
}

}  // namespace mangoyoke
