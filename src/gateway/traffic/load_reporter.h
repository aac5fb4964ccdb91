// Tells the other entries what work this one has in flight, and hears theirs:
// small datagrams, sent when something changed. A lost one is made up for by
// the next.

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

class LoadReporter {
 public:
  LoadReporter(TrafficContext& context, InstanceId self);

  // Listens and sends on `address`; the other entries use the same port.
  Result<Unit> Start(const std::string& ip, uint16_t port);
  // The IPs of the other entries.
  void SetPeers(const std::vector<std::string>& ips);

 private:
  using Udp = boost::asio::ip::udp;

  void Tick();
  std::vector<uint8_t> MakeReport(TimePoint now);
  void Receive();
  void Absorb(const uint8_t* data, size_t size);

  TrafficContext& context_;
  InstanceId self_;
  uint64_t incarnation_;  // Tells this process from its predecessors.
  Udp::socket socket_;
  uint16_t port_ = 0;
  std::vector<Udp::endpoint> others_;
  size_t next_other_ = 0;
  LoadByServer reported_;  // As of the last report.
  int unsent_ = 0;         // Entries that have not got the current load yet.
  TimePoint last_round_{};
  std::array<uint8_t, 4096> buffer_{};
  Udp::endpoint sender_;
  std::unique_ptr<PeriodicTimer> timer_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_TRAFFIC_LOAD_REPORTER_H_
