// Exchanges what the instances know of prompt parts that crash servers, in
// datagrams of the load reporter.
//
// - What changed is sent soon: to all others of the cell, unless it was learned
//   there, and to one random instance of other cells and of other zones.
// - Everything is sent again at a slow pace, for instances that have just
//   started or missed a datagram.

#ifndef MANGOYOKE_GATEWAY_TRAFFIC_QUARANTINE_REPORTER_H_
#define MANGOYOKE_GATEWAY_TRAFFIC_QUARANTINE_REPORTER_H_

#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <set>
#include <string>
#include <vector>

#include "gateway/traffic/traffic_context.h"

namespace mangoyoke {

// The first element of these reports; other values are scopes of load.
inline constexpr int kQuarantineReport = 10;

// Addresses of the other instances, by how reports reach them.
struct ReportEndpoints {
  using Endpoints = std::vector<boost::asio::ip::udp::endpoint>;

  std::string cell;  // Name of the own cell.
  Endpoints cell_peers;
  Endpoints zone_peers;    // Of other cells of the own zone.
  Endpoints remote_peers;  // Of other zones.
};

// Used on the traffic thread only.
class QuarantineReporter {
 public:
  using SendFunction =
      std::function<void(const std::vector<uint8_t>&,
                         const boost::asio::ip::udp::endpoint&)>;

  QuarantineReporter(TrafficContext& context, SendFunction send);

  void SetPeers(ReportEndpoints endpoints);
  // Sends what is due.
  void Tick(TimePoint now);
  // Takes over a peer's report. Throws nlohmann::json::exception if it cannot
  // be read.
  void Apply(const nlohmann::json& report, TimePoint now);

 private:
  void SendChanges(TimePoint now);
  // Sends the verdicts, and the next of the other records.
  void SendAll(TimePoint now);
  void SendToCell(const std::vector<PartRecord>& records, TimePoint now);
  // Sends to one random instance of other cells, and to one of other zones.
  void SendOutside(const std::vector<PartRecord>& records, TimePoint now);
  void SendToOneOf(const ReportEndpoints::Endpoints& peers,
                   const std::vector<uint8_t>& report);
  // One report, or several if the records do not fit in one.
  std::vector<std::vector<uint8_t>> Encode(
      const std::vector<PartRecord>& records,
      TimePoint now) const;

  TrafficContext& context_;
  SendFunction send_;
  ReportEndpoints endpoints_;
  TimePoint last_full_report_{};
  // Parts whose last change came from the own cell, since the last tick.
  std::set<PromptPartId> learned_in_cell_;
  PromptPartId last_sent_;  // Where the next full report goes on.
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_TRAFFIC_QUARANTINE_REPORTER_H_
