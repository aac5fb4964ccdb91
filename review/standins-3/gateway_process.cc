// Settings, start and readiness of the gateways.

#include "gateway_process.h"

#include <unistd.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <thread>

#include "caller.h"

namespace mangoyoke::review {
namespace {

using Tcp = boost::asio::ip::tcp;

constexpr int kReadyTries = 400;
constexpr std::chrono::milliseconds kReadyInterval(50);

// The addresses that the cases use.
constexpr const char* kAddresses[] = {"127.0.0.11", "127.0.0.12", "127.0.0.21",
                                      "127.0.0.22", "127.0.0.23"};

bool IsFree(uint16_t port) {
  return std::all_of(
      std::begin(kAddresses), std::end(kAddresses), [port](const char* ip) {
        boost::asio::io_context io;
        Tcp::acceptor acceptor(io);
        boost::system::error_code error;
        acceptor.open(Tcp::v4(), error);
        acceptor.bind(Tcp::endpoint(boost::asio::ip::make_address(ip), port),
                      error);
        return !error;
      });
}

}  // namespace

uint16_t FindFreePorts(int count) {
  // Below the ports that the system gives to outgoing connections.
  constexpr int kLowest = 20000;
  constexpr int kHighest = 32000;
  int start = kLowest + getpid() * 61 % (kHighest - kLowest - 1000);
  int free = 0;
  for (int port = start; port < kHighest; ++port) {
    free = IsFree(static_cast<uint16_t>(port)) ? free + 1 : 0;
    if (free == count) {
      return static_cast<uint16_t>(port - count + 1);
    }
  }
  throw std::runtime_error("no free ports");
}

std::unique_ptr<ChildProcess> StartGateway(const Deployment& deployment,
                                           int i) {
  std::string base = deployment.folder + "/front-" + std::to_string(i + 1);
  std::ofstream file(base + ".ini");
  file << "[instance]\nid = front-" << i + 1
       << "\nzone = zone-a\nregion = region"
       << "\n[listen]\ncallers = " << deployment.AddressOf(i, kFront)
       << "\nready = " << deployment.AddressOf(i, kReady)
       << "\nentries = " << deployment.AddressOf(i, kDirectory)
       << "\npeers = " << deployment.AddressOf(i, kControl)
       << "\nmetrics = " << deployment.AddressOf(i, kMetrics)
       << "\nload_port = " << deployment.PortOf(kTraffic)
       << "\n[store]\naddress = " << deployment.store << "\n[peers]\nknown = ";
  for (int seed = 0; seed < std::min(3, deployment.machines); ++seed) {
    file << (seed > 0 ? "," : "") << deployment.AddressOf(seed, kControl);
  }
  // The bounds of the deployment.
  file << "\n[repeats]\nshare = 0.2\nfixed = 58\nwindow_s = 10"
       << "\n[timing]\nentries_ttl_s = 5\nleave_limit_s = 8"
       << "\nchange_bound_ms = 2000"
       << "\n[limits]\nmemory_mb = 110"
       << "\n[placement]\nlearned_capacity = true\n";
  file.close();
  return std::make_unique<ChildProcess>(
      std::vector<std::string>{deployment.program, base + ".ini"},
      base + ".log");
}

std::vector<std::unique_ptr<ChildProcess>> StartGateways(
    const Deployment& deployment) {
  std::vector<std::unique_ptr<ChildProcess>> gateways;
  for (int i = 0; i < deployment.machines; ++i) {
    gateways.push_back(StartGateway(deployment, i));
  }
  for (int i = 0; i < deployment.machines; ++i) {
    int tries = 0;
    while (StatusOf(Deployment::IpOf(i), deployment.PortOf(kReady),
                    "/v1/ready") != 200) {
      if (++tries == kReadyTries) {
        throw std::runtime_error("a gateway does not get ready");
      }
      std::this_thread::sleep_for(kReadyInterval);
    }
  }
  return gateways;
}

}  // namespace mangoyoke::review
