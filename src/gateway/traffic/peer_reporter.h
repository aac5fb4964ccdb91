// Reports that instances exchange in the datagrams of the load reporter, beside
// those of their load.

#ifndef MANGOYOKE_GATEWAY_TRAFFIC_PEER_REPORTER_H_
#define MANGOYOKE_GATEWAY_TRAFFIC_PEER_REPORTER_H_

#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "mangoyoke/clock.h"
#include "mangoyoke/plan.h"

namespace mangoyoke {

// The first element of a report, which tells its kind. Smaller values are
// scopes of load (ReportScope).
enum class PeerReportKind {
  kQuarantine = 10,
  kAccountUse = 11,
  kServerSpeed = 12,
};

// Addresses of the other instances, by how reports reach them.
struct ReportEndpoints {
  using Endpoints = std::vector<boost::asio::ip::udp::endpoint>;

  InstanceId self;
  ZoneId zone;
  std::string cell;  // Name of the own cell.
  Endpoints cell_peers;
  Endpoints zone_peers;    // Of other cells of the own zone.
  Endpoints remote_peers;  // Of other zones.
};

// One kind of report. Used on the traffic thread only.
class PeerReporter {
 public:
  using SendFunction =
      std::function<void(const std::vector<uint8_t>&,
                         const boost::asio::ip::udp::endpoint&)>;

  virtual ~PeerReporter() = default;
  virtual PeerReportKind kind() const = 0;
  virtual void SetPeers(ReportEndpoints endpoints) = 0;
  // Sends what is due. Called every 20 ms.
  virtual void Tick(TimePoint now) = 0;
  // Takes over a peer's report. Throws nlohmann::json::exception if it cannot
  // be read.
  virtual void Apply(const nlohmann::json& report, TimePoint now) = 0;
  // The same, for reports that may be answered. `sender`: where it came from.
  virtual void ApplyFrom(const nlohmann::json& report,
                         const boost::asio::ip::udp::endpoint& sender,
                         TimePoint now) {
    (void)sender;
    Apply(report, now);
  }

  // What this instance adds to its next report of load to its cell; null if
  // nothing. The default adds nothing.
  virtual nlohmann::json OwnPart(TimePoint now);
  // Whether that report is due though no load changed.
  virtual bool OwnPartDue(TimePoint) const { return false; }
  // Takes over what the instance `source` of the own cell added to its report.
  // Throws nlohmann::json::exception if it cannot be read.
  virtual void ApplyOwnPart(const InstanceId& source,
                            const nlohmann::json& part,
                            TimePoint now);
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_TRAFFIC_PEER_REPORTER_H_
