// Finds out whether a backend server has ended when one of its responses breaks
// off. A response may also break off while its server lives on: a faulty
// response, or a connection that was reset on the way.

#ifndef MANGOYOKE_GATEWAY_TRAFFIC_SERVER_END_DETECTOR_H_
#define MANGOYOKE_GATEWAY_TRAFFIC_SERVER_END_DETECTOR_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gateway/core/backend_server.h"
#include "gateway/net/sockets.h"
#include "mangoyoke/clock.h"

namespace mangoyoke {

// What a check of a server showed.
enum class ServerFate {
  kEnded,    // Nothing listens at its address, or a successor does.
  kAlive,    // It accepts connections.
  kUnknown,  // Its host cannot be reached.
};

// The name of `fate` in logs.
std::string_view ServerFateName(ServerFate fate);

// Not thread-safe: used on the event loop's thread only.
class ServerEndDetector {
 public:
  using Callback = std::function<void(ServerFate)>;
  // Returns the current registry.
  using Registry = std::function<const ServerSnapshot&()>;

  ServerEndDetector(boost::asio::io_context& io, Registry registry);
  ~ServerEndDetector();

  // Checks whether this incarnation of `server` has ended: looks for a
  // successor in the registry, then connects to its address. Calls `callback`
  // once, later. Checks of one server at the same time share a connection that
  // was begun after the last of them was asked for.
  void Check(const BackendServer& server, Callback callback);

 private:
  class ConnectCheck;

  // Whether the registry has a successor under the server's id or address.
  bool HasSuccessor(const BackendServer& server) const;
  void Finish(const BackendServer& server, ServerFate fate);

  boost::asio::io_context& io_;
  Registry registry_;
  // The checks in progress, by incarnation.
  std::map<std::string, std::shared_ptr<ConnectCheck>> checks_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_TRAFFIC_SERVER_END_DETECTOR_H_
