// Exchanges load reports with the peers over UDP. Each instance sends
//
// - its own work in flight at the backend servers and its retry counts to all
//   others of its cell: periodically as a whole, and the servers whose load
//   changed soon after the change;
// - the sum of its cell to one random instance of the zone's other cells, and
//   the sum of its zone to one random instance of the other zones, at a fixed
//   pace. All instances do so, hence a receiver gets these sums more often.
//
// Nothing is sent again: the next complete report makes up for a lost one.
//
// Other reports (peer_reporter.h) use the same socket.

#ifndef MANGOYOKE_GATEWAY_TRAFFIC_LOAD_REPORTER_H_
#define MANGOYOKE_GATEWAY_TRAFFIC_LOAD_REPORTER_H_

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "base/periodic_timer.h"
#include "gateway/core/report_group.h"
#include "gateway/traffic/peer_reporter.h"
#include "gateway/traffic/traffic_context.h"

namespace mangoyoke {

// Used on the traffic thread only.
class LoadReporter {
 public:
  // `self` and `zone`: this instance, as stated in the reports.
  LoadReporter(TrafficContext& context, InstanceId self, ZoneId zone);

  // Binds `ip`:`port` for sending and receiving; all peers use the same port.
  // Returns an error if the socket cannot be bound.
  Result<Unit> Start(const std::string& ip, uint16_t port);
  // Reports the speed of servers too. To be called before Start().
  void EnableSpeedReports();
  // Sets the peers. Those whose peer address is not IPv4 are ignored.
  void SetPeers(const ReportGroup& group);

 private:
  using Udp = boost::asio::ip::udp;
  using Endpoints = ReportEndpoints::Endpoints;

  PeerReporter::SendFunction SendToPeer();
  Endpoints EndpointsOf(const std::vector<MemberRecord>& peers) const;
  // Sends what is due.
  void Tick();
  void ReportToCell(TimePoint now);
  // Sends the sum of all reports up to `max_scope` to one random peer of
  // `peers`, as a report on `source`.
  void SendSum(ReportScope max_scope,
               ReportScope scope,
               const std::string& source,
               const Endpoints& peers,
               TimePoint now);
  void Send(const std::vector<uint8_t>& report, const Udp::endpoint& peer);
  // A report of this instance: its whole load with its retry counts, or only
  // the servers whose load changed.
  std::vector<uint8_t> EncodeOwnReport(
      bool complete,
      const LoadByServer& load,
      const std::map<ServiceId, RetryCounts>& counts,
      TimePoint now) const;
  // What the other reporters add to it, by their kind.
  nlohmann::json OwnParts(TimePoint now) const;
  void ApplyOwnParts(const InstanceId& source,
                     const nlohmann::json& parts,
                     TimePoint now);
  void Receive();
  // Null if no other reporter handles reports of `kind`.
  PeerReporter* FindReporter(const nlohmann::json& kind) const;
  // Decodes and applies a peer's report.
  void HandleReport(const uint8_t* data, size_t size);
  // Throws nlohmann::json::exception if the report cannot be read.
  void ApplyReport(ReportScope scope, const nlohmann::json& report);
  // Logs `load_report_malformed`.
  void ReportMalformed(std::string_view why);

  TrafficContext& context_;
  InstanceId self_;
  ZoneId zone_;
  uint64_t incarnation_;  // Random; differs after a restart.
  Udp::socket socket_;
  uint16_t port_ = 0;
  ReportEndpoints endpoints_;
  std::vector<std::unique_ptr<PeerReporter>> other_reporters_;
  // Load and retry counts in the last report to the cell.
  LoadByServer reported_load_;
  std::map<ServiceId, RetryCounts> reported_counts_;
  TimePoint last_complete_report_{};
  TimePoint last_cell_sum_{};
  TimePoint last_zone_sum_{};
  std::array<uint8_t, 16 * 1024> buffer_{};
  Udp::endpoint sender_;
  std::unique_ptr<PeriodicTimer> timer_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_TRAFFIC_LOAD_REPORTER_H_
