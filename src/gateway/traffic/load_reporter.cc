// Load reports as MessagePack datagrams: an array of instance id, load by
// server (requests, prompt tokens, KV tokens), counts by service (requests,
// retries) and incarnation.

#include "gateway/traffic/load_reporter.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/log.h"

namespace mangoyoke {
namespace {

using Json = nlohmann::json;

constexpr Duration kTickInterval = Millis(20);
// Unchanged load is reported again after this time, before peers discard the
// last report as too old.
constexpr Duration kRefreshInterval = Millis(150);
// Most datagrams sent in one tick. With more peers, a report takes several
// ticks to reach all of them.
constexpr size_t kDatagramsPerTick = 16;

}  // namespace

LoadReporter::LoadReporter(TrafficContext& context, InstanceId self)
    : context_(context),
      self_(std::move(self)),
      incarnation_(context.random()),
      socket_(context.io) {}

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

void LoadReporter::SetPeers(const std::vector<std::string>& ips) {
  peers_.clear();
  for (const std::string& ip : ips) {
    boost::system::error_code error;
    auto address = boost::asio::ip::make_address_v4(ip, error);
    if (!error) {
      peers_.emplace_back(address, port_);
    }
  }
  peers_pending_ = static_cast<int>(peers_.size());
}

void LoadReporter::Tick() {
  TimePoint now = SteadyClock::now();
  bool changed = context_.load.local_load() != reported_;
  if (changed || now - last_round_ >= kRefreshInterval) {
    reported_ = context_.load.local_load();
    peers_pending_ = static_cast<int>(peers_.size());
    last_round_ = now;
  }
  if (peers_pending_ == 0) {
    return;
  }
  std::vector<uint8_t> report = EncodeReport(now);
  for (size_t i = 0; i < kDatagramsPerTick && peers_pending_ > 0;
       ++i, --peers_pending_) {
    next_peer_ = (next_peer_ + 1) % peers_.size();
    boost::system::error_code error;
    socket_.send_to(boost::asio::buffer(report), peers_[next_peer_], 0, error);
    if (error) {
      context_.metrics.Increment("mangoyoke_load_reports_unsent_total");
    }
  }
}

std::vector<uint8_t> LoadReporter::EncodeReport(TimePoint now) {
  Json servers = Json::object();
  for (const auto& [id, load] : reported_) {
    servers[id] =
        Json::array({load.requests, load.prompt_tokens, load.kv_tokens});
  }
  Json retries = Json::object();
  for (const auto& [service, counts] : context_.retry_budget.LocalCounts(now)) {
    retries[service] = Json::array({counts.requests, counts.retries});
  }
  return Json::to_msgpack(Json::array({self_, servers, retries, incarnation_}));
}

void LoadReporter::Receive() {
  socket_.async_receive_from(
      boost::asio::buffer(buffer_), sender_,
      [this](const boost::system::error_code& error, size_t size) {
        if (error == boost::asio::error::operation_aborted) {
          return;
        }
        if (!error) {
          HandleReport(buffer_.data(), size);
        }
        Receive();
      });
}

void LoadReporter::HandleReport(const uint8_t* data, size_t size) {
  Json report = Json::from_msgpack(data, data + size, true, false);
  try {
    TimePoint now = SteadyClock::now();
    LoadByServer load;
    for (const auto& [id, item] : report.at(1).items()) {
      load[id] =
          LoadCharge{item.at(0).get<int64_t>(), item.at(1).get<int64_t>(),
                     item.at(2).get<int64_t>()};
    }
    std::map<ServiceId, RetryCounts> retries;
    for (const auto& [service, item] : report.at(2).items()) {
      retries[service] =
          RetryCounts{item.at(0).get<int64_t>(), item.at(1).get<int64_t>()};
    }
    InstanceId sender = report.at(0).get<std::string>();
    context_.load.UpdatePeerLoad(sender, std::move(load), now);
    context_.retry_budget.UpdatePeerCounts(sender, report.at(3).get<uint64_t>(),
                                           std::move(retries), now);
  } catch (const Json::exception& exception) {
    context_.metrics.Increment("mangoyoke_load_reports_malformed_total");
    LogEvent("load_report_malformed", LogLevel::kWarning)
        .Field("why", exception.what());
  }
}

}  // namespace mangoyoke
