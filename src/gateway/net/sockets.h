// Addresses and socket options shared by both sides of the gateway.

#ifndef MANGOYOKE_GATEWAY_NET_SOCKETS_H_
#define MANGOYOKE_GATEWAY_NET_SOCKETS_H_

#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "mangoyoke/clock.h"
#include "mangoyoke/error.h"

namespace mangoyoke {

using Tcp = boost::asio::ip::tcp;

// Parses "IP:port".
Result<Tcp::endpoint> ParseEndpoint(const std::string& address);

// The IP in "IP:port".
std::string ExtractIp(const std::string& address);

// Sends small writes at once, and lets the system break the connection when
// written bytes stay unacknowledged for `silence` or an idle peer is silent.
void PrepareSocket(Tcp::socket& socket, Millis silence);

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_NET_SOCKETS_H_
