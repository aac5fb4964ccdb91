// Exchanges load reports with the peers over UDP: each instance sends its work
// in flight at the backend servers and its retry counts when the load changed,
// and periodically. Each report is complete, so the next one replaces a lost
// one.

#ifndef MANGOYOKE_GATEWAY_TRAFFIC_LOAD_REPORTER_H_
#define MANGOYOKE_GATEWAY_TRAFFIC_LOAD_REPORTER_H_

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <memory>
#include <string>
#include <vector>

#include "base/periodic_timer.h"
#include "gateway/traffic/traffic_context.h"

namespace mangoyoke {

// Used on the traffic thread only.
class LoadReporter {
 public:
  // `self`: this instance's id, stated in the reports.
  LoadReporter(TrafficContext& context, InstanceId self);

  // Binds `ip`:`port` for sending and receiving; all peers use the same port.
  // Returns an error if the socket cannot be bound.
  Result<Unit> Start(const std::string& ip, uint16_t port);
  // Sets the IP addresses of all peers. What is not an IPv4 address is ignored.
  void SetPeers(const std::vector<std::string>& ips);

 private:
  using Udp = boost::asio::ip::udp;

  // Sends the current report to the peers that have not been sent it yet.
  void Tick();
  std::vector<uint8_t> EncodeReport(TimePoint now);
  void Receive();
  // Applies a peer's report; logs `load_report_malformed` if it cannot be read.
  void HandleReport(const uint8_t* data, size_t size);

  TrafficContext& context_;
  InstanceId self_;
  uint64_t incarnation_;  // Random; differs after a restart.
  Udp::socket socket_;
  uint16_t port_ = 0;
  std::vector<Udp::endpoint> peers_;
  size_t next_peer_ = 0;
  LoadByServer reported_;  // Load in the last report.
  int peers_pending_ = 0;  // Peers still to be sent the current report.
  TimePoint last_round_{};
  std::array<uint8_t, 4096> buffer_{};
  Udp::endpoint sender_;
  std::unique_ptr<PeriodicTimer> timer_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_TRAFFIC_LOAD_REPORTER_H_
