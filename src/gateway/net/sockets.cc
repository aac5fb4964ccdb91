// Parses addresses and sets the socket options that detect unreachable peers.

#include "gateway/net/sockets.h"

#include <netinet/tcp.h>

#include <algorithm>
#include <boost/asio/detail/socket_option.hpp>
#include <boost/asio/ip/address.hpp>

#include "peer/peer_transport.h"

namespace mangoyoke {
namespace {

template <int kName>
using TcpOption =
    boost::asio::detail::socket_option::integer<IPPROTO_TCP, kName>;

constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;

}  // namespace

Result<Tcp::endpoint> ParseEndpoint(const std::string& address) {
  auto parts = ParseAddress(address);
  if (const auto* error = std::get_if<Error>(&parts)) {
    return *error;
  }
  const auto& [ip_text, port] =
      std::get<std::pair<std::string, uint16_t>>(parts);
  boost::system::error_code error;
  auto ip = boost::asio::ip::make_address_v4(ip_text, error);
  if (error) {
    return Error{ErrorCode::kPeerMalformed, address + ": not an IPv4 address"};
  }
  return Tcp::endpoint(ip, port);
}

std::string ExtractIp(const std::string& address) {
  return address.substr(0, address.rfind(':'));
}

void PrepareSocket(Tcp::socket& socket, Millis unacked_timeout) {
  // Errors are ignored: without these options the socket still works, but it
  // detects unreachable peers later.
  boost::system::error_code ignored;
  socket.set_option(Tcp::no_delay(true), ignored);
  socket.set_option(
      TcpOption<TCP_USER_TIMEOUT>(static_cast<int>(unacked_timeout.count())),
      ignored);
  socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
  socket.set_option(TcpOption<TCP_KEEPIDLE>(kKeepAliveIdleSeconds), ignored);
  socket.set_option(TcpOption<TCP_KEEPINTVL>(kKeepAliveIntervalSeconds),
                    ignored);
  socket.set_option(TcpOption<TCP_KEEPCNT>(kKeepAliveProbes), ignored);
}

}  // namespace mangoyoke
