// HTTP server on Pistache that passes each request to a handler, together with
// a duplicate of the connection's descriptor.
//
// Pistache parses requests on its worker threads. Responses do not go through
// Pistache, for two reasons:
// - Its own ResponseStream may be flushed only on the worker thread.
// - Its cross-thread send has an unbounded queue and addresses the connection
//   by a descriptor number, which the next connection can reuse.
// Each request therefore carries a duplicate of the connection's descriptor, to
// which our ResponseStream writes with backpressure. A late write then fails on
// a closed socket and cannot reach another caller.

#ifndef MANGOYOKE_HTTP_HTTP_SERVER_H_
#define MANGOYOKE_HTTP_HTTP_SERVER_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "http/unique_fd.h"
#include "mangoyoke/error.h"

namespace mangoyoke {

// Header names and values, in order.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

// Whether a response is being written on a connection. Shared between the
// server and the ResponseStream of the connection.
struct ConnectionState {
  std::atomic<bool> busy{false};
};

// A request as received.
struct ServerRequest {
  uint64_t connection_id = 0;
  std::string method;
  std::string path;  // Without the query string.
  std::map<std::string, std::string> query;
  HttpHeaders headers;  // Names in lower case.
  std::string body;

  // The value of header `name` (lower case); empty if absent.
  std::string_view Header(std::string_view name) const;
  // The value of query parameter `name`; empty if absent.
  std::string_view Query(const std::string& name) const;
  // How many times header `name` (lower case) occurs.
  int HeaderCount(std::string_view name) const;
};

// The connection that a request came on, for writing the response.
struct ServerConnection {
  UniqueFd fd;
  std::shared_ptr<ConnectionState> state;
};

// Receives requests on the server's worker threads.
class HttpHandler {
 public:
  virtual ~HttpHandler() = default;
  virtual void OnRequest(ServerRequest request,
                         ServerConnection connection) = 0;
  // The caller closed connection `connection_id`.
  virtual void OnDisconnect(uint64_t connection_id) = 0;
};

struct HttpServerOptions {
  std::string address;  // "IP:port".
  int threads = 2;      // Worker threads.
  size_t max_request_bytes = 4 << 20;
};

// Listens on one address and passes requests to a handler.
class HttpServer {
 public:
  // `handler` must outlive the server.
  HttpServer(HttpServerOptions options, HttpHandler& handler);
  ~HttpServer();

  // Listens and serves on background threads. kSettingsInvalid if the address
  // cannot be listened on.
  Result<Unit> Start();
  // Stops accepting connections and serving requests.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_HTTP_HTTP_SERVER_H_
