// HTTP server on Pistache that hands each request, with its own handle on the
// connection, to a handler.
//
// Pistache parses requests on its worker threads. Answers do not go through
// Pistache: its ResponseStream may only be flushed on the worker thread and
// its cross-thread send queues without bound and addresses the connection by
// a descriptor number that the next connection can reuse. Each request
// therefore carries a duplicate of the connection's descriptor, on which a
// ResponseStream writes with back-pressure. A late write then meets a closed
// socket and never another caller.

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

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

// Whether an answer is being written on a connection; shared between the
// server and the ResponseStream of the connection.
struct ConnectionState {
  std::atomic<bool> busy{false};
};

struct ServerRequest {
  uint64_t connection_id = 0;
  std::string method;
  std::string path;  // Without the query.
  std::map<std::string, std::string> query;
  HttpHeaders headers;  // Names in lower case.
  std::string body;

  // The value of header `name` (lower case); empty if absent.
  std::string_view Header(std::string_view name) const;
  // The value of query parameter `name`; empty if absent.
  std::string_view Query(const std::string& name) const;
  // How often header `name` (lower case) came.
  int HeaderCount(std::string_view name) const;
};

// The write side of one caller's connection.
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
  // The caller of `connection_id` closed its side.
  virtual void OnDisconnect(uint64_t connection_id) = 0;
};

struct HttpServerOptions {
  std::string address;  // "IP:port".
  int threads = 2;
  size_t max_request_bytes = 4 << 20;
};

class HttpServer {
 public:
  // `handler` must outlive the server.
  HttpServer(HttpServerOptions options, HttpHandler& handler);
  ~HttpServer();

  // Listens and serves on background threads.
  Result<Unit> Start();
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_HTTP_HTTP_SERVER_H_
