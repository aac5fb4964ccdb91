// Passes requests from the HTTP server's worker threads to event loops. The
// handler on the event loop writes the response to a ResponseStream.

#ifndef MANGOYOKE_HTTP_HTTP_DISPATCHER_H_
#define MANGOYOKE_HTTP_HTTP_DISPATCHER_H_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <vector>

#include "http/http_server.h"
#include "http/response_stream.h"

namespace mangoyoke {

// Handles requests on one event loop. All calls are made on its thread.
class ServerRequestHandler {
 public:
  virtual ~ServerRequestHandler() = default;
  virtual void OnRequest(ServerRequest request,
                         std::shared_ptr<ResponseStream> stream) = 0;
  // The caller closed connection `connection_id`.
  virtual void OnDisconnect(uint64_t connection_id) = 0;
};

// An event loop and the handler that runs on it. Both must outlive the
// dispatcher.
struct DispatchTarget {
  boost::asio::io_context* io = nullptr;
  ServerRequestHandler* handler = nullptr;
};

// Distributes connections over the targets by their id.
class HttpDispatcher : public HttpHandler {
 public:
  // `targets` must not be empty. All requests of one connection go to the same
  // target.
  explicit HttpDispatcher(std::vector<DispatchTarget> targets);

  void OnRequest(ServerRequest request, ServerConnection connection) override;
  void OnDisconnect(uint64_t connection_id) override;

 private:
  const DispatchTarget& TargetOf(uint64_t connection_id) const;

  std::vector<DispatchTarget> targets_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_HTTP_HTTP_DISPATCHER_H_
