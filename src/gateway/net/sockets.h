// Address parsing and socket options for connections to callers and to backend
// servers.

#ifndef MANGOYOKE_GATEWAY_NET_SOCKETS_H_
#define MANGOYOKE_GATEWAY_NET_SOCKETS_H_

#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "mangoyoke/clock.h"
#include "mangoyoke/error.h"

namespace mangoyoke {

using Tcp = boost::asio::ip::tcp;

// Parses "IP:port" (IPv4 only). Fails with kSettingsInvalid if `address` lacks
// this form, with kPeerMalformed if the IP is not an IPv4 address.
Result<Tcp::endpoint> ParseEndpoint(const std::string& address);

// Returns the IP of "IP:port".
std::string ExtractIp(const std::string& address);

// Disables Nagle's algorithm, and makes the kernel fail the connection if
// written bytes stay unacknowledged for `unacked_timeout` or an idle peer does
// not respond to keep-alive probes. Linux applies `unacked_timeout` to these
// probes and to those of a full socket too.
void PrepareSocket(Tcp::socket& socket, Millis unacked_timeout);

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_NET_SOCKETS_H_
