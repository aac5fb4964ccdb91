// Load reports as MessagePack datagrams: an array of scope, source (an instance
// id, a cell or a zone), whether the report is complete, and load by server
// (requests, prompt tokens, KV tokens). Reports of an instance also have counts
// by service (requests, retries), only if complete, and its incarnation; if
// other reporters add to them, arrays of their kind and what they add.

#include "gateway/traffic/load_reporter.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>

#include "base/log.h"
#include "base/message_pack.h"
#include "base/run_guarded.h"
#include "gateway/net/sockets.h"
#include "gateway/traffic/account_use_reporter.h"
#include "gateway/traffic/quarantine_reporter.h"
#include "gateway/traffic/speed_reporter.h"

namespace mangoyoke {
namespace {

using Json = nlohmann::json;

constexpr Duration kTickInterval = Millis(20);
// Pace of complete reports. A peer gets one within the TTL of reports though
// two in a row were lost.
constexpr Duration kCompleteReportInterval = Millis(300);
// Pace of the sums sent out of the cell and out of the zone.
constexpr Duration kCellSumInterval = Millis(40);
constexpr Duration kZoneSumInterval = Millis(160);
// Servers in one report; those with the least work are left out, so that it
// fits into a datagram.
constexpr size_t kMaxReportedServers = 400;
// Where the additions of other reporters are in the report of an instance.
constexpr size_t kOwnPartsIndex = 6;

Json EncodeLoad(const LoadByServer& load) {
  std::vector<std::pair<BackendId, LoadCharge>> servers(load.begin(),
                                                        load.end());
  if (servers.size() > kMaxReportedServers) {
    std::nth_element(
        servers.begin(),
        servers.begin() + static_cast<ptrdiff_t>(kMaxReportedServers),
        servers.end(), [](const auto& left, const auto& right) {
          return left.second.kv_tokens > right.second.kv_tokens;
        });
    servers.resize(kMaxReportedServers);
  }
  Json encoded = Json::object();
  for (const auto& [id, charge] : servers) {
    encoded[id] =
        Json::array({charge.requests, charge.prompt_tokens, charge.kv_tokens});
  }
  return encoded;
}

// Nothing if the report has a scope that this process does not know.
std::optional<ReportScope> DecodeScope(const Json& encoded) {
  switch (encoded.get<int>()) {
    case static_cast<int>(ReportScope::kInstance):
      return ReportScope::kInstance;
    case static_cast<int>(ReportScope::kCell):
      return ReportScope::kCell;
    case static_cast<int>(ReportScope::kZone):
      return ReportScope::kZone;
    default:
      return std::nullopt;
  }
}

LoadByServer DecodeLoad(const Json& encoded) {
  LoadByServer load;
  for (const auto& [id, item] : encoded.items()) {
    load[id] = LoadCharge{item.at(0).get<int64_t>(), item.at(1).get<int64_t>(),
                          item.at(2).get<int64_t>()};
  }
  return load;
}

std::map<ServiceId, RetryCounts> DecodeCounts(const Json& encoded) {
  std::map<ServiceId, RetryCounts> counts;
  for (const auto& [service, item] : encoded.items()) {
    counts[service] =
        RetryCounts{item.at(0).get<int64_t>(), item.at(1).get<int64_t>()};
  }
  return counts;
}

// Whether retries were made between the counts `before` and `after`. Peers have
// to know of them at once; new requests only add to the budget.
bool RetriesChanged(const std::map<ServiceId, RetryCounts>& before,
                    const std::map<ServiceId, RetryCounts>& after) {
  for (const auto& [service, counts] : after) {
    auto found = before.find(service);
    if (counts.retries != (found == before.end() ? 0 : found->second.retries)) {
      return true;
    }
  }
  return false;
}

}  // namespace

LoadReporter::LoadReporter(TrafficContext& context,
                           InstanceId self,
                           ZoneId zone)
    : context_(context),
      self_(std::move(self)),
      zone_(std::move(zone)),
      incarnation_(context.random()),
      socket_(context.io) {
  endpoints_.self = self_;
  endpoints_.zone = zone_;
  other_reporters_.push_back(
      std::make_unique<QuarantineReporter>(context, SendToPeer()));
  other_reporters_.push_back(std::make_unique<AccountUseReporter>(
      context.quotas, [&context] { return context.Random(); }, SendToPeer()));
}

PeerReporter::SendFunction LoadReporter::SendToPeer() {
  return [this](const std::vector<uint8_t>& report, const Udp::endpoint& peer) {
    Send(report, peer);
  };
}

void LoadReporter::EnableSpeedReports() {
  other_reporters_.push_back(
      std::make_unique<SpeedReporter>(context_, SendToPeer()));
}

Result<Unit> LoadReporter::Start(const std::string& ip, uint16_t port) {
  port_ = port;
  boost::system::error_code error;
  auto address = boost::asio::ip::make_address_v4(ip, error);
  if (!error) {
    socket_.open(Udp::v4(), error);
  }
  if (!error) {
    socket_.bind(Udp::endpoint(address, port), error);
  }
  if (!error) {
    socket_.non_blocking(true, error);
  }
  if (error) {
    return Error{ErrorCode::kSettingsInvalid,
                 ip + ": cannot open the UDP socket for load reports: " +
                     error.message()};
  }
  Receive();
  timer_ = std::make_unique<PeriodicTimer>(context_.io, kTickInterval,
                                           [this] { Tick(); });
  return Unit{};
}

LoadReporter::Endpoints LoadReporter::EndpointsOf(
    const std::vector<MemberRecord>& peers) const {
  Endpoints endpoints;
  for (const MemberRecord& peer : peers) {
    boost::system::error_code error;
    auto address =
        boost::asio::ip::make_address_v4(ExtractIp(peer.peer_address), error);
    if (!error) {
      endpoints.emplace_back(address, port_);
    }
  }
  return endpoints;
}

void LoadReporter::SetPeers(const ReportGroup& group) {
  endpoints_.cell = group.cell;
  endpoints_.cell_peers = EndpointsOf(group.cell_peers);
  endpoints_.zone_peers = EndpointsOf(group.zone_peers);
  endpoints_.remote_peers = EndpointsOf(group.remote_peers);
  for (const auto& reporter : other_reporters_) {
    reporter->SetPeers(endpoints_);
  }
}

void LoadReporter::Tick() {
  TimePoint now = SteadyClock::now();
  ReportToCell(now);
  for (const auto& reporter : other_reporters_) {
    reporter->Tick(now);
  }
  if (now - last_cell_sum_ >= kCellSumInterval) {
    last_cell_sum_ = now;
    SendSum(ReportScope::kInstance, ReportScope::kCell, endpoints_.cell,
            endpoints_.zone_peers, now);
  }
  if (now - last_zone_sum_ >= kZoneSumInterval) {
    last_zone_sum_ = now;
    SendSum(ReportScope::kCell, ReportScope::kZone, zone_,
            endpoints_.remote_peers, now);
  }
}

void LoadReporter::ReportToCell(TimePoint now) {
  const LoadByServer& load = context_.load.local_load();
  bool complete = now - last_complete_report_ >= kCompleteReportInterval;
  LoadByServer changes = ChangedCharges(reported_load_, load);
  auto counts = context_.retry_budget.LocalCounts(now);
  bool retried = RetriesChanged(reported_counts_, counts);
  bool part_due = std::any_of(
      other_reporters_.begin(), other_reporters_.end(),
      [now](const auto& reporter) { return reporter->OwnPartDue(now); });
  if (!complete && !retried && !part_due && changes.empty()) {
    return;
  }
  reported_load_ = load;
  reported_counts_ = std::move(counts);
  std::vector<uint8_t> report;
  if (complete || retried) {
    last_complete_report_ = now;
    report = EncodeOwnReport(true, load, reported_counts_, now);
  } else {
    report = EncodeOwnReport(false, changes, {}, now);
  }
  for (const Udp::endpoint& peer : endpoints_.cell_peers) {
    Send(report, peer);
  }
}

void LoadReporter::SendSum(ReportScope max_scope,
                           ReportScope scope,
                           const std::string& source,
                           const Endpoints& peers,
                           TimePoint now) {
  if (peers.empty()) {
    return;
  }
  Json servers = EncodeLoad(context_.load.Sum(max_scope, now));
  auto peer = static_cast<size_t>(context_.Random() *
                                  static_cast<double>(peers.size()));
  Send(Json::to_msgpack(Json::array({scope, source, true, servers})),
       peers[std::min(peer, peers.size() - 1)]);
}

void LoadReporter::Send(const std::vector<uint8_t>& report,
                        const Udp::endpoint& peer) {
  boost::system::error_code error;
  socket_.send_to(boost::asio::buffer(report), peer, 0, error);
  if (error) {
    context_.metrics.Increment("mangoyoke_load_reports_unsent_total");
  }
}

std::vector<uint8_t> LoadReporter::EncodeOwnReport(
    bool complete,
    const LoadByServer& load,
    const std::map<ServiceId, RetryCounts>& counts,
    TimePoint now) const {
  Json encoded_counts = Json::object();
  for (const auto& [service, count] : counts) {
    encoded_counts[service] = Json::array({count.requests, count.retries});
  }
  Json report = Json::array({ReportScope::kInstance, self_, complete,
                             EncodeLoad(load), encoded_counts, incarnation_});
  if (Json parts = OwnParts(now); !parts.empty()) {
    report.push_back(std::move(parts));
  }
  return Json::to_msgpack(report);
}

Json LoadReporter::OwnParts(TimePoint now) const {
  Json parts = Json::array();
  for (const auto& reporter : other_reporters_) {
    if (Json part = reporter->OwnPart(now); !part.is_null()) {
      parts.push_back(Json::array({reporter->kind(), std::move(part)}));
    }
  }
  return parts;
}

void LoadReporter::ApplyOwnParts(const InstanceId& source,
                                 const Json& parts,
                                 TimePoint now) {
  for (const Json& part : parts) {
    if (PeerReporter* reporter = FindReporter(part.at(0))) {
      reporter->ApplyOwnPart(source, part.at(1), now);
    }
  }
}

void LoadReporter::Receive() {
  socket_.async_receive_from(
      boost::asio::buffer(buffer_), sender_,
      [this](const boost::system::error_code& error, size_t size) {
        if (error == boost::asio::error::operation_aborted) {
          return;
        }
        if (!error) {
          RunGuarded("load_report",
                     [&] { HandleReport(buffer_.data(), size); });
        }
        Receive();
      });
}

PeerReporter* LoadReporter::FindReporter(const Json& kind) const {
  for (const auto& reporter : other_reporters_) {
    if (kind == static_cast<int>(reporter->kind())) {
      return reporter.get();
    }
  }
  return nullptr;
}

void LoadReporter::HandleReport(const uint8_t* data, size_t size) {
  Json report = DecodeMessagePack(data, size);
  try {
    if (PeerReporter* reporter = FindReporter(report.at(0))) {
      reporter->ApplyFrom(report, sender_, SteadyClock::now());
      return;
    }
    auto scope = DecodeScope(report.at(0));
    if (scope) {
      ApplyReport(*scope, report);
    } else {
      ReportMalformed("unknown scope");
    }
  } catch (const Json::exception& exception) {
    ReportMalformed(exception.what());
  }
}

void LoadReporter::ApplyReport(ReportScope scope, const Json& report) {
  TimePoint now = SteadyClock::now();
  auto source = report.at(1).get<std::string>();
  // A peer may still have an older list of members and then send a sum that
  // includes this instance.
  if ((scope == ReportScope::kCell && source == endpoints_.cell) ||
      (scope == ReportScope::kZone && source == zone_)) {
    return;
  }
  bool complete = report.at(2).get<bool>();
  LoadByServer load = DecodeLoad(report.at(3));
  if (scope == ReportScope::kInstance && report.size() > kOwnPartsIndex) {
    ApplyOwnParts(source, report.at(kOwnPartsIndex), now);
  }
  if (!complete) {
    context_.load.PatchPeerLoad(scope, source, load, now);
    return;
  }
  if (scope == ReportScope::kInstance) {
    context_.retry_budget.UpdatePeerCounts(source, report.at(5).get<uint64_t>(),
                                           DecodeCounts(report.at(4)), now);
  }
  context_.load.UpdatePeerLoad(scope, source, std::move(load), now);
}

void LoadReporter::ReportMalformed(std::string_view why) {
  context_.metrics.Increment("mangoyoke_load_reports_malformed_total");
  LogEvent("load_report_malformed", LogLevel::kWarning).Field("why", why);
}

}  // namespace mangoyoke
