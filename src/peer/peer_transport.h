// Requests between instances: a server, and a client that keeps one HTTP/2
// connection to each address. Messages are JSON values.

#ifndef MANGOYOKE_PEER_PEER_TRANSPORT_H_
#define MANGOYOKE_PEER_PEER_TRANSPORT_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "mangoyoke/clock.h"
#include "mangoyoke/error.h"

namespace mangoyoke {

using Json = nlohmann::json;

// Sends the response or error to one request. To be called once; may be called
// after OnPeerRequest has returned.
using PeerResponder = std::function<void(Result<Json>)>;

// Handles requests of other instances, on the io_context's thread.
class PeerHandler {
 public:
  virtual ~PeerHandler() = default;
  // Handles one request. A nlohmann::json::exception thrown here is sent to the
  // requester as kPeerMalformed.
  virtual void OnPeerRequest(const std::string& path,
                             const Json& message,
                             PeerResponder respond) = 0;
};

// Accepts connections of other instances.
class PeerServer {
 public:
  // `handler` must outlive the server.
  PeerServer(boost::asio::io_context& io, PeerHandler& handler);
  ~PeerServer();

  // Listens on `address` ("IP:port"). Returns kSettingsInvalid if that fails.
  Result<Unit> Listen(const std::string& address);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

// Sends requests to other instances. Connections open on first use and close
// when idle.
class PeerClient {
 public:
  using Callback = std::function<void(Result<Json>)>;

  explicit PeerClient(boost::asio::io_context& io);
  ~PeerClient();

  // Sends `message` to `path` of the instance at `address`. `callback` is
  // called once: with the response, with kPeerUnreachable if none came within
  // `timeout`, with kPeerMalformed if it is invalid, or with the error that the
  // other instance returned. A callback that throws nlohmann::json::exception
  // while it reads the response is called again, with kPeerMalformed.
  void Call(const std::string& address,
            const std::string& path,
            const Json& message,
            Millis timeout,
            Callback callback);

  // Bytes written and read on all connections so far.
  uint64_t BytesTransferred() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

// Splits "IP:port". Returns kSettingsInvalid if the IP is empty or the port is
// not a number from 1 to 65535. The IP itself is not checked.
Result<std::pair<std::string, uint16_t>> ParseAddress(
    const std::string& address);

}  // namespace mangoyoke

#endif  // MANGOYOKE_PEER_PEER_TRANSPORT_H_
