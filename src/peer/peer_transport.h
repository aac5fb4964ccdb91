// Requests between instances: a server that answers them and a client that
// keeps one connection to each address.

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

// Sends the answer to one request. May be called later, once.
using PeerResponder = std::function<void(Result<Json>)>;

// Answers requests of other instances, on the io_context's thread.
class PeerHandler {
 public:
  virtual ~PeerHandler() = default;
  virtual void OnPeerRequest(const std::string& path,
                             const Json& message,
                             PeerResponder respond) = 0;
};

class PeerServer {
 public:
  // `handler` must outlive the server.
  PeerServer(boost::asio::io_context& io, PeerHandler& handler);
  ~PeerServer();

  // Listens on `address` ("IP:port").
  Result<Unit> Listen(const std::string& address);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

class PeerClient {
 public:
  using Callback = std::function<void(Result<Json>)>;

  explicit PeerClient(boost::asio::io_context& io);
  ~PeerClient();

  // Sends `message` to `path` of the instance at `address`. `callback` is
  // called once, with kPeerUnreachable if no answer came within `timeout`,
  // or with the error that the other side answered.
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

// Splits "IP:port". Empty IP or a port out of range is an error.
Result<std::pair<std::string, uint16_t>> ParseAddress(
    const std::string& address);

}  // namespace mangoyoke

#endif  // MANGOYOKE_PEER_PEER_TRANSPORT_H_
