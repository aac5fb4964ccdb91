// Reports as MessagePack: an array of its kind, the sender's cell and
// records. A record is an array of the part, the age of its last success (-1:
// none), its ends (server, prompt, age, time after the request) and its verdict
// (age of the first end, time left, count; null: none). Times are milliseconds.

#include "gateway/traffic/quarantine_reporter.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "gateway/traffic/quarantine_decisions.h"

namespace mangoyoke {
namespace {

using Json = nlohmann::json;

constexpr Duration kFullReportInterval = Seconds(1);
// Records in one datagram. Each takes up to 500 bytes.
constexpr size_t kMaxRecordsPerReport = 24;
// Changes sent in one tick; the rest follow in the next ones.
constexpr size_t kMaxChangesPerTick = 2 * kMaxRecordsPerReport;
constexpr int64_t kNone = -1;

int64_t EncodeDuration(Duration duration) {
  return std::chrono::duration_cast<Millis>(duration).count();
}

// A duration that a peer named, cut to what records can hold.
Duration DecodeDuration(const Json& encoded) {
  constexpr int64_t kLongest =
      std::chrono::duration_cast<Millis>(PromptQuarantine::kMaxVerdict).count();
  return Millis(std::clamp<int64_t>(encoded.get<int64_t>(), 0, kLongest));
}

Json EncodeRecord(const PartRecord& record, TimePoint now) {
  Json ends = Json::array();
  for (const ServerEnd& end : record.ends) {
    ends.push_back(
        Json::array({end.server, end.prompt, EncodeDuration(now - end.at),
                     EncodeDuration(end.after)}));
  }
  Json verdict;
  if (record.verdict) {
    verdict = Json::array({EncodeDuration(now - record.verdict->first_end),
                           EncodeDuration(record.verdict->until - now),
                           record.verdict->count});
  }
  int64_t success =
      record.last_success ? EncodeDuration(now - *record.last_success) : kNone;
  return Json::array({record.part, success, ends, verdict});
}

PartRecord DecodeRecord(const Json& encoded, TimePoint now) {
  PartRecord record;
  record.part = encoded.at(0).get<std::string>();
  if (encoded.at(1).get<int64_t>() != kNone) {
    record.last_success = now - DecodeDuration(encoded.at(1));
  }
  for (const Json& end : encoded.at(2)) {
    record.ends.push_back(
        ServerEnd{end.at(0).get<uint64_t>(), end.at(1).get<uint64_t>(),
                  now - DecodeDuration(end.at(2)), DecodeDuration(end.at(3))});
  }
  if (const Json& verdict = encoded.at(3); !verdict.is_null()) {
    record.verdict = QuarantineVerdict{now - DecodeDuration(verdict.at(0)),
                                       now + DecodeDuration(verdict.at(1)),
                                       verdict.at(2).get<int>()};
  }
  return record;
}

}  // namespace

QuarantineReporter::QuarantineReporter(TrafficContext& context,
                                       SendFunction send)
    : context_(context), send_(std::move(send)) {}

void QuarantineReporter::SetPeers(ReportEndpoints endpoints) {
  endpoints_ = std::move(endpoints);
}

void QuarantineReporter::Tick(TimePoint now) {
  if (!context_.quarantine.HasRecords()) {
    return;
  }
  SendChanges(now);
  if (now - last_full_report_ >= kFullReportInterval) {
    last_full_report_ = now;
    SendAll(now);
  }
}

void QuarantineReporter::SendChanges(TimePoint now) {
  std::vector<PartRecord> changes =
      context_.quarantine.TakeChanges(kMaxChangesPerTick);
  SendOutside(changes, now);
  std::erase_if(changes, [this](const PartRecord& record) {
    return learned_in_cell_.contains(record.part);
  });
  SendToCell(changes, now);
  learned_in_cell_.clear();
}

void QuarantineReporter::SendAll(TimePoint now) {
  std::vector<PartRecord> records = context_.quarantine.Records(now);
  auto others = std::stable_partition(
      records.begin(), records.end(),
      [](const PartRecord& record) { return record.verdict.has_value(); });
  auto next = std::find_if(others, records.end(), [this](const auto& record) {
    return record.part > last_sent_;
  });
  std::rotate(others, next, records.end());
  records.resize(std::min(records.size(), kMaxRecordsPerReport));
  last_sent_ = records.empty() ? PromptPartId() : records.back().part;
  SendToCell(records, now);
  SendOutside(records, now);
}

void QuarantineReporter::SendToCell(const std::vector<PartRecord>& records,
                                    TimePoint now) {
  for (const auto& report : Encode(records, now)) {
    for (const auto& peer : endpoints_.cell_peers) {
      send_(report, peer);
    }
  }
}

void QuarantineReporter::SendOutside(const std::vector<PartRecord>& records,
                                     TimePoint now) {
  for (const auto& report : Encode(records, now)) {
    SendToOneOf(endpoints_.zone_peers, report);
    SendToOneOf(endpoints_.remote_peers, report);
  }
}

void QuarantineReporter::SendToOneOf(const ReportEndpoints::Endpoints& peers,
                                     const std::vector<uint8_t>& report) {
  if (peers.empty()) {
    return;
  }
  auto index = static_cast<size_t>(context_.Random() *
                                   static_cast<double>(peers.size()));
  send_(report, peers[std::min(index, peers.size() - 1)]);
}

std::vector<std::vector<uint8_t>> QuarantineReporter::Encode(
    const std::vector<PartRecord>& records,
    TimePoint now) const {
  std::vector<std::vector<uint8_t>> reports;
  for (size_t from = 0; from < records.size(); from += kMaxRecordsPerReport) {
    size_t to = std::min(records.size(), from + kMaxRecordsPerReport);
    Json encoded = Json::array();
    for (size_t i = from; i < to; ++i) {
      encoded.push_back(EncodeRecord(records[i], now));
    }
    reports.push_back(
        Json::to_msgpack(Json::array({kind(), endpoints_.cell, encoded})));
  }
  return reports;
}

void QuarantineReporter::Apply(const Json& report, TimePoint now) {
  bool from_cell = report.at(1).get<std::string>() == endpoints_.cell;
  for (const Json& encoded : report.at(2)) {
    PartRecord record = DecodeRecord(encoded, now);
    if (record.part.size() > kMaxPromptPartIdBytes) {
      continue;  // No instance reads such an id.
    }
    context_.quarantine.Merge(record, now);
    if (from_cell) {
      learned_in_cell_.insert(record.part);
    }
  }
  DecideQuarantine(context_);
}

}  // namespace mangoyoke
