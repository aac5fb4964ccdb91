// Gateway processes, started as the deploy file says: the program with the path
// of its settings, which hold what the template of the deploy file holds.

#ifndef MANGOYOKE_REVIEW_STANDINS_3_GATEWAY_PROCESS_H_
#define MANGOYOKE_REVIEW_STANDINS_3_GATEWAY_PROCESS_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "child_process.h"

namespace mangoyoke::review {

// The ports of every machine, counted from the first one.
enum PortKind { kFront, kReady, kControl, kDirectory, kMetrics, kTraffic };
inline constexpr int kPortsPerMachine = 6;

// The machines of a deployment. All are in one zone.
struct Deployment {
  std::string program;  // The gateway.
  std::string folder;   // For settings and logs.
  int machines = 3;
  uint16_t first_port = 0;
  std::string store;  // IP:port

  // Machine `i` has an address of its own.
  static std::string IpOf(int i) { return "127.0.0." + std::to_string(21 + i); }
  uint16_t PortOf(PortKind kind) const {
    return static_cast<uint16_t>(first_port + kind);
  }
  std::string AddressOf(int i, PortKind kind) const {
    return IpOf(i) + ":" + std::to_string(PortOf(kind));
  }
};

// The first of `count` ports that are free on the addresses of the cases.
// Throws std::runtime_error if there are none.
uint16_t FindFreePorts(int count);

// Writes the settings of machine `i` and starts its gateway.
std::unique_ptr<ChildProcess> StartGateway(const Deployment& deployment, int i);

// Starts all gateways and waits until they are ready. Throws
// std::runtime_error if they are not within 20 s.
std::vector<std::unique_ptr<ChildProcess>> StartGateways(
    const Deployment& deployment);

}  // namespace mangoyoke::review

#endif  // MANGOYOKE_REVIEW_STANDINS_3_GATEWAY_PROCESS_H_
